/** Scenarios with unhealthy and healthy targets, shared by the design and the baseline. */
import type { Configuration, Preference, Result } from '../../src/model/index.js'
import { logNormal, type Random } from '../random.js'

/** Outcome of an attempt. */
export interface Outcome {
  readonly result: Result
  readonly latencyMs: number
}

/** An attempt at a target, which determines its outcome. */
export interface Attempt {
  /** Index of the target. */
  readonly target: number
  /** Index of the VM. */
  readonly vm: number
  /** Time since the start of the fault, in ms; negative before it. */
  readonly sinceFaultMs: number
  readonly random: Random
}

/** A pool of targets, its load and its fault. */
export interface Scenario {
  readonly name: string
  /** Number of targets. */
  readonly targets: number
  /** Slots of each target. */
  readonly slots: number
  /** Minimum capacity that ejections must leave, in slots. */
  readonly floor: number
  readonly preference: Preference
  readonly idempotent: boolean
  readonly ratePerSecond: number
  /** Number of VMs in the service's subset; the baseline uses all 48 VMs. */
  readonly subset: number
  /** Outcome of an attempt during the fault; undefined if the fault does not affect the attempt. */
  readonly fault: (attempt: Attempt) => Outcome | undefined
  /** Returns true if the VM is right to eject the target. */
  readonly isUnhealthy: (target: number, vm: number) => boolean
  /** Index of the target whose detection time is measured. */
  readonly detect?: number
  /** Time at which the coordinator crashes, in ms from the start of the fault. The baseline has no coordinator. */
  readonly coordinatorCrashMs?: number
}

export const SERVICE = 'measured'
export const CLASS = 'work'
/** Time after which a request times out. */
export const DEADLINE_MS = 1_000
/** Time before the fault, in which the subset elects a coordinator and establishes the usual latencies. */
export const WARM_UP_MS = 12_000
/** Measured time from the start of the fault. */
export const HORIZON_MS = 40_000

const MEDIAN_LATENCY_MS = 20
const LATENCY_SIGMA = 0.4
/** Fraction of the attempts that fail at a healthy target. */
const HEALTHY_FAILURE_RATE = 0.002
const FAILURE_LATENCY_MS = 5
const FLAP_PHASE_MS = 3_000

/** Outcome of an attempt at a healthy target. */
export function healthyOutcome (random: Random): Outcome {
  return { result: random() < HEALTHY_FAILURE_RATE ? 'failed' : 'answered', latencyMs: logNormal(random, MEDIAN_LATENCY_MS, LATENCY_SIGMA) }
}

function slowedOutcome (random: Random, factor: number): Outcome {
  const { result, latencyMs } = healthyOutcome(random)
  const slowedMs = latencyMs * factor
  return slowedMs > DEADLINE_MS ? { result: 'timeout', latencyMs: DEADLINE_MS } : { result, latencyMs: slowedMs }
}

const failingOutcome = (random: Random, probability: number): Outcome | undefined => random() < probability ? { result: 'failed', latencyMs: FAILURE_LATENCY_MS } : undefined
const timeout: Outcome = { result: 'timeout', latencyMs: DEADLINE_MS }
const refused: Outcome = { result: 'unreachable', latencyMs: 1 }

const isFirst = (target: number): boolean => target === 0
const isNoTarget = (): boolean => false

const sixTargets = { targets: 6, slots: 4, floor: 16, preference: 'detection', idempotent: true, ratePerSecond: 60, subset: 6 } as const
const thirtyTargets = { targets: 30, slots: 4, floor: 80, preference: 'detection', idempotent: true, ratePerSecond: 600, subset: 8 } as const
const smallPool = { targets: 8, slots: 2, floor: 12, preference: 'accuracy', idempotent: false, ratePerSecond: 60, subset: 4 } as const

/** The first target is faulty. */
const faultyTarget = (fault: (attempt: Attempt) => Outcome | undefined): Pick<Scenario, 'fault' | 'isUnhealthy' | 'detect'> => ({
  fault: attempt => isFirst(attempt.target) ? fault(attempt) : undefined,
  isUnhealthy: isFirst,
  detect: 0
})
/** The cause is not a single target, so that every ejection is a false one. */
const noFaultyTarget = (fault: (attempt: Attempt) => Outcome | undefined): Pick<Scenario, 'fault' | 'isUnhealthy'> => ({ fault, isUnhealthy: isNoTarget })

