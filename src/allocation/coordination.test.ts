/** Coordination of a whole subset, with a manual clock and an in-memory network. */
import { Effect } from 'effect'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createFleet, noDemand, type Fleet } from '../../measure/fleet/fleet.js'
import { createRandom } from '../../measure/random.js'
import type { Configuration, Observation, Result } from '../model/index.js'
import type { ConnectOutcome, TryConnect } from './index.js'

const coordination = suite('coordination')
const NAMES = ['a', 'b', 'c', 'd', 'e', 'f']
const TARGETS = ['t1', 't2', 't3', 't4', 't5', 't6']

function configurationOf (slots: number, floor: number, count = 6): Configuration {
  const targets = Array.from({ length: count }, (_, i) => ({
    id: `t${i + 1}`, address: `127.0.0.${i + 1}`, port: 8080, place: 'riga-a', slots, connections: 400
  }))
  const classes = [{ name: 'listing', idempotent: true, deadlineMs: 1_000, priority: 1 }]
  return {
    revision: 1,
    routes: [],
    services: [{ name: 'holds', targets, classes, floor, preference: 'detection', queue: { length: 64, ageMs: 500 } }]
  }
}

function fleetOf (configuration: () => Configuration): Fleet {
  return createFleet({ names: NAMES, configuration, demandOf: () => noDemand, random: createRandom(1) })
}

function runFor (fleet: Fleet, ms: number, afterStep: () => void = () => {}): void {
  for (const until = fleet.now() + ms; fleet.now() < until;) {
    fleet.step()
    afterStep()
  }
}

const observation = (target: string, result: Result): Observation =>
  ({ service: 'holds', target, class: 'listing', result, latencyMs: 10, fingerprint: '' })

function limit (fleet: Fleet, vm: string, target: string): number {
  return fleet.vms.find(({ name }) => name === vm)?.coordination().shares.limit('holds', target, fleet.now()) ?? 0
}

function leaders (fleet: Fleet): readonly string[] {
  return fleet.vms.filter(vm => !vm.isPaused() && vm.coordination().explain('holds', undefined, fleet.now())?.['leads'] === true).map(({ name }) => name)
}

const total = (fleet: Fleet, target: string): number => NAMES.reduce((sum, vm) => sum + limit(fleet, vm, target), 0)

coordination('a VM has its base shares without a coordinator', () => {
  const fleet = fleetOf(() => configurationOf(4, 16))
  runFor(fleet, 1_000)
  assert.equal(leaders(fleet), [])
  assert.is(total(fleet, 't1'), 2)
})

coordination('a coordinator assigns all slots within 3 s of the start', () => {
  const fleet = fleetOf(() => configurationOf(4, 16))
  runFor(fleet, 3_000)
  assert.equal(leaders(fleet), ['a'])
  for (const target of ['t1', 't6']) assert.is(total(fleet, target), 4)
})

coordination('a failing target is ejected on every VM and returns to service when it recovers', () => {
  const fleet = fleetOf(() => configurationOf(4, 16))
  runFor(fleet, 3_000)
  const observeAll = (result: Result): void => {
    for (const vm of NAMES) for (const target of TARGETS) fleet.observe(vm, observation(target, target === 't1' ? result : 'answered'))
  }
  observeAll('failed')
  runFor(fleet, 500)
  assert.is(total(fleet, 't1'), 0)
  runFor(fleet, 9_000, () => {
    for (const vm of fleet.vms) if (vm.coordination().shares.probation('holds', fleet.now()).has('t1')) fleet.observe(vm.name, observation('t1', 'answered'))
  })
  assert.is(total(fleet, 't1'), 4)
})

coordination('a draining target gets no requests from any VM within 3 s', () => {
  const fleet = fleetOf(() => configurationOf(4, 16))
  runFor(fleet, 3_000)
  fleet.observe('c', observation('t2', 'draining'))
  assert.is(limit(fleet, 'c', 't2'), 0)
  runFor(fleet, 400)
  assert.is(total(fleet, 't2'), 0)
})

interface Restart {
  readonly name: string
  /** Outcomes of successive connection attempts, one per second. The last one repeats. */
  readonly outcomes: readonly ConnectOutcome[]
  /** Slots of the target in the whole fleet, 4 s and 12 s after its announcement. */
  readonly slots: readonly [number, number]
}

const restarts: readonly Restart[] = [
  { name: 'keeps listening while it drains', outcomes: ['accepted'], slots: [0, 0] },
  { name: 'stops without a replacement', outcomes: ['refused'], slots: [0, 0] },
  { name: 'is temporarily unreachable', outcomes: ['accepted', 'unknown', 'unknown', 'accepted'], slots: [0, 0] },
  { name: 'restarts immediately', outcomes: ['refused', 'accepted'], slots: [2, 4] },
  { name: 'restarts after 5 s', outcomes: ['accepted', 'accepted', 'refused', 'refused', 'unknown', 'accepted'], slots: [0, 4] }
]

