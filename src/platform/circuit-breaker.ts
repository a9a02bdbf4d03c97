/**
 * Circuit breaker for calls to the platform. It opens after consecutive
 * failures, probes with single calls, and raises the concurrency gradually
 * after it closes, so that a recovering platform is not overloaded.
 */

/** Number of consecutive failures that open the breaker. A few lost responses alone do not open it. */
const FAILURE_THRESHOLD = 5
/** Backoff before the first probe: about the time that a restarted server takes to listen again. */
const INITIAL_BACKOFF_MS = 100
/** Maximum backoff. It is shorter than the 3 s after which a VM with an unconfirmed configuration needs contact with a majority. */
const MAX_BACKOFF_MS = 2000
/** Fraction of the backoff that is random, so that the VMs do not probe at the same time. */
const JITTER_FRACTION = 0.5

/** Outcome of an admitted call. `given-up`: its caller stopped waiting, which does not count for or against the platform. */
export type CallOutcome = 'answered' | 'failed' | 'given-up'

/** Permission for one call. After the backoff, a single `probe` is admitted until its outcome is known. */
export type Permit = 'free' | 'probe'

/** Admits or rejects calls. All times are in ms on the same monotonic clock. */
export interface CircuitBreaker {
  /** Admits a call; undefined while the breaker is open. */
  readonly admit: (now: number) => Permit | undefined
  /** Records the outcome of an admitted call. Must be called for every admitted call. */
  readonly record: (permit: Permit, outcome: CallOutcome, now: number) => void
  /** Maximum number of concurrent calls: the full concurrency, or less after an outage. */
  readonly concurrencyLimit: () => number
  /** Time until the next call can be admitted, in ms; 0 while the breaker is closed. */
  readonly backoffLeftMs: (now: number) => number
}

/** Options of {@link createCircuitBreaker}. */
export interface CircuitBreakerOptions {
  /** Maximum number of concurrent calls to a healthy platform. Example: `16`. */
  readonly concurrency: number
  /** Uniform random number in [0, 1). Default: `Math.random`. */
  readonly random?: () => number
}

/**
 * Creates a closed circuit breaker.
 *
 * @example
 * const breaker = createCircuitBreaker({ concurrency: 16 })
 * const permit = breaker.admit(now)
 * if (permit !== undefined) breaker.record(permit, 'answered', now)
 */
export function createCircuitBreaker ({ concurrency, random = Math.random }: CircuitBreakerOptions): CircuitBreaker {
  let consecutiveFailures = 0
  let consecutiveOpenings = 0
  let limit = concurrency
  let isProbing = false
  /** Undefined while the breaker is closed. */
  let probeAt: number | undefined

  const open = (now: number): void => {
    const backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** consecutiveOpenings)
    consecutiveOpenings += 1
    probeAt = now + backoffMs * (1 - JITTER_FRACTION * random())
    limit = 1
    isProbing = false
  }

  const close = (): void => {
    consecutiveFailures = 0
    consecutiveOpenings = 0
    isProbing = false
    probeAt = undefined
    limit = Math.min(concurrency, limit * 2)
  }

  return {
    admit: now => {
      if (probeAt === undefined) return 'free'
      if (isProbing || now < probeAt) return undefined
      isProbing = true
      return 'probe'
    },
    record: (permit, outcome, now) => {
      if (outcome === 'answered') return close()
      if (outcome === 'failed') consecutiveFailures += 1
      // Only the probe restarts the backoff. Calls that started before the breaker opened do not.
      const shouldOpen = probeAt === undefined ? consecutiveFailures >= FAILURE_THRESHOLD : permit === 'probe'
      if (shouldOpen) open(now)
    },
    concurrencyLimit: () => limit,
    backoffLeftMs: now => probeAt === undefined ? 0 : Math.max(0, probeAt - now)
  }
}
