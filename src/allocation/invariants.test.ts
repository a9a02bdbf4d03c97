/** Invariants of a subset at every step of random schedules of faults. */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createSchedule, type Fault } from '../../measure/fleet/faults.js'
import { createFleet, type FakeVM, type Fleet } from '../../measure/fleet/fleet.js'
import { createRandom, type Random } from '../../measure/random.js'
import type { Configuration, Demand, Result } from '../model/index.js'

const SEED = 20_260_401
const RUNS = 24
const START_MS = 3_000
const END_MS = 5_000
const SERVICE = 'holds'
const CHECK_LEADERS_MS = 50
/** Attempts of each VM in a step of 10 ms. */
const ATTEMPTS_PER_STEP = 0.4
const RELEASE_PER_STEP = 0.1
/** Each target is gray in about a third of the periods of this length. */
const PERIOD_MS = 4_000

const invariants = suite('invariants')

interface Pool {
  readonly name: string
  readonly vms: readonly string[]
  readonly targets: number
  readonly slots: number
  readonly floor: number
}

const pools: readonly Pool[] = [
  { name: '6 targets of 4 slots, 6 VMs', vms: ['a', 'b', 'c', 'd', 'e', 'f'], targets: 6, slots: 4, floor: 16 },
  { name: '8 targets of 2 slots, 4 VMs', vms: ['a', 'b', 'c', 'd'], targets: 8, slots: 2, floor: 12 }
]

const faultArbitrary: fc.Arbitrary<Fault> = fc.record({
  kind: fc.constantFrom('cut-one-way' as const, 'cut-one-way' as const, 'isolate' as const, 'pause' as const, 'pause' as const,
    'restart' as const, 'leave' as const, 'loss' as const, 'delay' as const, 'heal' as const, 'heal' as const),
  afterMs: fc.integer({ min: 0, max: 1_500 }),
  // Lower ranks lead more often, so faults of theirs show more.
  vm: fc.oneof(fc.constant(0), fc.nat({ max: 5 })),
  other: fc.nat({ max: 5 }),
  pauseMs: fc.integer({ min: 100, max: 5_000 })
})

function configurationOf ({ targets, slots, floor }: Pool): Configuration {
  return {
    revision: 1,
    routes: [],
    services: [{
      name: SERVICE,
      targets: Array.from({ length: targets }, (_, i) => ({
        id: `t${i + 1}`, address: `127.0.0.${i + 1}`, port: 8080, place: 'riga-a', slots, connections: 400
      })),
      classes: [{ name: 'listing', idempotent: true, deadlineMs: 1_000, priority: 1 }],
      floor,
      preference: 'detection',
      queue: { length: 64, ageMs: 500 }
    }]
  }
}

/** Requests that keep slots for a while, and outcomes that depend on the target and its period. */
function createWork (random: Random): { readonly demandOf: (vm: string) => Demand, readonly step: (fleet: Fleet, targets: readonly string[]) => void } {
  const inUse = new Map<string, number>()
  const generations = new Map<string, number>()
  const phase = Math.floor(random() * PERIOD_MS)
  const key = (vm: string, target: string): string => `${vm} ${target}`
  const isGray = (target: number, now: number): boolean => (Math.floor((now + phase) / PERIOD_MS) * 7 + target * 5) % 3 === 0
  const attempt = (fleet: Fleet, vm: FakeVM, targets: readonly string[]): void => {
    const index = Math.floor(random() * targets.length)
    const target = targets[index] ?? ''
    const used = inUse.get(key(vm.name, target)) ?? 0
    if (used < vm.coordination().shares.limit(SERVICE, target, fleet.now())) inUse.set(key(vm.name, target), used + 1)
    else if (used === 0) return
    const result: Result = isGray(index, fleet.now()) ? (random() < 0.5 ? 'failed' : 'unreachable') : 'answered'
    fleet.observe(vm.name, { service: SERVICE, target, class: 'listing', result, latencyMs: 10, fingerprint: '' })
  }
  return {
    demandOf: vm => ({
      inUse: (_, target) => inUse.get(key(vm, target)) ?? 0,
      waiting: () => vm === 'b' ? 5 : 0
    }),
    step: (fleet, targets) => {
      for (const vm of fleet.vms) {
        // A replaced process has lost its connections, and with them its requests.
        if (generations.get(vm.name) !== vm.generation()) for (const target of targets) inUse.delete(key(vm.name, target))
        generations.set(vm.name, vm.generation())
        if (vm.isPaused()) continue
        for (const target of targets) {
          const used = inUse.get(key(vm.name, target)) ?? 0
          if (used > 0 && random() < RELEASE_PER_STEP) inUse.set(key(vm.name, target), used - 1)
        }
        if (random() < ATTEMPTS_PER_STEP) attempt(fleet, vm, targets)
      }
    }
  }
}

