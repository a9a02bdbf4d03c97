/**
 * Tracks when this VM last knew that its configuration was current.
 *
 * An observation of the head states that at a time, on this VM's clock, no
 * revision above `r` was accepted. It confirms a VM that holds revision `r` or a
 * later one.
 */

/** Time for which a confirmation is valid. After it, a VM needs contact with a majority to serve. */
export const CONFIRMATION_TTL_MS = 3000

/** Interval between ticks. */
export const TICK_INTERVAL_MS = 250

/** A tick that is later than this shows that the process was paused. */
export const PAUSE_THRESHOLD_MS = 1000

/** Confirmation of the held revision. */
export interface Confirmation {
  /** Time of the latest observation that confirms the held revision; -Infinity without one. */
  readonly confirmedAt: () => number
  readonly isConfirmed: (now: number) => boolean
  /** Highest revision that is known to exist. */
  readonly knownRevision: () => number
  readonly recordRevision: (revision: number) => void
  /**
   * Records an observation of the head.
   *
   * @param at time at which no higher revision was accepted
   * @param writtenAt earliest time at which the message with the observation can have been written
   */
  readonly recordHead: (revision: number, at: number, writtenAt: number) => void
  /** Handles an increase of the held revision. */
  readonly handleAdvance: () => void
  /** Records an echo, given the earliest time at which the peer can have written it. */
  readonly recordEcho: (writtenAt: number) => void
  /** Whether an echo arrived since the last pause. */
  readonly hasEcho: () => boolean
  /** Detects a pause of the process; true if the confirmation was discarded. */
  readonly tick: (now: number) => boolean
  /** Whether the next tick is so late that the process must have been paused. */
  readonly isPaused: (now: number) => boolean
}

/** At a time, no revision above `revision` was accepted. */
interface HeadObservation {
  readonly revision: number
  readonly at: number
}

/** Creates an empty confirmation. */
export function createConfirmation (heldRevision: () => number, startedAt: number): Confirmation {
  let confirmedAt = -Infinity
  let knownRevision = 0
  let pendingObservation: HeadObservation | undefined
  let echoAt = -Infinity
  let tickedAt = startedAt
  let resumedAt = -Infinity

  const isPaused = (now: number): boolean => now - tickedAt > TICK_INTERVAL_MS + PAUSE_THRESHOLD_MS
  const recordRevision = (revision: number): void => { knownRevision = Math.max(knownRevision, revision) }

  return {
    confirmedAt: () => confirmedAt,
    isConfirmed: now => now - confirmedAt <= CONFIRMATION_TTL_MS,
    knownRevision: () => knownRevision,
    recordRevision,
    recordHead: (revision, at, writtenAt) => {
      recordRevision(revision)
      // Messages that were written before the end of a pause do not count after it.
      if (writtenAt < resumedAt) return
      if (heldRevision() >= revision) confirmedAt = Math.max(confirmedAt, at)
      else if (pendingObservation === undefined || at > pendingObservation.at) pendingObservation = { revision, at }
    },
    handleAdvance: () => {
      recordRevision(heldRevision())
      if (pendingObservation === undefined || heldRevision() < pendingObservation.revision) return
      confirmedAt = Math.max(confirmedAt, pendingObservation.at)
      pendingObservation = undefined
    },
    recordEcho: writtenAt => { echoAt = Math.max(echoAt, writtenAt) },
    hasEcho: () => echoAt >= resumedAt,
    isPaused,
    tick: now => {
      const wasPaused = isPaused(now)
      if (wasPaused) {
        confirmedAt = -Infinity
        pendingObservation = undefined
        resumedAt = now
      }
      tickedAt = now
      return wasPaused
    }
  }
}
