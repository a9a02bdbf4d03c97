/**
 * Circuit breakers of targets: closed (`sound`), open after a failure (`held`), or half-open (`due`).
 *
 * A third of the targets may fail most of their requests for some seconds at any time, while a healthy
 * target fails about one request in a hundred. So a single failure opens the circuit, and a single success
 * of a request that started later closes it. A failure just after a success is more likely to be random,
 * so the circuit then becomes half-open immediately.
 */

/** State of a target's circuit. */
export type CircuitState =
  | 'sound'
  /** Open: the target failed a moment ago and gets no requests. */
  | 'held'
  /** Half-open: the target may have recovered and gets one probe at a time. */
  | 'due'

/** Times for which a circuit stays open, by the number of failed probes before, in ms. */
export type OpenDurations = readonly [number, ...number[]]

/** A first failure within this time after a success makes the circuit half-open immediately, in ms. */
const RECENT_SUCCESS_MS = 250

/** Circuit of a target that failed. */
interface Circuit {
  readonly failedAt: number
  readonly openUntil: number
  readonly failedProbes: number
}

/** Circuit breakers by target id. Times are in ms on one monotonic clock. */
export interface CircuitBreakers {
  /**
   * Records a failure.
   *
   * @param lastSuccessAt when a request of any VM last succeeded; -Infinity if none did
   * @returns whether the circuit was closed or half-open before
   */
  readonly recordFailure: (target: string, now: number, lastSuccessAt?: number) => boolean
  /**
   * Records a success of a request that started at `startedAt`.
   *
   * @returns whether this closed the circuit
   */
  readonly recordSuccess: (target: string, startedAt: number) => boolean
  /** Closes the circuit, for example because the target restarted, or another VM saw a success. */
  readonly close: (target: string) => void
  readonly stateOf: (target: string, now: number) => CircuitState
  /** When the target last failed; undefined while the circuit is closed. */
  readonly failedAt: (target: string) => number | undefined
  /** Time since the circuit became half-open, in ms; negative while it is open. */
  readonly halfOpenMs: (target: string, now: number) => number
  /** Removes the targets for which `isKnown` returns false. */
  readonly retain: (isKnown: (target: string) => boolean) => void
}

/**
 * Creates circuit breakers; every circuit is closed.
 *
 * @param openDurations open times by the number of failed probes, in ms; the last one repeats
 *
 * @example
 * const breakers = createCircuitBreakers([1000, 1500])
 * breakers.recordFailure('t-1', now)
 * breakers.stateOf('t-1', now + 500) // 'held'
 */
export function createCircuitBreakers (openDurations: OpenDurations): CircuitBreakers {
  const circuits = new Map<string, Circuit>()

  const openMs = (failedProbes: number): number => openDurations[Math.min(failedProbes, openDurations.length - 1)] ?? openDurations[0]

  const stateOf = (target: string, now: number): CircuitState => {
    const circuit = circuits.get(target)
    if (circuit === undefined) return 'sound'
    return now < circuit.openUntil ? 'held' : 'due'
  }

  return {
    stateOf,
    recordFailure: (target, now, lastSuccessAt = -Infinity) => {
      const state = stateOf(target, now)
      const known = circuits.get(target)
      // Concurrent requests fail together; only a failed probe shows that the outage lasts.
      const failedProbes = state === 'due' ? (known?.failedProbes ?? 0) + 1 : known?.failedProbes ?? 0
      const isLikelyNoise = state === 'sound' && now - lastSuccessAt <= RECENT_SUCCESS_MS
      const openUntil = isLikelyNoise ? now : Math.max(known?.openUntil ?? now, now + openMs(failedProbes))
      circuits.set(target, { failedAt: now, openUntil, failedProbes })
      return state !== 'held'
    },
    recordSuccess: (target, startedAt) => {
      const circuit = circuits.get(target)
      if (circuit === undefined || startedAt < circuit.failedAt) return false
      circuits.delete(target)
      return true
    },
    close: target => { circuits.delete(target) },
    failedAt: target => circuits.get(target)?.failedAt,
    halfOpenMs: (target, now) => now - (circuits.get(target)?.openUntil ?? now),
    retain: isKnown => {
      for (const target of circuits.keys()) if (!isKnown(target)) circuits.delete(target)
    }
  }
}