interface Seen {
  ejections: number
  leaders: number
}

/** A paused process uses nothing; it is asked again at the moment it wakes. */
function check (fleet: Fleet, pool: Pool, targets: readonly string[], seen: Seen): void {
  const awake = fleet.vms.filter(vm => !vm.isPaused())
  const now = fleet.now()
  const out = new Set(awake.flatMap(vm => {
    const { shares } = vm.coordination()
    return [...shares.ejected(SERVICE, now), ...shares.probation(SERVICE, now)]
  }))
  if (out.size > 0) seen.ejections += 1
  const healthy = (targets.length - out.size) * pool.slots
  assert.ok(out.size === 0 || healthy >= pool.floor, `floor: ${[...out].join(' ')} out of service at ${now} leave ${healthy} slots`)
  for (const target of targets) {
    const limits = awake.map(vm => vm.coordination().shares.limit(SERVICE, target, now))
    const sum = limits.reduce((a, b) => a + b, 0)
    assert.ok(sum <= pool.slots, `slots: VMs believe to have ${limits.join('+')} of ${pool.slots} at ${target} at ${now}`)
  }
  if (now % CHECK_LEADERS_MS !== 0) return
  const leaders = awake.filter(vm => vm.coordination().explain(SERVICE, 't1', now)?.['leads'] === true)
  if (leaders.length > 0) seen.leaders += 1
  assert.ok(leaders.length <= 1, `lease: ${leaders.map(({ name }) => name).join(' ')} lead at ${now}`)
}

function runSchedule (pool: Pool, faults: readonly Fault[], seed: number, seen: Seen): void {
  const random = createRandom(seed)
  const configuration = configurationOf(pool)
  const targets = configuration.services[0]?.targets.map(({ id }) => id) ?? []
  const work = createWork(random)
  const fleet = createFleet({ names: pool.vms, configuration: () => configuration, demandOf: work.demandOf, random })
  const runUntil = (isOver: () => boolean): void => {
    while (!isOver()) {
      fleet.step()
      work.step(fleet, targets)
      check(fleet, pool, targets, seen)
    }
  }
  const startedAt = fleet.now()
  runUntil(() => fleet.now() >= startedAt + START_MS)
  const schedule = createSchedule(fleet, faults)
  runUntil(() => !schedule.apply())
  const endedAt = fleet.now()
  runUntil(() => fleet.now() >= endedAt + END_MS)
}

for (const pool of pools) {
  // Guards against ejections beyond the floor, slots that two VMs have, and two coordinators at one time.
  invariants(`floor, slots and lease hold at every step: ${pool.name} (seed ${SEED})`, () => {
    const seen: Seen = { ejections: 0, leaders: 0 }
    fc.assert(fc.property(fc.array(faultArbitrary, { minLength: 4, maxLength: 14 }), fc.nat(), (faults, seed) => {
      runSchedule(pool, faults, seed, seen)
    }), { seed: SEED, numRuns: RUNS, endOnFailure: true, includeErrorInReport: true })
    // The checks say nothing unless there were coordinators and ejections.
    assert.ok(seen.ejections > 1_000, `ejections in ${seen.ejections} steps`)
    assert.ok(seen.leaders > 1_000, `coordinators at ${seen.leaders} checks`)
  })
}

invariants.run()
