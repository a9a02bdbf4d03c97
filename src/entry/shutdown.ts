/** Which requests a VM that is stopping still forwards. */
import { refusal, type Refusal } from '../errors/index.js'

/** A graceful shutdown of the entry. Times are in ms on the entry's clock. */
export interface Shutdown {
  readonly startedAt: number
  /** When the remaining connections are cut off. */
  readonly endsAt: number
}

/** While at least this part of the shutdown is left, requests are forwarded although their deadline is later than its end. */
const FORWARDING_FRACTION = 0.9

/**
 * Refuses to send a request to a target if the VM may end before the response is due: the caller can send it to
 * another VM, and an unanswered request that is not idempotent could never be repeated.
 *
 * @param deadlineAt deadline of the request
 *
 * @example
 * refuseLate({ startedAt: 0, endsAt: 3000 }, 4500, 2000) // 'stopping': cut off before its deadline
 */
export function refuseLate (shutdown: Shutdown | undefined, deadlineAt: number, now: number): Refusal | undefined {
  if (shutdown === undefined || deadlineAt <= shutdown.endsAt) return undefined
  const { startedAt, endsAt } = shutdown
  if (endsAt - now >= FORWARDING_FRACTION * (endsAt - startedAt)) return undefined
  return refusal('stopping', 'this VM may end before the response is due')
}
