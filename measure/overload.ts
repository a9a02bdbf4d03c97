/**
 * Measures overload and outage at one VM: admission control and retry budget,
 * compared with an unbounded FIFO queue without deadlines and unconditional retries.
 */
import { Effect, Exit } from 'effect'
import { createAdmission, createRetryBudget } from '../src/admission/index.js'
import type { Configuration, Result, Shares, Slot, Target } from '../src/model/index.js'
import type { Measurement } from './measurement.js'
import { createRandom } from './random.js'
import { drawRequests, simulate, type Handler, type Load, type SimulatedRequest, type Simulation } from './simulator.js'

/** Options of {@link measureOverload}. */
export interface OverloadOptions {
  readonly seed: number
  /** Simulated time of each scenario in ms. Default: 60 000. */
  readonly durationMs?: number
}

const DEFAULT_DURATION_MS = 60_000

/** Maximum attempts per request, the first one included, for the design and the baseline. */
const MAX_ATTEMPTS = 3

/** Share of one VM of eight in a listing service of 30 targets with 4 slots each. */
const TARGETS = 5
const SLOTS_PER_TARGET = 3

const MEAN_SERVICE_TIME_MS = 50
const MEAN_FAILURE_TIME_MS = 5
const DEADLINE_MS = 2000
const MS_PER_SECOND = 1000
const CAPACITY_PER_SECOND = TARGETS * SLOTS_PER_TARGET * MS_PER_SECOND / MEAN_SERVICE_TIME_MS
const CALLERS = 40

const SERVICE = 'listing'
const CLASS = 'read'
const ZONE = 'riga-a'
const NONE: ReadonlySet<string> = new Set()

const targets: readonly Target[] = Array.from({ length: TARGETS }, (_, index) =>
  ({ id: `t${index}`, address: `127.0.0.${index + 2}`, port: 80, place: ZONE, slots: SLOTS_PER_TARGET, connections: 400 }))

const configuration: Configuration = {
  revision: 1,
  routes: [],
  services: [{
    name: SERVICE,
    targets,
    classes: [{ name: CLASS, idempotent: true, deadlineMs: DEADLINE_MS, priority: 0 }],
    floor: 0,
    preference: 'detection',
    queue: { length: 64, ageMs: 500 }
  }]
}

const shares: Shares = {
  limit: () => SLOTS_PER_TARGET,
  connectionLimit: () => SLOTS_PER_TARGET,
  ejected: () => NONE,
  probation: () => NONE
}

/** Counts of the requests and attempts of a scenario. */
interface Counts {
  requests: number
  firstAttempts: number
  attempts: number
  /** Complete responses before the deadline. */
  answered: number
}

/** A load and the outcome of all its attempts. */
interface Scenario {
  readonly load: Load
  readonly result: Result
}

type CreateHandler = (counts: Counts, simulation: Simulation) => Handler

function recordRun (counts: Counts, request: SimulatedRequest, result: Result, now: number): void {
  if (result === 'answered' && now <= request.deadlineAt) counts.answered += 1
}

/** Admission control and retry budget, as used by the entry. */
function designHandler (result: Result, random: () => number): CreateHandler {
  return (counts, { now, run }) => {
    const budget = createRetryBudget()
    const admission = createAdmission({ configuration: () => configuration, shares, zone: ZONE, observe: () => {}, random, clock: now })
    const finish = (request: SimulatedRequest, slot: Slot, tried: ReadonlySet<string>): void => {
      const fingerprint = String(request.id)
      slot.release({ service: SERVICE, target: slot.target.id, class: CLASS, result, latencyMs: request.serviceTimeMs, fingerprint }, now())
      recordRun(counts, request, result, now())
      if (result !== 'answered' && tried.size < MAX_ATTEMPTS && budget.tryWithdraw()) attempt(request, tried)
    }
    const start = (request: SimulatedRequest, slot: Slot, avoid: ReadonlySet<string>): void => {
      counts.attempts += 1
      if (avoid.size === 0) {
        counts.firstAttempts += 1
        budget.deposit()
      }
      run(request.serviceTimeMs, () => finish(request, slot, new Set([...avoid, slot.target.id])))
    }
    const attempt = (request: SimulatedRequest, avoid: ReadonlySet<string>): void => {
      const slotRequest = { service: SERVICE, class: CLASS, caller: `caller-${request.id % CALLERS}`, deadlineAt: request.deadlineAt, avoid, avoidPlaces: NONE }
      const fiber = Effect.runFork(admission.acquire(slotRequest, now()))
      fiber.addObserver(exit => { if (Exit.isSuccess(exit)) start(request, exit.value, avoid) })
    }
    return {
      submit: request => attempt(request, NONE),
      sweep: () => admission.sweep(now()),
      waiting: () => admission.waiting(SERVICE)
    }
  }
}

