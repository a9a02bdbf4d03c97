/** What happened to the recent requests of a service at this VM. */

/** Time over which the rate of ending requests is measured, in ms. */
const RATE_WINDOW_MS = 2000
/** Ends in that time from which on their rate is measured. */
const MEASURED_ENDS = 10
/** A service whose last idempotent request is older than this has none for trials, in ms. */
const IDEMPOTENT_MEMORY_MS = 3000
/** Part of a service's requests that fail above which it counts as failing. */
const FAILING_PART = 0.05
/** Time over which that part is measured, in ms. */
const FAILURES_WINDOW_MS = 3000

/** Recent requests of one service. Times are in ms. */
export interface History {
  /** Records that a request asked for a slot. */
  readonly asked: (idempotent: boolean, now: number) => void
  /** Records that a request was answered. */
  readonly answered: (now: number) => void
  /** Records that a request failed or was refused. */
  readonly failed: (now: number) => void
  /** Whether more than a few requests fail or are refused. */
  readonly isFailing: (now: number) => boolean
  /** Whether idempotent requests arrive, with which targets can be tried. */
  readonly hasIdempotent: (now: number) => boolean
  /** Answered requests per ms; undefined while there are too few. */
  readonly endsPerMs: (now: number) => number | undefined
}

/** Creates an empty history. */
export function createHistory (): History {
  let idempotentAt = -Infinity
  let answeredAt: readonly number[] = []
  let failedAt: readonly number[] = []
  const recent = (times: readonly number[], windowMs: number, now: number): readonly number[] => times.filter(at => now - at <= windowMs)
  const keepMs = Math.max(RATE_WINDOW_MS, FAILURES_WINDOW_MS)
  return {
    asked: (idempotent, now) => { if (idempotent) idempotentAt = now },
    answered: now => { answeredAt = [...recent(answeredAt, keepMs, now), now] },
    failed: now => { failedAt = [...recent(failedAt, keepMs, now), now] },
    isFailing: now => {
      const failures = recent(failedAt, FAILURES_WINDOW_MS, now).length
      const all = failures + recent(answeredAt, FAILURES_WINDOW_MS, now).length
      return failures > FAILING_PART * all + 1
    },
    hasIdempotent: now => now - idempotentAt <= IDEMPOTENT_MEMORY_MS,
    // A failure that comes at once says nothing of how many requests the slots can serve.
    endsPerMs: now => {
      const ends = recent(answeredAt, RATE_WINDOW_MS, now).length
      return ends >= MEASURED_ENDS ? ends / RATE_WINDOW_MS : undefined
    }
  }
}