/** Every target fails 1 % of its attempts, and 3 % take more than three times the median. */
const noisy = noFaultyTarget(({ random }) => ({ result: random() < 0.01 ? 'failed' : 'answered', latencyMs: logNormal(random, MEDIAN_LATENCY_MS, 0.6) }))
const gray = faultyTarget(({ random }) => failingOutcome(random, 0.9))
const straggler = faultyTarget(({ random }) => slowedOutcome(random, 8))

/** Scenarios in the order of the report. */
export const scenarios: readonly Scenario[] = [
  { name: 'gray target, 6 targets', ...sixTargets, ...gray },
  { name: 'gray target that fails half of the time, 6 targets', ...sixTargets, ...faultyTarget(({ random }) => failingOutcome(random, 0.5)) },
  { name: 'straggler, 6 targets', ...sixTargets, ...straggler },
  { name: 'hanging target, 6 targets', ...sixTargets, ...faultyTarget(() => timeout) },
  { name: 'unreachable target, 6 targets', ...sixTargets, ...faultyTarget(() => refused) },
  { name: 'flapping target, 6 targets', ...sixTargets, ...faultyTarget(({ random, sinceFaultMs }) => sinceFaultMs % (2 * FLAP_PHASE_MS) < FLAP_PHASE_MS ? failingOutcome(random, 1) : undefined) },
  { name: 'gray target, low traffic', ...sixTargets, ratePerSecond: 12, ...gray },
  { name: 'gray target, small pool', ...smallPool, ...gray },
  { name: 'gray target, 100 ms after the loss of the coordinator', ...sixTargets, ...gray, coordinatorCrashMs: -100 },
  { name: 'gray target, 30 targets', ...thirtyTargets, ...gray },
  { name: 'straggler, 30 targets', ...thirtyTargets, ...straggler },
  { name: 'healthy, 6 targets', ...sixTargets, ...noFaultyTarget(() => undefined) },
  { name: 'healthy, 30 targets', ...thirtyTargets, ...noFaultyTarget(() => undefined) },
  { name: 'healthy but noisy, 6 targets', ...sixTargets, ...noisy },
  { name: 'healthy but noisy, 30 targets', ...thirtyTargets, ...noisy },
  { name: 'healthy but noisy, small pool', ...smallPool, ...noisy },
  { name: 'service-wide slowdown', ...sixTargets, ...noFaultyTarget(({ random }) => slowedOutcome(random, 10)) },
  { name: 'full outage', ...sixTargets, ...noFaultyTarget(({ random }) => failingOutcome(random, 1)) },
  { name: 'unhealthy VM that fails', ...sixTargets, ...noFaultyTarget(({ vm, random }) => vm === 0 ? failingOutcome(random, 0.8) : undefined) },
  { name: 'unhealthy VM that is slow', ...sixTargets, ...noFaultyTarget(({ vm, random }) => vm === 0 ? slowedOutcome(random, 10) : undefined) },
  {
    name: 'one-way cut between one VM and one target',
    ...sixTargets,
    fault: ({ target, vm }) => isFirst(target) && vm === 0 ? timeout : undefined,
    isUnhealthy: (target, vm) => isFirst(target) && vm === 0
  }
]

/** Outcome of an attempt in a scenario. */
export function outcomeOf (scenario: Scenario, attempt: Attempt): Outcome {
  return (attempt.sinceFaultMs < 0 ? undefined : scenario.fault(attempt)) ?? healthyOutcome(attempt.random)
}

/** Returns the id of the target with an index. */
export function targetId (index: number): string {
  return `t${index}`
}

/** Creates the configuration of a scenario: one service with one class. */
export function configurationOf (scenario: Scenario): Configuration {
  const targets = Array.from({ length: scenario.targets }, (_, i) => ({
    id: targetId(i), address: '127.0.0.1', port: 8_000 + i, place: 'riga-a', slots: scenario.slots, connections: 400
  }))
  return {
    revision: 1,
    routes: [],
    services: [{
      name: SERVICE,
      targets,
      classes: [{ name: CLASS, idempotent: scenario.idempotent, deadlineMs: DEADLINE_MS, priority: 1 }],
      floor: scenario.floor,
      preference: scenario.preference,
      queue: { length: 64, ageMs: 500 }
    }]
  }
}
