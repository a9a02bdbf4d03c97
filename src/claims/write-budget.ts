/** Limits the transactions of claims to their share of the platform's write capacity. */
import { Effect } from 'effect'
import type { Clock, Platform } from '../model/index.js'

/** Write rate for the claims of all VMs. The platform accepts several hundred writes per second; the rest is reserved for release notes. */
export const FLEET_WRITES_PER_SECOND = 300
/** Transactions that an idle VM can start without delay, so that single claims do not wait. */
export const BURST_WRITES = 10
/** Interval between counts of the writing VMs. Their number changes with the configuration, and counting them iterates over every service. */
const WRITER_COUNT_INTERVAL_MS = 1000
const MS_PER_SECOND = 1000

/** Token bucket that limits the rate of transactions. */
export interface WriteBudget {
  /** Returns the time until a transaction may start, in ms; 0 if one may start now. */
  readonly waitMs: (now: number) => number
  /** Records a transaction. A transaction that could not wait makes the number of tokens negative. */
  readonly spend: (now: number) => void
}

/**
 * Creates a full budget for this VM's share of the fleet's write rate.
 *
 * @param writers number of VMs that write claims, this one included
 *
 * @example
 * const budget = createWriteBudget(() => 6) // 50 transactions a second
 * if (budget.waitMs(now) === 0) budget.spend(now)
 */
export function createWriteBudget (writers: () => number): WriteBudget {
  let tokens = BURST_WRITES
  let refilledAt = -Infinity
  let countedAt = -Infinity
  let tokensPerMs = 0

  const refill = (now: number): void => {
    if (now - countedAt >= WRITER_COUNT_INTERVAL_MS) {
      tokensPerMs = FLEET_WRITES_PER_SECOND / Math.max(1, writers()) / MS_PER_SECOND
      countedAt = now
    }
    if (now > refilledAt) tokens = Math.min(BURST_WRITES, tokens + (now - refilledAt) * tokensPerMs)
    refilledAt = Math.max(refilledAt, now)
  }
  return {
    waitMs: now => {
      refill(now)
      // Rounded up to whole ms: a delay below the resolution of timers would end before a token is available.
      return tokens >= 1 ? 0 : Math.ceil((1 - tokens) / tokensPerMs)
    },
    spend: now => {
      refill(now)
      tokens -= 1
    }
  }
}

/** Returns a platform that charges every transaction to the budget, including retries. */
export function chargeWrites (platform: Platform, budget: WriteBudget, clock: Clock): Platform {
  return {
    ...platform,
    transact: (writes, conditions) => Effect.suspend(() => {
      budget.spend(clock())
      return platform.transact(writes, conditions)
    })
  }
}