for (const { name, outcomes, slots } of restarts) {
  // Guards against a restarted target that stays unused for 10 min, and against requests to a target that still drains.
  coordination(`a target that announced its drain and ${name}`, () => {
    let tried = 0
    const tryConnect: TryConnect = ({ id }) => Effect.sync(() => {
      assert.is(id, 't2')
      return outcomes[Math.min(tried++, outcomes.length - 1)] ?? 'unknown'
    })
    const fleet = createFleet({ names: NAMES, configuration: () => configurationOf(4, 16), demandOf: () => noDemand, random: createRandom(1), tryConnect })
    runFor(fleet, 3_000)
    fleet.observe('c', observation('t2', 'draining'))
    runFor(fleet, 4_000)
    const early = total(fleet, 't2')
    runFor(fleet, 8_000)
    assert.equal([early, total(fleet, 't2')], slots)
  })
}

// Guards against a coordinator that accepts an old announcement from a member that missed the restart.
coordination('a target that restarted stays in service when the coordinator is replaced', () => {
  const outcomes: ConnectOutcome[] = ['refused']
  const tryConnect: TryConnect = () => Effect.sync(() => outcomes.shift() ?? 'accepted')
  const fleet = createFleet({ names: NAMES, configuration: () => configurationOf(4, 16), demandOf: () => noDemand, random: createRandom(1), tryConnect })
  runFor(fleet, 3_000)
  fleet.observe('c', observation('t2', 'draining'))
  runFor(fleet, 500)
  fleet.pause('f')
  runFor(fleet, 4_000)
  fleet.pause('a')
  fleet.resume('f')
  runFor(fleet, 12_000)
  assert.equal(leaders(fleet), ['b'])
  assert.ok(total(fleet, 't2') >= 3, `${total(fleet, 't2')} slots`)
})

coordination('a target that was removed from the configuration gets no requests', () => {
  let configuration = configurationOf(4, 16)
  const fleet = fleetOf(() => configuration)
  runFor(fleet, 3_000)
  configuration = configurationOf(4, 16, 5)
  assert.is(total(fleet, 't6'), 0)
})

/** Ejects t1 and fails its probations for 6.5 s, so that it remains ejected for 8 s more. */
function ejectRepeatedly (fleet: Fleet): void {
  for (const vm of NAMES) for (const target of TARGETS) fleet.observe(vm, observation(target, target === 't1' ? 'failed' : 'answered'))
  runFor(fleet, 6_500, () => {
    for (const vm of fleet.vms) if (vm.coordination().shares.probation('holds', fleet.now()).has('t1')) fleet.observe(vm.name, observation('t1', 'failed'))
  })
}

// Guards against a process that acts on outdated state after a pause of more than 1 s.
coordination('a VM that was paused for 1.2 s has no lease and only its base shares when it resumes', () => {
  const fleet = fleetOf(() => configurationOf(4, 16))
  runFor(fleet, 3_000)
  const sum = (): number => TARGETS.reduce((slots, target) => slots + limit(fleet, 'a', target), 0)
  assert.is(sum(), 4)
  fleet.pause('a')
  runFor(fleet, 1_200)
  fleet.resume('a')
  assert.is(sum(), 2)
  assert.equal(leaders(fleet), [])
})

// Guards against a gray target that returns to service on each change of the coordinator.
coordination('the next rank takes over after a crash of the coordinator, and restores the ejections', () => {
  const fleet = fleetOf(() => configurationOf(4, 16))
  runFor(fleet, 3_000)
  ejectRepeatedly(fleet)
  fleet.pause('a')
  runFor(fleet, 4_700)
  assert.equal(leaders(fleet), ['b'])
  assert.is(NAMES.slice(1).reduce((sum, vm) => sum + limit(fleet, vm, 't1'), 0), 0)
})

function stateOf (fleet: Fleet, target: string): unknown {
  const explained = fleet.vms[0]?.coordination().explain('holds', target, fleet.now())
  return (explained?.['targets'] as ReadonlyArray<Record<string, unknown>>)[0]?.['state']
}

interface CoordinatorLoss {
  readonly name: string
  /** Sets up the evidence and crashes the coordinator. */
  readonly before: (fleet: Fleet) => void
  readonly ejected: boolean
}

const failures = NAMES.slice(1).map(vm => ({ vm, observation: observation('t1', 'failed') }))
const observeFailures = (fleet: Fleet): void => {
  for (const vm of NAMES) for (const target of TARGETS.slice(1)) fleet.observe(vm, observation(target, 'answered'))
  for (const { vm, observation: failure } of failures) fleet.observe(vm, failure)
}

