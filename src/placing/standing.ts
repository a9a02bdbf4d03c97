/**
 * How targets stand: sound, held back after a failure, or due for a trial.
 *
 * Load this answers: at any time a third of the targets may fail most of their requests for seconds,
 * while a sound one fails about one request of a hundred. One failure is enough to doubt a target, and one
 * success that began later is enough to use it again. A target that succeeded just before it failed is
 * more likely to have failed by chance, so it is due for a trial at once.
 */

/** Whether a target may get work. */
export type Phase =
  | 'sound'
  /** It failed a moment ago. */
  | 'held'
  /** It may have recovered; a single request can tell. */
  | 'due'

/** Time for which a target is held back, by the number of failed trials before. */
export type Holds = readonly [number, ...number[]]

/** A first failure so soon after a success is no reason to hold the target back, in ms. */
const RECENTLY_PROVEN_MS = 250

/** What is known of a target that failed. */
interface Suspicion {
  readonly failedAt: number
  readonly heldUntil: number
  readonly failedTrials: number
}

/** The standing of targets by id. Times are in ms on one monotonic clock. */
export interface Standings {
  /**
   * Records a failure.
   *
   * @param provenAt when a request of any VM last succeeded; -Infinity if never
   * @returns whether the target was sound before, or a trial failed
   */
  readonly fail: (target: string, now: number, provenAt?: number) => boolean
  /**
   * Records a success of a request that began at `startedAt`.
   *
   * @returns whether the target is sound from now on and was not before
   */
  readonly succeed: (target: string, startedAt: number) => boolean
  /** Uses the target again, for example because it was replaced, or another VM saw it succeed. */
  readonly clear: (target: string) => void
  readonly phaseOf: (target: string, now: number) => Phase
  /** When the target failed last; undefined while it is sound. */
  readonly failedAt: (target: string) => number | undefined
  /** Time since the hold ended, in ms; negative while it is held. */
  readonly overdueMs: (target: string, now: number) => number
  /** Forgets targets that `isKnown` does not name. */
  readonly retain: (isKnown: (target: string) => boolean) => void
}

/**
 * Creates standings; every target is sound.
 *
 * @param holds holds by the number of failed trials; the last one serves for all further ones
 *
 * @example
 * const standings = createStandings([1000, 1500])
 * standings.fail('t-1', now)
 * standings.phaseOf('t-1', now + 500) // 'held'
 */
export function createStandings (holds: Holds): Standings {
  const suspicions = new Map<string, Suspicion>()

  const holdMs = (failedTrials: number): number => holds[Math.min(failedTrials, holds.length - 1)] ?? holds[0]

  const phaseOf = (target: string, now: number): Phase => {
    const suspicion = suspicions.get(target)
    if (suspicion === undefined) return 'sound'
    return now < suspicion.heldUntil ? 'held' : 'due'
  }

  return {
    phaseOf,
    fail: (target, now, provenAt = -Infinity) => {
      const phase = phaseOf(target, now)
      const known = suspicions.get(target)
      // Requests that ran together fail together; only a failed trial says that the episode goes on.
      const failedTrials = phase === 'due' ? (known?.failedTrials ?? 0) + 1 : known?.failedTrials ?? 0
      const isByChance = phase === 'sound' && now - provenAt <= RECENTLY_PROVEN_MS
      const heldUntil = isByChance ? now : Math.max(known?.heldUntil ?? now, now + holdMs(failedTrials))
      suspicions.set(target, { failedAt: now, heldUntil, failedTrials })
      return phase !== 'held'
    },
    succeed: (target, startedAt) => {
      const suspicion = suspicions.get(target)
      if (suspicion === undefined || startedAt < suspicion.failedAt) return false
      suspicions.delete(target)
      return true
    },
    clear: target => { suspicions.delete(target) },
    failedAt: target => suspicions.get(target)?.failedAt,
    overdueMs: (target, now) => now - (suspicions.get(target)?.heldUntil ?? now),
    retain: isKnown => {
      for (const target of suspicions.keys()) if (!isKnown(target)) suspicions.delete(target)
    }
  }
}
