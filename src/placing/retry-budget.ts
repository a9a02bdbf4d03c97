/**
 * Bounds the repeats that reach a service, for this VM's part of the fleet.
 *
 * Load this answers: when a service fails, repeats of every request would multiply what it gets. All
 * VMs together may add a share of the requests, and a fixed number on top that keeps small loads going.
 */

/** The bound that all VMs keep together. */
export interface RetryAllowance {
  /** Repeats for each request. */
  readonly ratio: number
  /** Length of a window, in ms. */
  readonly windowMs: number
  /** Repeats in a window besides. */
  readonly slack: number
}

/** Repeats of one service at this VM. */
export interface RetryBudget {
  /** Records a request. */
  readonly earn: (now: number) => void
  /** Whether a repeat would be allowed. */
  readonly allows: (vms: number, now: number) => boolean
  /** Takes a repeat; false when it is not allowed. `vms`: how many VMs share the slack. */
  readonly take: (vms: number, now: number) => boolean
}

/** Part of the allowance that is used: windows of different VMs do not begin together, and VMs come and go. */
const USED_PART = 0.7
/** Slices of a window. */
const SLICES = 10

interface Slice {
  readonly index: number
  requests: number
  repeats: number
}

/**
 * Creates an unused budget.
 *
 * @example
 * const budget = createRetryBudget(() => ({ ratio: 0.2, windowMs: 10_000, slack: 64 }))
 * budget.earn(now)
 * if (budget.take(9, now)) sendAgain()
 */
export function createRetryBudget (allowance: () => RetryAllowance): RetryBudget {
  let slices: Slice[] = []

  const current = (now: number): Slice => {
    const index = Math.floor(now * SLICES / allowance().windowMs)
    const last = slices.at(-1)
    if (last !== undefined && last.index >= index) return last
    const slice: Slice = { index, requests: 0, repeats: 0 }
    slices = [...slices.filter(each => each.index > index - SLICES), slice]
    return slice
  }

  const allows = (vms: number, now: number): boolean => {
    current(now)
    let requests = 0
    let repeats = 0
    for (const slice of slices) {
      requests += slice.requests
      repeats += slice.repeats
    }
    const { ratio, slack } = allowance()
    return repeats + 1 <= USED_PART * (ratio * requests + slack / Math.max(1, vms))
  }

  return {
    earn: now => { current(now).requests++ },
    allows,
    take: (vms, now) => {
      if (!allows(vms, now)) return false
      current(now).repeats++
      return true
    }
  }
}
