/** Fisher's exact test: compares one target's failures with those of the others without estimating their rate. */
import type { Tally } from './failure-rates.js'

/** Logarithm of the binomial coefficient "`n` choose `k`". */
function logBinomial (n: number, k: number): number {
  let sum = 0
  for (let i = 1; i <= Math.min(k, n - k); i++) sum += Math.log((n - i + 1) / i)
  return sum
}

/**
 * Returns -ln of the p-value of Fisher's exact test: of the probability that a target which fails at the same
 * rate as the others has at least this many of all failures (a tail of the hypergeometric distribution). The test
 * holds for any common failure rate, so a rate that has just risen, or that few responses show, does not matter.
 *
 * @example
 * negLogPValue({ good: 0, bad: 4 }, { good: 20, bad: 0 }) // 9.27
 * negLogPValue({ good: 3, bad: 5 }, { good: 338, bad: 9 }) // 12.9
 */
export function negLogPValue (own: Tally, others: Tally): number {
  if (own.bad === 0) return 0
  const ownAttempts = own.good + own.bad
  const failures = own.bad + others.bad
  const attempts = ownAttempts + others.good + others.bad
  // Terms of the tail are relative to the first one.
  let term = 1
  let tail = 1
  for (let bad = own.bad; bad < Math.min(ownAttempts, failures); bad++) {
    term *= (ownAttempts - bad) * (failures - bad) / ((bad + 1) * (attempts - ownAttempts - failures + bad + 1))
    tail += term
  }
  const logFirstTerm = logBinomial(ownAttempts, own.bad) + logBinomial(attempts - ownAttempts, others.bad) - logBinomial(attempts, failures)
  return Math.max(0, -logFirstTerm - Math.log(tail))
}
