/** First attempts per retry; limits the amplification of the load to 1.1. */
const ATTEMPTS_PER_RETRY = 10

/** Upper bound of the saved tokens, and so of the burst of retries after a time without retries. */
const MAX_TOKENS = 10

/** Limits the retries of one service to a fraction of its first attempts. */
export interface RetryBudget {
  /** Records a first attempt, which adds 0.1 token. */
  readonly deposit: () => void
  /** Takes one token for a retry; returns false if there is none. */
  readonly tryWithdraw: () => boolean
  /** Number of available tokens, 0 to 10. */
  readonly tokens: () => number
}

/**
 * Creates a retry budget without tokens. If it started with tokens, every restarted VM would add a burst of retries
 * to an outage.
 *
 * @example
 * const budget = createRetryBudget()
 * budget.deposit()                      // for each first attempt
 * if (budget.tryWithdraw()) retry()     // for each retry
 */
export function createRetryBudget (): RetryBudget {
  // Counts tenths of a token, because sums of 0.1 are inexact in binary floating point.
  let tenths = 0
  return {
    deposit: () => { tenths = Math.min(MAX_TOKENS * ATTEMPTS_PER_RETRY, tenths + 1) },
    tryWithdraw: () => {
      if (tenths < ATTEMPTS_PER_RETRY) return false
      tenths -= ATTEMPTS_PER_RETRY
      return true
    },
    tokens: () => tenths / ATTEMPTS_PER_RETRY
  }
}
