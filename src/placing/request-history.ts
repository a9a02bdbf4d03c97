/** Sliding windows over the recent requests of a service at this VM. */

/** Window of the throughput, in ms. */
const THROUGHPUT_WINDOW_MS = 2000
/** Fewest successes in that window from which the throughput is calculated. */
const MIN_THROUGHPUT_SAMPLES = 10
/** A service whose last idempotent request is older than this has none that could probe targets, in ms. */
const IDEMPOTENT_WINDOW_MS = 3000
/** Failure ratio above which a service counts as failing. */
const FAILURE_RATIO_LIMIT = 0.05
/** Window of the failure ratio, in ms. */
const FAILURE_WINDOW_MS = 3000

/** Outcomes of the recent requests of one service. Times are in ms. */
export interface RequestHistory {
  /** Records a request for a slot. */
  readonly recordRequest: (idempotent: boolean, now: number) => void
  /** Records a successful request. */
  readonly recordSuccess: (now: number) => void
  /** Records a failed or refused request. */
  readonly recordFailure: (now: number) => void
  /** Whether the ratio of failed and refused requests is above the limit; a single failure never is. */
  readonly isFailing: (now: number) => boolean
  /** Whether idempotent requests arrive that can probe targets. */
  readonly hasRecentIdempotent: (now: number) => boolean
  /** Successful requests per ms; undefined with too few samples. */
  readonly throughputPerMs: (now: number) => number | undefined
}

/** Creates an empty history. */
export function createRequestHistory (): RequestHistory {
  let lastIdempotentAt = -Infinity
  let successAt: readonly number[] = []
  let failedAt: readonly number[] = []
  const within = (times: readonly number[], windowMs: number, now: number): readonly number[] => times.filter(at => now - at <= windowMs)
  const retentionMs = Math.max(THROUGHPUT_WINDOW_MS, FAILURE_WINDOW_MS)
  return {
    recordRequest: (idempotent, now) => { if (idempotent) lastIdempotentAt = now },
    recordSuccess: now => { successAt = [...within(successAt, retentionMs, now), now] },
    recordFailure: now => { failedAt = [...within(failedAt, retentionMs, now), now] },
    isFailing: now => {
      const failures = within(failedAt, FAILURE_WINDOW_MS, now).length
      const all = failures + within(successAt, FAILURE_WINDOW_MS, now).length
      return failures > FAILURE_RATIO_LIMIT * all + 1
    },
    hasRecentIdempotent: now => now - lastIdempotentAt <= IDEMPOTENT_WINDOW_MS,
    // Failures are left out: one that returns immediately says nothing about the capacity of the slots.
    throughputPerMs: now => {
      const successes = within(successAt, THROUGHPUT_WINDOW_MS, now).length
      return successes >= MIN_THROUGHPUT_SAMPLES ? successes / THROUGHPUT_WINDOW_MS : undefined
    }
  }
}