const losses: readonly CoordinatorLoss[] = [
  {
    // Guards against a gray target that is ejected only after it has failed as many requests again.
    name: 'evidence reported to a lost coordinator counts at the next one',
    before: fleet => { fleet.pause('a'); observeFailures(fleet); runFor(fleet, 300) },
    ejected: true
  },
  {
    name: 'evidence that was retracted after the loss of the coordinator does not count at the next one',
    before: fleet => {
      fleet.pause('a')
      observeFailures(fleet)
      runFor(fleet, 300)
      for (const { vm, observation: failure } of failures) fleet.vms.find(({ name }) => name === vm)?.coordination().retract([failure], fleet.now())
    },
    ejected: false
  },
  {
    // Guards against a target that is ejected twice on the same evidence.
    name: 'evidence of an ejection that has ended does not count at the next coordinator',
    before: fleet => {
      observeFailures(fleet)
      // The target is in service again after 7.2 s. The evidence of the ejection, if it were kept, would count for another 2.8 s.
      runFor(fleet, 7_250, () => {
        for (const vm of fleet.vms) if (vm.coordination().shares.probation('holds', fleet.now()).has('t1')) fleet.observe(vm.name, observation('t1', 'answered'))
      })
      assert.is(stateOf(fleet, 't1'), 'in-service')
      fleet.pause('a')
    },
    ejected: false
  }
]

for (const { name, before, ejected } of losses) {
  coordination(name, () => {
    const fleet = fleetOf(() => configurationOf(4, 16))
    runFor(fleet, 3_000)
    before(fleet)
    let isOut = false
    // The lease expires after 2 s, the second rank waits 250 ms, and its members report within 500 ms.
    runFor(fleet, 3_000, () => { isOut ||= leaders(fleet).includes('b') && fleet.vms[1]?.coordination().shares.ejected('holds', fleet.now()).has('t1') === true })
    assert.equal(leaders(fleet), ['b'])
    assert.is(isOut, ejected)
  })
}

// Guards against a loss of half of the capacity for seconds after each crash of a coordinator.
coordination('the other members have their slots again 2.5 s after a crash of the coordinator', () => {
  const fleet = fleetOf(() => configurationOf(4, 16))
  runFor(fleet, 4_000)
  const survivors = (): number => NAMES.slice(1).reduce((sum, vm) =>
    sum + TARGETS.reduce((slots, target) => slots + limit(fleet, vm, target), 0), 0)
  const before = survivors()
  fleet.pause('a')
  runFor(fleet, 2_500)
  assert.is(survivors(), before)
})

// Guards against members that reject the allocations of a coordinator that lost its lease and obtained it again.
coordination('a coordinator that is elected again assigns all slots within 3 s', () => {
  const fleet = fleetOf(() => configurationOf(4, 16))
  runFor(fleet, 20_000)
  for (const from of NAMES) for (const to of NAMES) fleet.network.cut(from, to)
  runFor(fleet, 2_200)
  assert.equal(leaders(fleet), [])
  fleet.network.healAll()
  let most = 0
  runFor(fleet, 3_000, () => { most = Math.max(most, total(fleet, 't1')) })
  assert.equal(leaders(fleet), ['a'])
  assert.is(total(fleet, 't1'), 4)
  assert.ok(most <= 4, `${most} slots of 4`)
})

// Guards against slots that are returned to a member although the previous coordinator assigned them to others.
coordination('a member that was cut off for a long time does not regain slots that others have now', () => {
  const fleet = fleetOf(() => configurationOf(4, 16))
  runFor(fleet, 4_000)
  assert.is(limit(fleet, 'f', 't3'), 1)
  for (const vm of NAMES.slice(0, 5)) { fleet.network.cut('f', vm); fleet.network.cut(vm, 'f') }
  runFor(fleet, 6_000)
  assert.is(NAMES.slice(0, 5).reduce((sum, vm) => sum + limit(fleet, vm, 't3'), 0), 4)
  fleet.network.healAll()
  fleet.pause('a')
  runFor(fleet, 4_000, () => assert.is(limit(fleet, 'f', 't3'), 0))
})

// Guards against a graceful shutdown that interrupts slots or ejections.
coordination('a coordinator that shuts down is replaced within 500 ms without an interruption', () => {
  const fleet = fleetOf(() => configurationOf(4, 16))
  runFor(fleet, 3_000)
  ejectRepeatedly(fleet)
  fleet.vms[0]?.coordination().leave(fleet.now())
  let least = Infinity
  runFor(fleet, 3_000, () => {
    least = Math.min(least, total(fleet, 't2'))
    assert.is(total(fleet, 't1'), 0)
  })
  assert.is(least, 4)
  assert.equal(leaders(fleet), ['b'])
})

