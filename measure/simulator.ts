/** Discrete-event simulation of requests on a manual clock. */

/** A request of a simulated load. */
export interface SimulatedRequest {
  readonly id: number
  readonly arrivesAt: number
  readonly deadlineAt: number
  /** Time for which a run of the request occupies a slot, in ms. */
  readonly serviceTimeMs: number
}

/** Clock and runs of a simulation. */
export interface Simulation {
  readonly now: () => number
  /** Starts a run and calls `finish` when it ends. */
  readonly run: (durationMs: number, finish: () => void) => void
}

/** Admission policy under test. */
export interface Handler {
  readonly submit: (request: SimulatedRequest) => void
  /** Called every `SWEEP_INTERVAL_MS` until no request waits or runs. */
  readonly sweep: () => void
  /** Returns the number of queued requests. */
  readonly waiting: () => number
}

/** Distribution of the requests of a load. */
export interface Load {
  readonly ratePerSecond: number
  readonly durationMs: number
  readonly meanServiceTimeMs: number
  readonly deadlineMs: number
  /** Returns uniformly distributed numbers in [0, 1). */
  readonly random: () => number
}

const SWEEP_INTERVAL_MS = 5
const MS_PER_SECOND = 1000

const drawExponential = (mean: number, random: () => number): number => -Math.log(1 - random()) * mean

/** Draws requests with exponentially distributed gaps and service times. */
export function drawRequests ({ ratePerSecond, durationMs, meanServiceTimeMs, deadlineMs, random }: Load): readonly SimulatedRequest[] {
  const requests: SimulatedRequest[] = []
  let arrivesAt = 0
  for (;;) {
    arrivesAt += drawExponential(MS_PER_SECOND / ratePerSecond, random)
    if (arrivesAt >= durationMs) return requests
    const serviceTimeMs = drawExponential(meanServiceTimeMs, random)
    requests.push({ id: requests.length, arrivesAt, deadlineAt: arrivesAt + deadlineMs, serviceTimeMs })
  }
}

interface Run {
  readonly endsAt: number
  readonly finish: () => void
}

/** Processes all requests in chronological order, until none waits or runs. */
export function simulate (requests: readonly SimulatedRequest[], createHandler: (simulation: Simulation) => Handler): void {
  let now = 0
  let runs: readonly Run[] = []
  let next = 0
  let sweepAt = 0
  const handler = createHandler({
    now: () => now,
    run: (durationMs, finish) => { runs = [...runs, { endsAt: now + durationMs, finish }] }
  })
  while (next < requests.length || runs.length > 0 || handler.waiting() > 0) {
    const request = requests[next]
    const earliestRun = runs.reduce<Run | undefined>((a, b) => a === undefined || b.endsAt < a.endsAt ? b : a, undefined)
    now = Math.min(request?.arrivesAt ?? Infinity, earliestRun?.endsAt ?? Infinity, sweepAt)
    if (earliestRun !== undefined && earliestRun.endsAt === now) {
      runs = runs.filter(run => run !== earliestRun)
      earliestRun.finish()
    } else if (request !== undefined && request.arrivesAt === now) {
      next += 1
      handler.submit(request)
    } else {
      sweepAt = now + SWEEP_INTERVAL_MS
      handler.sweep()
    }
  }
}