/** An unbounded FIFO queue without deadlines, and unconditional retries. */
function baselineHandler (result: Result): CreateHandler {
  return (counts, { now, run }) => {
    const queue: Array<{ readonly request: SimulatedRequest, readonly attempt: number }> = []
    let head = 0
    let free = TARGETS * SLOTS_PER_TARGET
    const add = (request: SimulatedRequest, attempt: number): void => {
      queue.push({ request, attempt })
      serve()
    }
    const serve = (): void => {
      while (free > 0 && head < queue.length) {
        const entry = queue[head++]
        if (entry === undefined) return
        free -= 1
        counts.attempts += 1
        if (entry.attempt === 1) counts.firstAttempts += 1
        run(entry.request.serviceTimeMs, () => finish(entry.request, entry.attempt))
      }
    }
    const finish = (request: SimulatedRequest, attempt: number): void => {
      free += 1
      recordRun(counts, request, result, now())
      if (result !== 'answered' && attempt < MAX_ATTEMPTS) add(request, attempt + 1)
      serve()
    }
    return { submit: request => add(request, 1), sweep: () => {}, waiting: () => queue.length - head }
  }
}

function runScenario (scenario: Scenario, createHandler: CreateHandler): Counts {
  const requests = drawRequests(scenario.load)
  const counts: Counts = { requests: requests.length, firstAttempts: 0, attempts: 0, answered: 0 }
  simulate(requests, simulation => createHandler(counts, simulation))
  return counts
}

const amplification = ({ attempts, firstAttempts }: Counts): number => attempts / firstAttempts
const answeredShare = ({ answered, requests }: Counts): number => answered / requests

/**
 * Measures both scenarios with the same requests for the design and the baseline.
 *
 * - `full-outage`: every attempt fails after 5 ms on average; `retryAmplification`
 *   is the number of attempts per first attempt.
 * - `season-peak`: the request rate is twice the capacity of the slots;
 *   `answeredShare` is the fraction of complete responses before the deadline.
 */
export function * measureOverload ({ seed, durationMs = DEFAULT_DURATION_MS }: OverloadOptions): Generator<Measurement, void> {
  const scenario = (result: Result, meanServiceTimeMs: number, ratePerSecond: number): Scenario =>
    ({ result, load: { ratePerSecond, durationMs, meanServiceTimeMs, deadlineMs: DEADLINE_MS, random: createRandom(seed) } })
  const outage = (): Scenario => scenario('reset', MEAN_FAILURE_TIME_MS, CAPACITY_PER_SECOND / 2)
  const peak = (): Scenario => scenario('answered', MEAN_SERVICE_TIME_MS, CAPACITY_PER_SECOND * 2)
  const placementRandom = createRandom(seed + 1)
  yield {
    scenario: 'full-outage',
    measure: 'retryAmplification',
    unit: 'attempts per first attempt',
    design: amplification(runScenario(outage(), designHandler('reset', placementRandom))),
    baseline: amplification(runScenario(outage(), baselineHandler('reset')))
  }
  yield {
    scenario: 'season-peak',
    measure: 'answeredShare',
    unit: 'share of requests',
    design: answeredShare(runScenario(peak(), designHandler('answered', placementRandom))),
    baseline: answeredShare(runScenario(peak(), baselineHandler('answered')))
  }
}
