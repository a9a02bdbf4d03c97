import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createLog } from '../log/index.js'
import type { Observation, Result } from '../model/index.js'
import { createMeshStandIn, type MeshStandIn } from '../../tests/support/mesh-stand-in.js'
import { createQuarantine, quarantineChannel, type Quarantine } from './index.js'

const quarantineSuite = suite('quarantine')
const SEED = 20_260_103

const POISON = 'aaaaaaaa'
const OTHER = 'bbbbbbbb'
const victim = (index: number): string => `c0ffee${index.toString(16).padStart(4, '0')}`

interface Event {
  readonly at: number
  readonly vm?: string
  readonly fingerprint: string
  readonly target: string
  readonly result: Result
  readonly latencyMs?: number
}

interface Fleet {
  readonly vms: Readonly<Record<string, Quarantine>>
  readonly retracted: Observation[]
  readonly mesh: MeshStandIn
  readonly clock: { now: number }
}

/** VMs linked in a chain, so that a message has to be forwarded to reach the last one. */
function createFleet (size = 3): Fleet {
  const clock = { now: 0 }
  const mesh = createMeshStandIn()
  const retracted: Observation[] = []
  const names = Array.from({ length: size }, (_, index) => `vm${index}`)
  const log = createLog({}, () => {})
  const vms = Object.fromEntries(names.map(name => [name, createQuarantine({
    mesh: mesh.meshOf(name),
    log,
    clock: () => clock.now,
    retractObservations: observations => { retracted.push(...observations) }
  })]))
  for (const [index, name] of names.entries()) if (index > 0) mesh.link(names[index - 1] ?? '', name)
  return { vms, retracted, mesh, clock }
}

function replay (fleet: Fleet, events: readonly Event[]): void {
  for (const { at, vm = 'vm0', fingerprint, target, result, latencyMs = 5 } of events) {
    fleet.clock.now = at
    fleet.vms[vm]?.observe({ service: 'listing', class: 'read', fingerprint, target, result, latencyMs }, at)
  }
}

function sweepAt (fleet: Fleet, now: number): void {
  fleet.clock.now = now
  for (const vm of Object.values(fleet.vms)) vm.sweep(now)
}

const vmsThatQuarantine = (fleet: Fleet, fingerprint: string): string =>
  Object.entries(fleet.vms).filter(([, vm]) => vm.isQuarantined(fingerprint, fleet.clock.now)).map(([name]) => name).join()

/** A target crashes while it runs the given requests. */
const crash = (at: number, target: string, fingerprints: readonly string[], vm = 'vm0'): readonly Event[] =>
  fingerprints.map((fingerprint, index) => ({ at: at + index, vm, fingerprint, target, result: 'reset', latencyMs: 20 + index }))

const victims = Array.from({ length: 8 }, (_, index) => victim(index))

interface Case {
  readonly name: string
  readonly events: readonly Event[]
  /** Requests that must be quarantined at all VMs. No other request may be. */
  readonly expected: readonly string[]
}

