/**
 * The requests of one service that wait for a slot.
 *
 * Load this answers: bursts of 1.4 to 3 times the usual load on services without spare slots. The most
 * urgent requests go first, and a request that cannot be served in time is refused when that is known,
 * with a time to come back that spreads the return.
 */

/** A request that waits. */
export interface Waiting {
  /** 0 is the most urgent. */
  readonly urgency: number
  readonly since: number
  readonly objectiveAt: number
  readonly deadlineAt: number
}

/** What the line knows of the service. */
export interface Flow {
  /** Requests that end per ms at this VM, recently. */
  readonly endsPerMs: number
  /** Usual time from sending a request to its answer, in ms. */
  readonly usualMs: number
}

/** Part of the time to the objective, or to the deadline behind it, that a request may spend waiting. */
const WAIT_SHARE = 0.6
/** Shortest and longest time to come back, in ms. */
const RETURN_MIN_MS = 100
const RETURN_MAX_MS = 1000
/** Part of the time to come back that is random, so that those refused together do not return together. */
const RETURN_JITTER = 0.5

/** Whether one request goes before another: the more urgent one, then the one whose time ends first. */
export function goesBefore (a: Waiting, b: Waiting): boolean {
  if (a.urgency !== b.urgency) return a.urgency < b.urgency
  return a.objectiveAt < b.objectiveAt
}

/** Time until a request with `ahead` others before it gets a slot, in ms. */
export function expectedWaitMs (ahead: number, { endsPerMs }: Flow): number {
  return endsPerMs > 0 ? (ahead + 1) / endsPerMs : Infinity
}

/** Latest time at which the request can still start and be answered in time. */
export function latestStart ({ objectiveAt, deadlineAt }: Waiting, { usualMs }: Flow, now: number): number {
  const inObjective = objectiveAt - usualMs
  // Too late for the objective, an answer before the deadline is still worth something.
  return inObjective > now ? inObjective : deadlineAt - usualMs
}

/**
 * Whether a request should wait: it is likely to start early enough.
 *
 * @param ahead requests that go before it
 */
export function shouldWait (request: Waiting, ahead: number, flow: Flow, now: number): boolean {
  const spareMs = latestStart(request, flow, now) - now
  return spareMs > 0 && expectedWaitMs(ahead, flow) <= spareMs * WAIT_SHARE
}

/** Time after which a refused request should come back, in ms. */
export function returnAfterMs (ahead: number, flow: Flow, random: () => number): number {
  const waitMs = Math.min(RETURN_MAX_MS, Math.max(RETURN_MIN_MS, expectedWaitMs(ahead, flow)))
  return Math.round(waitMs * (1 - RETURN_JITTER + RETURN_JITTER * 2 * random()))
}
