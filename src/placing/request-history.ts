/** Sliding windows over the recent requests of a service at this VM. */

/** Window of the answer rate, in ms. */
const RATE_WINDOW_MS = 2000
/** Fewest answers in that window that give a rate. */
const MIN_RATE_SAMPLES = 10
/** A service whose last idempotent request is older than this has none that could probe targets, in ms. */
const IDEMPOTENT_WINDOW_MS = 3000
/** Failure ratio above which a service counts as failing. */
const FAILURE_RATIO_LIMIT = 0.05
/** Window of the failure ratio, in ms. */
const FAILURE_WINDOW_MS = 3000

/** Outcomes of the recent requests of one service. Times are in ms. */
export interface RequestHistory {
  /** Records a request that asks for a slot. */
  readonly recordRequest: (idempotent: boolean, now: number) => void
  /** Records an answered request. */
  readonly recordAnswer: (now: number) => void
  /** Records a failed or refused request. */
  readonly recordFailure: (now: number) => void
  /** Whether the ratio of failed and refused requests is above the limit; a single failure never is. */
  readonly isFailing: (now: number) => boolean
  /** Whether idempotent requests arrive that can probe targets. */
  readonly hasRecentIdempotent: (now: number) => boolean
  /** Answered requests per ms; undefined with too few samples. */
  readonly answersPerMs: (now: number) => number | undefined
}

/** Creates an empty history. */
export function createRequestHistory (): RequestHistory {
  let lastIdempotentAt = -Infinity
  let answeredAt: readonly number[] = []
  let failedAt: readonly number[] = []
  const within = (times: readonly number[], windowMs: number, now: number): readonly number[] => times.filter(at => now - at <= windowMs)
  const retentionMs = Math.max(RATE_WINDOW_MS, FAILURE_WINDOW_MS)
  return {
    recordRequest: (idempotent, now) => { if (idempotent) lastIdempotentAt = now },
    recordAnswer: now => { answeredAt = [...within(answeredAt, retentionMs, now), now] },
    recordFailure: now => { failedAt = [...within(failedAt, retentionMs, now), now] },
    isFailing: now => {
      const failures = within(failedAt, FAILURE_WINDOW_MS, now).length
      const all = failures + within(answeredAt, FAILURE_WINDOW_MS, now).length
      return failures > FAILURE_RATIO_LIMIT * all + 1
    },
    hasRecentIdempotent: now => now - lastIdempotentAt <= IDEMPOTENT_WINDOW_MS,
    // Failures are left out: one that returns immediately says nothing about the capacity of the slots.
    answersPerMs: now => {
      const answers = within(answeredAt, RATE_WINDOW_MS, now).length
      return answers >= MIN_RATE_SAMPLES ? answers / RATE_WINDOW_MS : undefined
    }
  }
}
