/** Failure rates of targets and pools, to compare one target with the rest of its pool. */
import { healthSignalOf } from './outcome.js'
import type { Sample } from './evidence.js'

/** Numbers of good and bad outcomes. */
export interface Tally {
  readonly good: number
  readonly bad: number
}

/** Tallies of one target by class. */
export type ClassTallies = ReadonlyMap<string, Tally>

/** Tally without attempts. */
export const EMPTY_TALLY: Tally = { good: 0, bad: 0 }
/** Weight of the prior in attempts, and its failure rate: a single early failure does not become a rate of 100 %. */
const PRIOR_ATTEMPTS = 4
const PRIOR_RATE = 0.01
/** Maximum fraction of a pool that is trimmed as unhealthy, so that one gray target does not hide another. */
const MAX_TRIMMED_FRACTION = 0.25
const MIN_POOL_SIZE_TO_TRIM = 3
/** Targets that fail less are kept: without its worst targets, the rate of a healthy pool would be underestimated. */
const MIN_TRIMMED_RATE = 0.25
const MIN_TRIMMED_FAILURES = 3

/** Adds a sample to a tally. */
export function addSample (tally: Tally | undefined, sample: Pick<Sample, 'outcome' | 'count'>): Tally {
  const { good, bad } = tally ?? EMPTY_TALLY
  const signal = healthSignalOf(sample.outcome)
  if (signal === 'good') return { good: good + sample.count, bad }
  if (signal === 'bad') return { good, bad: bad + sample.count }
  return { good, bad }
}

/** Tallies samples by class. */
export function tallyByClass (samples: readonly Sample[]): ClassTallies {
  const tallies = new Map<string, Tally>()
  for (const sample of samples) tallies.set(sample.class, addSample(tallies.get(sample.class), sample))
  return tallies
}

/** Failure rate of a tally; 0 without attempts. */
export function rateOf ({ good, bad }: Tally): number {
  return good + bad === 0 ? 0 : bad / (good + bad)
}

/** Tallies of targets that look unhealthy themselves: up to a quarter of the pool, or one of three or more. */
function unhealthyTallies (active: readonly Tally[]): ReadonlySet<Tally> {
  const maxTrimmed = active.length < MIN_POOL_SIZE_TO_TRIM ? 0 : Math.max(1, Math.floor(active.length * MAX_TRIMMED_FRACTION))
  const suspects = active.filter(tally => tally.bad >= MIN_TRIMMED_FAILURES && rateOf(tally) >= MIN_TRIMMED_RATE)
  return new Set(suspects.toSorted((a, b) => rateOf(b) - rateOf(a)).slice(0, maxTrimmed))
}

/**
 * Sums the tallies of a pool in one class, trimmed by the targets that look unhealthy themselves: up to a quarter.
 *
 * @example
 * poolTally([{ good: 99, bad: 1 }, { good: 98, bad: 2 }, { good: 0, bad: 50 }]) // { good: 197, bad: 3 }
 */
export function poolTally (tallies: readonly Tally[]): Tally {
  const active = tallies.filter(({ good, bad }) => good + bad > 0)
  const trimmed = unhealthyTallies(active)
  return active.filter(tally => !trimmed.has(tally))
    .reduce((sum, { good, bad }) => ({ good: sum.good + good, bad: sum.bad + bad }), EMPTY_TALLY)
}

/**
 * Estimates the failure rate of a pool. A weak prior keeps the rate of very few attempts low.
 *
 * @example
 * poolRate({ good: 197, bad: 3 }) // about 0.015
 */
export function poolRate ({ good, bad }: Tally): number {
  return (bad + PRIOR_ATTEMPTS * PRIOR_RATE) / (good + bad + PRIOR_ATTEMPTS)
}