interface Predecessor {
  readonly name: string
  /** Ends the contact with the predecessor, which has just ejected t1 and t2. */
  readonly disconnect: (fleet: Fleet) => void
}

const predecessors: readonly Predecessor[] = [
  { name: 'cut off', disconnect: () => {} },
  {
    name: 'that released its lease and is then cut off',
    disconnect: fleet => {
      fleet.network.healAll()
      fleet.vms[0]?.coordination().leave(fleet.now())
      runFor(fleet, 20)
      for (const vm of NAMES.slice(1)) { fleet.network.cut('a', vm); fleet.network.cut(vm, 'a') }
    }
  }
]

for (const { name, disconnect } of predecessors) {
  // Guards against a new coordinator that ejects targets while its predecessor, from which no member receives messages, still enforces its own ejections.
  coordination(`a new coordinator ejects nothing while ejections may be in effect at a predecessor ${name}`, () => {
    const fleet = fleetOf(() => configurationOf(4, 16))
    runFor(fleet, 3_000)
    for (const vm of NAMES.slice(1)) fleet.network.cut('a', vm)
    // Only the predecessor uses t1 and t2, so reports to its successor do not contain them.
    const failAt = (failing: readonly string[], seenBy: readonly string[]): void => {
      for (const vm of NAMES) {
        for (const target of TARGETS) {
          const isFailing = failing.includes(target)
          if (!isFailing || seenBy.includes(vm)) fleet.observe(vm, observation(target, isFailing ? 'failed' : 'answered'))
        }
      }
    }
    const seen = new Set<string>()
    let step = 0
    const watch = (): void => {
      step += 1
      const hasNewLeader = leaders(fleet).some(vm => vm !== 'a')
      if (step % 5 === 0) failAt(hasNewLeader ? ['t3', 't4'] : ['t1', 't2'], hasNewLeader ? NAMES : ['a'])
      const out = new Set(NAMES.flatMap((_, i) => [...fleet.vms[i]?.coordination().shares.ejected('holds', fleet.now()) ?? []]))
      for (const target of out) seen.add(target)
      assert.ok(out.size <= 2, `${[...out].join(' ')} are ejected at the same time`)
    }
    runFor(fleet, 700, watch)
    assert.equal([...seen].toSorted(), ['t1', 't2'])
    disconnect(fleet)
    runFor(fleet, 7_300, watch)
    assert.equal([...seen].toSorted(), ['t1', 't2', 't3', 't4'])
  })
}

// Guards against a returning target whose slots are all assigned while cut-off members use their base shares.
coordination('slow start reserves the base shares of cut-off members', () => {
  const fleet = fleetOf(() => configurationOf(4, 16))
  runFor(fleet, 3_000)
  for (const vm of NAMES) for (const target of TARGETS) fleet.observe(vm, observation(target, target === 't3' ? 'failed' : 'answered'))
  runFor(fleet, 1_000)
  // These two have the base shares of t3.
  for (const cut of ['c', 'd']) for (const vm of NAMES) { fleet.network.cut(cut, vm); fleet.network.cut(vm, cut) }
  let most = 0
  runFor(fleet, 10_000, () => {
    for (const vm of fleet.vms) if (vm.coordination().shares.probation('holds', fleet.now()).has('t3')) fleet.observe(vm.name, observation('t3', 'answered'))
    most = Math.max(most, total(fleet, 't3'))
    assert.ok(total(fleet, 't3') <= 4, `${total(fleet, 't3')} slots at ${fleet.now()}`)
  })
  assert.is(most, 4)
})

coordination('explain returns the verdict, the coordinator, the evidence and the floor', () => {
  const fleet = fleetOf(() => configurationOf(4, 16))
  runFor(fleet, 3_000)
  for (const vm of NAMES) for (const target of TARGETS) fleet.observe(vm, observation(target, target === 't1' ? 'failed' : 'answered'))
  runFor(fleet, 500)
  const explained = fleet.vms[0]?.coordination().explain('holds', 't1', fleet.now())
  const target = (explained?.['targets'] as ReadonlyArray<Record<string, Record<string, unknown>>>)[0]
  assert.is(explained?.['coordinator'], 'a')
  assert.is(target?.['state'], 'ejected')
  const evidence = target?.['ejection']?.['evidence'] as Record<string, Record<string, number>>
  assert.ok(Object.keys(evidence).length >= 2, 'reports of at least two VMs')
  for (const counts of Object.values(evidence)) assert.equal(counts, { failed: 1 })
  assert.equal(explained?.['floor'], { floor: 16, configured: 24, unavailable: 0, ejected: 4, healthy: 20 })
  assert.is(fleet.vms[0]?.coordination().explain('holds', 't99', fleet.now()), undefined)
  assert.ok(JSON.stringify(explained))
})

coordination.run()
