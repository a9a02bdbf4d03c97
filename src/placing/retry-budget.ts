/**
 * Limits the retries that this VM sends to a service.
 *
 * When a service fails, a retry of every request would multiply its load. The retries of all VMs together
 * are limited to a ratio of the requests, plus a fixed number that allows retries at low request rates.
 */

/** Limit on the retries of all VMs together. */
export interface RetryBudgetLimits {
  /** Retries per request. */
  readonly ratio: number
  /** Length of a window, in ms. */
  readonly windowMs: number
  /** Retries per window that are allowed in addition. */
  readonly slack: number
}

/** Retry budget of one service at this VM. */
export interface RetryBudget {
  /** Records a request. */
  readonly deposit: (now: number) => void
  /** Whether a retry is allowed. `share`: part of the slack that this VM may use, from 0 to 1. */
  readonly canWithdraw: (share: number, now: number) => boolean
  /** Records a retry if it is allowed; returns false if not. */
  readonly tryWithdraw: (share: number, now: number) => boolean
}

/** Fraction of the retries per request that is used. Each VM counts its own requests, so little margin is needed. */
const USABLE_RATIO = 0.95
/** Fraction of the slack that is used. The margin covers views of the serving VMs that differ, and VMs that restart. */
const USABLE_SLACK = 0.8
/** Buckets of requests per window. */
const BUCKETS = 10

interface Bucket {
  readonly index: number
  requests: number
}

/**
 * Creates an unused budget.
 *
 * @example
 * const budget = createRetryBudget(() => ({ ratio: 0.2, windowMs: 10_000, slack: 64 }))
 * budget.deposit(now)
 * if (budget.tryWithdraw(1 / 9, now)) retry()
 */
export function createRetryBudget (limits: () => RetryBudgetLimits): RetryBudget {
  let buckets: Bucket[] = []
  /** Times of the retries of the last window. */
  let retries: readonly number[] = []

  const current = (now: number): Bucket => {
    const index = Math.floor(now * BUCKETS / limits().windowMs)
    const last = buckets.at(-1)
    if (last !== undefined && last.index >= index) return last
    const bucket: Bucket = { index, requests: 0 }
    buckets = [...buckets.filter(each => each.index > index - BUCKETS), bucket]
    return bucket
  }

  const canWithdraw = (share: number, now: number): boolean => {
    current(now)
    const { ratio, slack, windowMs } = limits()
    const requests = buckets.reduce((sum, bucket) => sum + bucket.requests, 0)
    retries = retries.filter(at => at > now - windowMs)
    return retries.length + 1 <= USABLE_RATIO * ratio * requests + USABLE_SLACK * slack * share
  }

  return {
    deposit: now => { current(now).requests++ },
    canWithdraw,
    tryWithdraw: (share, now) => {
      if (!canWithdraw(share, now)) return false
      retries = [...retries, now]
      return true
    }
  }
}