const cases: readonly Case[] = [
  {
    name: 'a request that is the only loss at two targets is quarantined',
    events: [...crash(1000, 'a', [POISON]), ...crash(1100, 'b', [POISON])],
    expected: [POISON]
  },
  {
    name: 'a reset and a silent connection count equally',
    events: [...crash(1000, 'a', [POISON]), { at: 3000, fingerprint: POISON, target: 'b', result: 'silent', latencyMs: 1900 }],
    expected: [POISON]
  },
  {
    name: 'two losses at one target do not quarantine a request',
    events: [...crash(1000, 'a', [POISON]), ...crash(1500, 'a', [POISON])],
    expected: []
  },
  {
    name: 'losses more than 60 s apart are not combined',
    events: [...crash(1000, 'a', [POISON]), ...crash(61_001, 'b', [POISON])],
    expected: []
  },
  {
    // Guards against quarantining a victim whose retry runs at a second target that crashes by chance.
    name: 'victims of a busy target are not quarantined when one is lost again',
    events: [...crash(1000, 'a', victims), ...crash(1050, 'b', [victim(3)])],
    expected: []
  },
  {
    name: 'victims are not quarantined when several are lost again together',
    events: [...crash(1000, 'a', victims), ...crash(1050, 'b', [victim(1), victim(2)])],
    expected: []
  },
  {
    name: 'victims are not quarantined when the losses arrive in another order',
    events: [...crash(1000, 'a', [victim(1)]), ...crash(1050, 'b', [victim(1), victim(2)]), ...crash(1090, 'a', [victim(3)])],
    expected: []
  },
  {
    // Guards against missing a crashing request because busy targets lose other requests with it.
    name: 'a request that crashes three busy targets is quarantined, its victims are not',
    events: [
      ...crash(1000, 'a', [POISON, victim(0), victim(1)]),
      ...crash(1100, 'b', [victim(2), POISON, victim(3)]),
      ...crash(1200, 'c', [victim(4), POISON])
    ],
    expected: [POISON]
  },
  {
    // Guards against quarantining a popular request when a whole availability zone is lost.
    name: 'a request that was answered recently is not quarantined',
    events: [{ at: 900, fingerprint: OTHER, target: 'z', result: 'answered' }, ...crash(1000, 'a', [OTHER]), ...crash(1001, 'b', [OTHER]), ...crash(1002, 'c', [OTHER])],
    expected: []
  },
  {
    name: 'a response clears earlier losses',
    events: [...crash(1000, 'a', [OTHER]), { at: 1050, fingerprint: OTHER, target: 'z', result: 'answered' }, ...crash(12_000, 'b', [OTHER])],
    expected: []
  },
  {
    name: 'a loss of an answered request still counts as another loss of its crash',
    events: [
      { at: 900, fingerprint: OTHER, target: 'z', result: 'answered' },
      ...crash(1000, 'a', [OTHER, victim(1)]), ...crash(1100, 'b', [OTHER, victim(1)])
    ],
    expected: []
  },
  {
    // Guards against counting connections that go silent while their targets are healthy.
    name: 'a silent connection at a target that answers other requests is not a crash',
    events: [
      { at: 2000, fingerprint: OTHER, target: 'a', result: 'answered' }, { at: 2500, fingerprint: victim(1), target: 'a', result: 'silent', latencyMs: 2000 },
      { at: 4000, fingerprint: OTHER, target: 'b', result: 'answered' }, { at: 4500, fingerprint: victim(1), target: 'b', result: 'silent', latencyMs: 2000 }
    ],
    expected: []
  },
  {
    name: 'other results do not count as a crash',
    events: (['failed', 'truncated', 'timeout', 'unreachable', 'shed', 'draining', 'cancelled'] as const)
      .flatMap((result, index) => [1, 2, 3].map(n => ({ at: 1000, fingerprint: victim(index), target: `t${n}`, result }))),
    expected: []
  },
  {
    name: 'losses of one request at two VMs are combined',
    events: [...crash(1000, 'a', [POISON], 'vm0'), ...crash(1100, 'b', [POISON], 'vm1')],
    expected: [POISON]
  },
  {
    // Guards against victims that look like sole losses because each VM sent only one of them.
    name: 'victims at different VMs are recognised as victims of one crash',
    events: [
      ...crash(1000, 'a', [victim(0)], 'vm0'), ...crash(1001, 'a', [victim(1)], 'vm1'),
      ...crash(1050, 'b', [victim(0)], 'vm0'), ...crash(1051, 'b', [victim(2)], 'vm1')
    ],
    expected: []
  },
  {
    name: 'a response at another VM clears the losses of a request',
    events: [
      { at: 900, vm: 'vm1', fingerprint: OTHER, target: 'z', result: 'answered' },
      ...crash(1000, 'a', [OTHER]), ...crash(1100, 'b', [OTHER])
    ],
    expected: []
  }
]

for (const { name, events, expected } of cases) {
  const atOneVM = events.every(({ vm = 'vm0' }) => vm === 'vm0')
  for (const size of atOneVM ? [1, 3] : [3]) {
    quarantineSuite(`${name} (fleet of ${size})`, () => {
      const fleet = createFleet(size)
      // The links exist before the crash, so only forwarded messages reach the last VM.
      sweepAt(fleet, 0)
      replay(fleet, events)
      sweepAt(fleet, Math.max(...events.map(({ at }) => at)) + 100)
      for (const fingerprint of new Set(events.map(event => event.fingerprint))) {
        assert.is(vmsThatQuarantine(fleet, fingerprint), expected.includes(fingerprint) ? Object.keys(fleet.vms).join() : '', fingerprint)
      }
    })
  }
}

quarantineSuite('losses more than 60 s apart are not combined between sweeps', () => {
  const fleet = createFleet(1)
  replay(fleet, [...crash(1000, 'a', [POISON]), ...crash(61_001, 'b', [POISON])])
  fleet.clock.now = 61_101
  assert.is(vmsThatQuarantine(fleet, POISON), '')
})

