/** Which requests a VM that is stopping still forwards. */
import { refusal, type Refusal } from '../errors/index.js'

/** A graceful shutdown of the entry. Times are in ms on the entry's clock. */
export interface Shutdown {
  /** When the VM was asked to stop. It may accept connections for some time after that. */
  readonly requestedAt: number
  /** When the entry stopped accepting connections and began to close idle ones. */
  readonly startedAt: number
  /** When the remaining connections are cut off. */
  readonly endsAt: number
}

/** While at least this part of the shutdown is left, requests are forwarded although their deadline is later than its end. */
const FORWARDING_FRACTION = 0.9

/** The same, as the time since the request to stop, in ms. Callers know of the stop after 3 s, and a busy process handles the request late. */
const MAX_FORWARDING_MS = 2900

/**
 * Interval at which idle connections are closed during a shutdown, in ms. A connection is closed only after a whole
 * interval without a byte, so that a request that is still in the kernel's buffer is served.
 */
const CLOSE_INTERVAL_MS = 50

/** Part of a shutdown at its end in which responses no longer wait for the ones ahead of them. */
const RELEASE_FRACTION = 1 / 25
/** Longest duration of that part, in ms. */
const MAX_RELEASE_MS = 250
/** Interval at which the next response is released, in ms. */
const RELEASE_INTERVAL_MS = 10

/**
 * Refuses to send a request to a target if the VM may end before the response is due: the caller can send it to
 * another VM, and an unanswered request that is not idempotent could never be repeated.
 *
 * @param deadlineAt deadline of the request
 *
 * @example
 * refuseLate({ requestedAt: 0, startedAt: 0, endsAt: 3000 }, 4500, 2000) // 'stopping': cut off before its deadline
 */
export function refuseLate (shutdown: Shutdown | undefined, deadlineAt: number, now: number): Refusal | undefined {
  if (shutdown === undefined || deadlineAt <= shutdown.endsAt) return undefined
  const { requestedAt, startedAt, endsAt } = shutdown
  const isEarly = endsAt - now >= FORWARDING_FRACTION * (endsAt - startedAt) && now - requestedAt <= MAX_FORWARDING_MS
  return isEarly ? undefined : refusal('stopping', 'this VM may end before the response is due')
}

/**
 * Whether the shutdown is about to cut connections off, so that requests whose targets are still at work are refused
 * for the sake of the responses behind them.
 *
 * @example
 * isReleasing({ requestedAt: 0, startedAt: 0, endsAt: 3000 }, 2900) // true: in the last 120 ms
 */
export function isReleasing ({ requestedAt, endsAt }: Shutdown, now: number): boolean {
  return endsAt - now <= Math.min(MAX_RELEASE_MS, RELEASE_FRACTION * (endsAt - requestedAt))
}

/**
 * Time until idle connections are closed and responses released again, in ms; 0 when the shutdown is over.
 *
 * @example
 * closeIntervalMs({ requestedAt: 0, startedAt: 0, endsAt: 3000 }, 2980) // 20
 */
export function closeIntervalMs (shutdown: Shutdown, now: number): number {
  const intervalMs = isReleasing(shutdown, now) ? RELEASE_INTERVAL_MS : CLOSE_INTERVAL_MS
  return Math.min(intervalMs, Math.max(0, shutdown.endsAt - now))
}
