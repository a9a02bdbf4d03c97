/** Checks the invariants of a subset at every step of random fault schedules. */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createSchedule, type Fault } from '../../measure/fleet/faults.js'
import { createFleet, type SimulatedVM, type Fleet } from '../../measure/fleet/fleet.js'
import { createRandom, type Random } from '../../measure/random.js'
import type { Configuration, Demand, Result } from '../model/index.js'

const SEED = 20_260_401
const RUNS = 24
const WARM_UP_MS = 3_000
const RECOVERY_MS = 5_000
const SERVICE = 'holds'
const LEADER_CHECK_INTERVAL_MS = 50
/** Probability of an attempt per VM and step of 10 ms. */
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
  // The first rank leads most often, so its faults reveal more.
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

/** Generates requests that use slots for some time, with outcomes that depend on the target and the period. */
function createWorkload (random: Random): { readonly demandOf: (vm: string) => Demand, readonly step: (fleet: Fleet, targets: readonly string[]) => void } {
  const inUse = new Map<string, number>()
  const generations = new Map<string, number>()
  const phase = Math.floor(random() * PERIOD_MS)
  const key = (vm: string, target: string): string => `${vm} ${target}`
  const isGray = (target: number, now: number): boolean => (Math.floor((now + phase) / PERIOD_MS) * 7 + target * 5) % 3 === 0
  const attempt = (fleet: Fleet, vm: SimulatedVM, targets: readonly string[]): void => {
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
        // The requests of a replaced process ended with its connections.
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

interface Coverage {
  ejections: number
  leaders: number
}

/** Checks the VMs that are not paused. A paused process uses nothing, and is checked again when it resumes. */
function checkInvariants (fleet: Fleet, pool: Pool, targets: readonly string[], coverage: Coverage): void {
  const running = fleet.vms.filter(vm => !vm.isPaused())
  const now = fleet.now()
  const outOfService = new Set(running.flatMap(vm => {
    const { shares } = vm.coordination()
    return [...shares.ejected(SERVICE, now), ...shares.probation(SERVICE, now)]
  }))
  if (outOfService.size > 0) coverage.ejections += 1
  const healthy = (targets.length - outOfService.size) * pool.slots
  assert.ok(outOfService.size === 0 || healthy >= pool.floor, `floor: ${[...outOfService].join(' ')} out of service at ${now} leave ${healthy} slots`)
  for (const target of targets) {
    const limits = running.map(vm => vm.coordination().shares.limit(SERVICE, target, now))
    const sum = limits.reduce((a, b) => a + b, 0)
    assert.ok(sum <= pool.slots, `slots: the VMs have limits of ${limits.join('+')} for ${pool.slots} slots at ${target} at ${now}`)
  }
  if (now % LEADER_CHECK_INTERVAL_MS !== 0) return
  const leaders = running.filter(vm => vm.coordination().explain(SERVICE, 't1', now)?.['leads'] === true)
  if (leaders.length > 0) coverage.leaders += 1
  assert.ok(leaders.length <= 1, `lease: ${leaders.map(({ name }) => name).join(' ')} lead at ${now}`)
}

function runSchedule (pool: Pool, faults: readonly Fault[], seed: number, coverage: Coverage): void {
  const random = createRandom(seed)
  const configuration = configurationOf(pool)
  const targets = configuration.services[0]?.targets.map(({ id }) => id) ?? []
  const workload = createWorkload(random)
  const fleet = createFleet({ names: pool.vms, configuration: () => configuration, demandOf: workload.demandOf, random })
  const runUntil = (isOver: () => boolean): void => {
    while (!isOver()) {
      fleet.step()
      workload.step(fleet, targets)
      checkInvariants(fleet, pool, targets, coverage)
    }
  }
  const startedAt = fleet.now()
  runUntil(() => fleet.now() >= startedAt + WARM_UP_MS)
  const schedule = createSchedule(fleet, faults)
  runUntil(() => !schedule.apply())
  const endedAt = fleet.now()
  runUntil(() => fleet.now() >= endedAt + RECOVERY_MS)
}

for (const pool of pools) {
  // Guards against ejections beyond the floor, slots that are assigned to two VMs, and two coordinators at the same time.
  invariants(`floor, slots and lease hold at every step: ${pool.name} (seed ${SEED})`, () => {
    const coverage: Coverage = { ejections: 0, leaders: 0 }
    fc.assert(fc.property(fc.array(faultArbitrary, { minLength: 4, maxLength: 14 }), fc.nat(), (faults, seed) => {
      runSchedule(pool, faults, seed, coverage)
    }), { seed: SEED, numRuns: RUNS, endOnFailure: true, includeErrorInReport: true })
    // Without coordinators and ejections, the checks would pass trivially.
    assert.ok(coverage.ejections > 1_000, `ejections in ${coverage.ejections} steps`)
    assert.ok(coverage.leaders > 1_000, `coordinators at ${coverage.leaders} checks`)
  })
}

invariants.run()