quarantineSuite('entries expire after 10 min', () => {
  const fleet = createFleet()
  replay(fleet, [...crash(1000, 'a', [POISON]), ...crash(1100, 'b', [POISON])])
  sweepAt(fleet, 1200)
  sweepAt(fleet, 601_199)
  assert.is(vmsThatQuarantine(fleet, POISON), 'vm0,vm1,vm2')
  sweepAt(fleet, 601_200)
  assert.is(vmsThatQuarantine(fleet, POISON), '')
})

quarantineSuite('a VM receives the table on a new link', () => {
  const fleet = createFleet(3)
  fleet.mesh.unlink('vm1', 'vm2')
  replay(fleet, [...crash(1000, 'a', [POISON]), ...crash(1100, 'b', [POISON])])
  sweepAt(fleet, 1200)
  assert.is(vmsThatQuarantine(fleet, POISON), 'vm0,vm1')
  fleet.mesh.link('vm1', 'vm2')
  sweepAt(fleet, 5200)
  assert.is(vmsThatQuarantine(fleet, POISON), 'vm0,vm1,vm2')
  const before = fleet.mesh.delivered.get(quarantineChannel.kind)
  sweepAt(fleet, 5450)
  // Guards against sending the table again on each sweep.
  assert.is(fleet.mesh.delivered.get(quarantineChannel.kind), before)
})

quarantineSuite('a message is forwarded once in a full mesh', () => {
  // Guards against messages that are forwarded in a loop.
  const fleet = createFleet(6)
  const names = Object.keys(fleet.vms)
  for (const a of names) for (const b of names) if (a !== b) fleet.mesh.link(a, b)
  sweepAt(fleet, 0)
  replay(fleet, [...crash(1000, 'a', [POISON]), ...crash(1100, 'b', [POISON])])
  fleet.clock.now = 1200
  fleet.vms['vm0']?.sweep(1200)
  const sent = fleet.mesh.delivered.get(quarantineChannel.kind) ?? 0
  assert.ok(sent >= 5 && sent <= 30, `${sent} messages between 6 VMs`)
  assert.is(vmsThatQuarantine(fleet, POISON), names.join())
})

quarantineSuite('losses that a crashing request caused are retracted once, including those of its victims', () => {
  const fleet = createFleet()
  replay(fleet, [
    ...crash(1000, 'a', [POISON, victim(0)]), ...crash(2000, 'b', [POISON]), ...crash(3000, 'c', [POISON]),
    ...crash(3500, 'x', [victim(5)])
  ])
  sweepAt(fleet, 4000)
  replay(fleet, [...crash(5000, 'd', [victim(7), POISON]), ...crash(5500, 'e', [POISON, victim(8)])])
  sweepAt(fleet, 6000)
  const retractedLosses = fleet.retracted.map(({ target, fingerprint }) => `${target} ${fingerprint}`).sort()
  assert.equal(retractedLosses, [`a ${POISON}`, `a ${victim(0)}`, `b ${POISON}`, `c ${POISON}`, `d ${POISON}`, `d ${victim(7)}`, `e ${POISON}`, `e ${victim(8)}`])
})

quarantineSuite('the table is bounded and evicts the oldest entries', () => {
  const fleet = createFleet(1)
  const count = 1100
  for (let i = 0; i < count; i++) {
    replay(fleet, [...crash(1000 + i * 300, 'a', [victim(i)]), ...crash(1001 + i * 300, 'b', [victim(i)])])
    sweepAt(fleet, 1150 + i * 300)
  }
  assert.is(fleet.vms['vm0']?.explain(fleet.clock.now).length, 1024)
  assert.equal([vmsThatQuarantine(fleet, victim(0)), vmsThatQuarantine(fleet, victim(count - 1))], ['', 'vm0'])
})

quarantineSuite('two targets that crash under any mix of requests quarantine none of them', () => {
  // Guards against quarantining victims of one crash that run again at a second target which crashes by chance.
  const many = fc.uniqueArray(fc.nat(12), { minLength: 2, maxLength: 10 })
  fc.assert(fc.property(many, many, fc.nat(200), (first, second, gap) => {
    const fleet = createFleet(2)
    replay(fleet, [...crash(1000, 'a', first.map(victim)), ...crash(1000 + gap, 'b', second.map(victim))])
    sweepAt(fleet, 3000)
    for (const index of [...first, ...second]) assert.is(vmsThatQuarantine(fleet, victim(index)), '')
  }), { seed: SEED, numRuns: 300 })
})

quarantineSuite.run()
