/**
 * Cumulative sum (CUSUM) of log-likelihood ratios: the test that needs the fewest samples to distinguish
 * "fails as often as the pool" from "fails half of the time".
 */
import type { Sample } from './evidence.js'
import { healthSignalOf } from './outcome.js'

/** Failure rate that the test assumes for an unhealthy target. */
export const UNHEALTHY_RATE = 0.5

/** CUSUM after the last sample. */
export interface Cusum {
  readonly sum: number
  /** Time of the first sample since the sum was last 0; undefined when it is 0. */
  readonly since: number | undefined
}

/** Log-likelihood ratios that one good or bad outcome adds to the sum. */
export interface Increments {
  readonly good: number
  readonly bad: number
}

/**
 * Returns the increments for a pool that fails at rate `p0`. Both are 0 when the pool fails as often as an
 * unhealthy target, because outcomes cannot distinguish the two then.
 *
 * @example
 * incrementsFor(0.02) // { good: -0.67…, bad: 3.21… }
 */
export function incrementsFor (p0: number): Increments {
  if (p0 >= UNHEALTHY_RATE) return { good: 0, bad: 0 }
  return { good: Math.log((1 - UNHEALTHY_RATE) / (1 - p0)), bad: Math.log(UNHEALTHY_RATE / p0) }
}

/**
 * Computes the CUSUM over samples in time order. The sum is never negative.
 *
 * @param incrementsOf increments for the class of a sample
 */
export function computeCusum (samples: readonly Sample[], incrementsOf: (className: string) => Increments): Cusum {
  let sum = 0
  let since: number | undefined
  for (const sample of samples) {
    const signal = healthSignalOf(sample.outcome)
    if (signal === 'neutral') continue
    sum = Math.max(0, sum + sample.count * incrementsOf(sample.class)[signal])
    if (sum === 0) since = undefined
    else since ??= sample.at
  }
  return { sum, since }
}
