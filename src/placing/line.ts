/**
 * The requests of one service that wait for a slot.
 *
 * Load this answers: bursts of 1.4 to 3 times the usual load on services without spare slots. Served in
 * the order of their arrival, all requests would be late. So those whose objective can still be kept go
 * first, among them the most urgent ones; a request that cannot be served in time is refused when that is
 * known, with a time to come back that spreads the return.
 */

/** A request that waits. */
export interface Waiting {
  /** 0 is the most urgent. */
  readonly urgency: number
  readonly objectiveAt: number
  readonly deadlineAt: number
  /** Usual time from sending a request of its class to the answer, in ms. */
  readonly usualMs: number
}

/** Times are spread around the usual one, so that much more is needed to be on time in most cases. */
const TIME_FACTOR = 1.5
/** Part of the time to its latest start that a request may be expected to wait. */
const WAIT_SHARE = 0.8
/** The same for a request that will be late: those that come later and are on time go before it. */
const LATE_WAIT_SHARE = 0.4
/** Shortest and longest time to come back, in ms. */
const RETURN_MIN_MS = 100
const RETURN_MAX_MS = 1000
/** Part of the time to come back that is random, so that those refused together do not return together. */
const RETURN_JITTER = 0.5

/** Whether the objective can still be kept when the request starts now. */
export function isOnTime ({ objectiveAt, usualMs }: Waiting, now: number): boolean {
  return now <= objectiveAt - TIME_FACTOR * usualMs
}

/** Latest time at which the request can start and be answered before its deadline. */
export function latestStart ({ deadlineAt, usualMs }: Waiting): number {
  return deadlineAt - usualMs
}

/** Whether one request goes before another: on time, then more urgent, then the one whose time ends first. */
export function goesBefore (a: Waiting, b: Waiting, now: number): boolean {
  const [isOnTimeA, isOnTimeB] = [isOnTime(a, now), isOnTime(b, now)]
  if (isOnTimeA !== isOnTimeB) return isOnTimeA
  if (a.urgency !== b.urgency) return a.urgency < b.urgency
  return a.objectiveAt < b.objectiveAt
}

/** The requests in the order in which they should be served. */
export function inOrder<Request extends Waiting> (requests: readonly Request[], now: number): readonly Request[] {
  return [...requests].sort((a, b) => goesBefore(a, b, now) ? -1 : goesBefore(b, a, now) ? 1 : 0)
}

/**
 * Time until a request with `ahead` others before it gets a slot, in ms.
 *
 * @param endsPerMs requests that end per ms at this VM
 */
export function expectedWaitMs (ahead: number, endsPerMs: number): number {
  return endsPerMs > 0 ? (ahead + 1) / endsPerMs : Infinity
}

/**
 * Whether a request should wait: it is likely to start early enough, for its objective or, behind that,
 * for its deadline.
 *
 * @param waitMs time after which it is expected to get a slot
 */
export function shouldWait (request: Waiting, waitMs: number, now: number): boolean {
  const onTimeMs = request.objectiveAt - TIME_FACTOR * request.usualMs - now
  const anyTimeMs = latestStart(request) - now
  return (onTimeMs > 0 && waitMs <= onTimeMs * WAIT_SHARE) || (anyTimeMs > 0 && waitMs <= anyTimeMs * LATE_WAIT_SHARE)
}

/** Time after which a refused request should come back, in ms, when it would have waited for `waitMs`. */
export function returnAfterMs (waitMs: number, random: () => number): number {
  return Math.round(Math.min(RETURN_MAX_MS, Math.max(RETURN_MIN_MS, waitMs)) * (1 - RETURN_JITTER + RETURN_JITTER * 2 * random()))
}
