/**
 * Overload and outage at one VM: admission and retry budget against a FIFO
 * queue without bound or deadlines and a plain retry.
 */
import { Effect, Exit } from 'effect'
import { createAdmission, createRetryBudget } from '../src/admission/index.js'
import type { Configuration, Result, Shares, Slot, Target } from '../src/model/index.js'
import type { Measurement } from './measurement.js'
import { createRandom } from './random.js'
import { drawRequests, simulate, type Handler, type Load, type SimulatedRequest, type Simulation } from './simulator.js'

/** How long and with which seed to measure. */
export interface OverloadOptions {
  readonly seed: number
  /** Simulated time of each scenario. Default: 60 s. */
  readonly durationMs?: number
}

const DEFAULT_DURATION_MS = 60_000

/** Attempts of the plain retry, the first one included; the design is limited to as many. */
const MAX_ATTEMPTS = 3

/** Share of one VM of eight in a listing service of 30 targets with 4 slots each. */
const TARGETS = 5
const SLOTS_PER_TARGET = 3

const MEAN_SERVICE_MS = 50
const MEAN_FAILURE_MS = 5
const DEADLINE_MS = 2000
const MS_PER_SECOND = 1000
const CAPACITY_PER_SECOND = TARGETS * SLOTS_PER_TARGET * MS_PER_SECOND / MEAN_SERVICE_MS
const CALLERS = 40

const SERVICE = 'listing'
const CLASS = 'read'
const PLACE = 'riga-a'
const NONE: ReadonlySet<string> = new Set()

const targets: readonly Target[] = Array.from({ length: TARGETS }, (_, index) =>
  ({ id: `t${index}`, address: `127.0.0.${index + 2}`, port: 80, place: PLACE, slots: SLOTS_PER_TARGET, connections: 400 }))

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

/** What happened to the requests of a scenario. */
interface Counts {
  requests: number
  firstAttempts: number
  attempts: number
  /** Whole answers before the deadline. */
  answered: number
}

/** Outcome of every run of a scenario. */
interface Scenario {
  readonly load: Load
  readonly result: Result
}

type Start = (counts: Counts, simulation: Simulation) => Handler

function recordRun (counts: Counts, request: SimulatedRequest, result: Result, now: number): void {
  if (result === 'answered' && now <= request.deadlineAt) counts.answered += 1
}

/** Admission and retry budget as the entry uses them. */
function startDesign (result: Result, random: () => number): Start {
  return (counts, { now, run }) => {
    const budget = createRetryBudget()
    const admission = createAdmission({ configuration: () => configuration, shares, zone: PLACE, observe: () => {}, random, clock: now })
    const finish = (request: SimulatedRequest, slot: Slot, tried: ReadonlySet<string>): void => {
      const fingerprint = String(request.id)
      slot.release({ service: SERVICE, target: slot.target.id, class: CLASS, result, latencyMs: request.serviceMs, fingerprint }, now())
      recordRun(counts, request, result, now())
      if (result !== 'answered' && tried.size < MAX_ATTEMPTS && budget.tryWithdraw()) attempt(request, tried)
    }
    const start = (request: SimulatedRequest, slot: Slot, avoid: ReadonlySet<string>): void => {
      counts.attempts += 1
      if (avoid.size === 0) {
        counts.firstAttempts += 1
        budget.deposit()
      }
      run(request.serviceMs, () => finish(request, slot, new Set([...avoid, slot.target.id])))
    }
    const attempt = (request: SimulatedRequest, avoid: ReadonlySet<string>): void => {
      const wanted = { service: SERVICE, class: CLASS, caller: `caller-${request.id % CALLERS}`, deadlineAt: request.deadlineAt, avoid, avoidPlaces: NONE }
      const fiber = Effect.runFork(admission.acquire(wanted, now()))
      fiber.addObserver(exit => { if (Exit.isSuccess(exit)) start(request, exit.value, avoid) })
    }
    return {
      submit: request => attempt(request, NONE),
      sweep: () => admission.sweep(now()),
      waiting: () => admission.waiting(SERVICE)
    }
  }
}

/** A FIFO queue without bound, no deadlines, and a plain retry. */
function startBaseline (result: Result): Start {
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
        run(entry.request.serviceMs, () => finish(entry.request, entry.attempt))
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

function play (scenario: Scenario, start: Start): Counts {
  const requests = drawRequests(scenario.load)
  const counts: Counts = { requests: requests.length, firstAttempts: 0, attempts: 0, answered: 0 }
  simulate(requests, simulation => start(counts, simulation))
  return counts
}

const amplification = ({ attempts, firstAttempts }: Counts): number => attempts / firstAttempts
const answeredShare = ({ answered, requests }: Counts): number => answered / requests

/**
 * Measures both scenarios with the same requests for design and baseline.
 *
 * - `full-outage`: every run fails after 5 ms on average; `retryAmplification`
 *   is attempts for each first attempt.
 * - `season-peak`: twice as many requests as the slots can run;
 *   `answeredShare` counts whole answers before the deadline.
 */
export function * measureOverload ({ seed, durationMs = DEFAULT_DURATION_MS }: OverloadOptions): Generator<Measurement, void> {
  const scenario = (result: Result, meanServiceMs: number, ratePerSecond: number): Scenario =>
    ({ result, load: { ratePerSecond, durationMs, meanServiceMs, deadlineMs: DEADLINE_MS, random: createRandom(seed) } })
  const outage = (): Scenario => scenario('reset', MEAN_FAILURE_MS, CAPACITY_PER_SECOND / 2)
  const peak = (): Scenario => scenario('answered', MEAN_SERVICE_MS, CAPACITY_PER_SECOND * 2)
  const choice = createRandom(seed + 1)
  yield {
    scenario: 'full-outage',
    measure: 'retryAmplification',
    unit: 'attempts per first attempt',
    design: amplification(play(outage(), startDesign('reset', choice))),
    baseline: amplification(play(outage(), startBaseline('reset')))
  }
  yield {
    scenario: 'season-peak',
    measure: 'answeredShare',
    unit: 'share of requests',
    design: answeredShare(play(peak(), startDesign('answered', choice))),
    baseline: answeredShare(play(peak(), startBaseline('answered')))
  }
}
