/**
 * Order and admission rules of the queue of one service.
 *
 * In bursts of 1.4 to 3 times the normal load on a service without spare slots, a FIFO queue would make
 * every request miss its objective. So requests that can still meet their objective go first, among them
 * the most urgent ones. A request that cannot be served in time is refused as soon as that is known, with
 * a jittered `retry-after` that spreads the retries.
 */

/** A request in the queue. */
export interface QueuedRequest {
  /** 0 is the most urgent. */
  readonly urgency: number
  readonly objectiveAt: number
  readonly deadlineAt: number
  /** Average latency of the request's class, in ms. */
  readonly averageLatencyMs: number
}

/** Latencies vary around the average, so that meeting the objective in most cases takes this multiple of it. */
const LATENCY_MARGIN = 1.5
/** Highest expected wait of a request that meets its objective, as a fraction of the time to its latest start. */
const ON_TIME_WAIT_SHARE = 0.8
/** The same for a request that misses its objective. Lower, because later arrivals that meet theirs overtake it. */
const LATE_WAIT_SHARE = 0.4
/** Bounds on the retry delay before jitter, in ms. */
const RETRY_AFTER_MIN_MS = 100
const RETRY_AFTER_MAX_MS = 1000
/** Jitter of the retry delay as a fraction of it, so that requests refused together are not retried together. */
const RETRY_AFTER_JITTER = 0.5

/** Whether a request that starts now can still meet its objective. */
export function canMeetObjective ({ objectiveAt, averageLatencyMs }: QueuedRequest, now: number): boolean {
  return now <= objectiveAt - LATENCY_MARGIN * averageLatencyMs
}

/** Latest time at which the request can start and still meet its deadline. */
export function latestStartAt ({ deadlineAt, averageLatencyMs }: QueuedRequest): number {
  return deadlineAt - averageLatencyMs
}

/** Whether `a` is served before `b`: requests that can meet their objective first, then by urgency, then by objective. */
export function precedes (a: QueuedRequest, b: QueuedRequest, now: number): boolean {
  const [canMeetA, canMeetB] = [canMeetObjective(a, now), canMeetObjective(b, now)]
  if (canMeetA !== canMeetB) return canMeetA
  if (a.urgency !== b.urgency) return a.urgency < b.urgency
  return a.objectiveAt < b.objectiveAt
}

/** Sorts requests into the order in which they are served. */
export function sortByPrecedence<Request extends QueuedRequest> (requests: readonly Request[], now: number): readonly Request[] {
  return [...requests].sort((a, b) => precedes(a, b, now) ? -1 : precedes(b, a, now) ? 1 : 0)
}

/**
 * Expected time until a request with `ahead` others before it gets a slot, in ms.
 *
 * @param throughputPerMs requests of the service that this VM completes per ms
 */
export function expectedWaitMs (ahead: number, throughputPerMs: number): number {
  return throughputPerMs > 0 ? (ahead + 1) / throughputPerMs : Infinity
}

/**
 * Whether to queue a request: it is likely to start early enough to meet its objective or, with a
 * stricter bound on its wait, its deadline.
 *
 * @param waitMs expected time until it gets a slot
 */
export function shouldQueue (request: QueuedRequest, waitMs: number, now: number): boolean {
  const untilLatestOnTimeStartMs = request.objectiveAt - LATENCY_MARGIN * request.averageLatencyMs - now
  const untilLatestStartMs = latestStartAt(request) - now
  return (untilLatestOnTimeStartMs > 0 && waitMs <= untilLatestOnTimeStartMs * ON_TIME_WAIT_SHARE) || (untilLatestStartMs > 0 && waitMs <= untilLatestStartMs * LATE_WAIT_SHARE)
}

/** Delay after which to retry a refused request, in ms, if its expected wait was `waitMs`. */
export function retryAfterMs (waitMs: number, random: () => number): number {
  return Math.round(Math.min(RETRY_AFTER_MAX_MS, Math.max(RETRY_AFTER_MIN_MS, waitMs)) * (1 - RETRY_AFTER_JITTER + RETRY_AFTER_JITTER * 2 * random()))
}

/** Delay after which to retry a refused request, in ms, if the first target takes requests again in `pauseMs`. The spread avoids that all callers return at that moment. */
export function retryAfterPauseMs (pauseMs: number, random: () => number): number {
  return Math.round(pauseMs + RETRY_AFTER_MAX_MS * RETRY_AFTER_JITTER * random())
}
