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
  /** Whether a retry is allowed. `vms`: number of VMs that share the slack. */
  readonly canWithdraw: (vms: number, now: number) => boolean
  /** Records a retry if it is allowed; returns false if not. */
  readonly tryWithdraw: (vms: number, now: number) => boolean
}

/** Fraction of the limit that is used, as a margin: windows of different VMs are not aligned, and VMs come and go. */
const USABLE_SHARE = 0.7
/** Buckets per window. */
const BUCKETS = 10

interface Bucket {
  readonly index: number
  requests: number
  retries: number
}

/**
 * Creates an unused budget.
 *
 * @example
 * const budget = createRetryBudget(() => ({ ratio: 0.2, windowMs: 10_000, slack: 64 }))
 * budget.deposit(now)
 * if (budget.tryWithdraw(9, now)) retry()
 */
export function createRetryBudget (limits: () => RetryBudgetLimits): RetryBudget {
  let buckets: Bucket[] = []

  const current = (now: number): Bucket => {
    const index = Math.floor(now * BUCKETS / limits().windowMs)
    const last = buckets.at(-1)
    if (last !== undefined && last.index >= index) return last
    const bucket: Bucket = { index, requests: 0, retries: 0 }
    buckets = [...buckets.filter(each => each.index > index - BUCKETS), bucket]
    return bucket
  }

  const canWithdraw = (vms: number, now: number): boolean => {
    current(now)
    let requests = 0
    let retries = 0
    for (const bucket of buckets) {
      requests += bucket.requests
      retries += bucket.retries
    }
    const { ratio, slack } = limits()
    return retries + 1 <= USABLE_SHARE * (ratio * requests + slack / Math.max(1, vms))
  }

  return {
    deposit: now => { current(now).requests++ },
    canWithdraw,
    tryWithdraw: (vms, now) => {
      if (!canWithdraw(vms, now)) return false
      current(now).retries++
      return true
    }
  }
}
