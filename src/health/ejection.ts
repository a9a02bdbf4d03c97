/**
 * Lifecycle of an ejection: hold time, probation, slow start.
 */
import type { EvidenceSummary } from './evidence.js'

/** Hold time of a first ejection. */
export const BASE_HOLD_MS = 2_000
/** An ejection within this time after the end of the previous one doubles the hold time. */
const BACKOFF_RESET_MS = 300_000
/** Upper bound of the hold time, so that a recovered target returns within it. */
export const MAX_HOLD_MS = 60_000
/** Consecutive successes that end the probation. */
export const PROBATION_SUCCESSES = 3
/** A prober without outcomes for this long, which may have no suitable requests, is replaced by the next member. */
const PROBER_TIMEOUT_MS = 2_000
/** A probation ends after this time even without outcomes, so that targets of a service with few requests return. */
const PROBATION_TIMEOUT_MS = 10_000
/** Time over which a readmitted target's usable slots grow to all of its slots. */
export const SLOW_START_MS = 5_000

/** Phase of an ejection: no requests, probes only, or a growing number of slots. */
export type EjectionPhase = 'ejected' | 'probation' | 'slow-start'

/** Ejection of one target, until it is fully in service again. Times are in ms on the clock of the VM. */
export interface Ejection {
  readonly target: string
  readonly phase: EjectionPhase
  /** When the target was ejected. */
  readonly since: number
  /** When the current phase began. */
  readonly phaseSince: number
  /** Ejections of the target so far, this one included, unless the backoff was reset; 0 for a new target. */
  readonly times: number
  readonly holdMs: number
  /** Member that sends the requests of the probation. */
  readonly prober: string | undefined
  /** When the prober was chosen or last reported an outcome. */
  readonly proberSince: number
  /** Consecutive successes in the probation. */
  readonly successes: number
  /** Evidence that led to the ejection; undefined after a change of coordinator. */
  readonly evidence: EvidenceSummary | undefined
}

/** Ejections of one service. */
export interface Ejections {
  /** Returns all ejections, the oldest first. */
  readonly list: () => readonly Ejection[]
  readonly get: (target: string) => Ejection | undefined
  /** Ejects a target, or returns one from probation or slow start to the hold time. */
  readonly eject: (target: string, evidence: EvidenceSummary | undefined, now: number) => Ejection
  /** Adds or replaces an ejection, for example one that the previous coordinator decided. */
  readonly restore: (ejection: Ejection) => void
  /** Adds a new target, which was not ejected, in its slow start. */
  readonly beginSlowStart: (target: string, now: number) => void
  /** Ends an ejection at once, for example because the target is needed to keep the floor. */
  readonly revoke: (target: string, now: number) => void
  /** Ends an ejection whose evidence was retracted; it does not count for later hold times. */
  readonly retract: (target: string) => void
  /** Records an outcome during a probation. */
  readonly recordProbe: (target: string, success: boolean, now: number) => void
  /**
   * Moves targets whose current phase is over to their next one.
   *
   * @param probers members that can send the requests of a probation; empty if the service has no idempotent requests
   * @returns the targets whose phase changed
   */
  readonly advance: (probers: readonly string[], now: number) => readonly string[]
}

/**
 * Returns how many of its slots a target in slow start may use: at least one.
 *
 * @example
 * slowStartSlots(4, startedAt, startedAt + 2_500) // 2
 */
export function slowStartSlots (slots: number, startedAt: number, now: number): number {
  const fraction = Math.min(1, Math.max(0, (now - startedAt) / SLOW_START_MS))
  return Math.min(slots, Math.max(1, Math.floor(slots * fraction)))
}

/** Ended ejection of a target. */
interface EndedEjection {
  readonly times: number
  readonly endedAt: number
}

/**
 * Creates an empty list of ejections.
 *
 * @example
 * ejections.eject('t1', summary, now).holdMs // 2000
 */
export function createEjections (): Ejections {
  const current = new Map<string, Ejection>()
  const past = new Map<string, EndedEjection>()

  const countPrevious = (target: string, now: number): number => {
    const active = current.get(target)
    if (active !== undefined) return active.times
    const before = past.get(target)
    return before !== undefined && now - before.endedAt <= BACKOFF_RESET_MS ? before.times : 0
  }
  const end = (target: string, now: number): void => {
    const ejection = current.get(target)
    if (ejection === undefined) return
    current.delete(target)
    past.set(target, { times: ejection.times, endedAt: now })
  }
  const enterPhase = (ejection: Ejection, phase: EjectionPhase, prober: string | undefined, now: number): void => {
    current.set(ejection.target, { ...ejection, phase, phaseSince: now, prober, proberSince: now, successes: 0 })
  }
  const nextProber = (ejection: Ejection, probers: readonly string[]): string | undefined => {
    const index = ejection.prober === undefined ? ejection.times - 1 : probers.indexOf(ejection.prober) + 1
    return probers[index % probers.length]
  }
  const advanceOne = (ejection: Ejection, probers: readonly string[], now: number): boolean => {
    const elapsed = now - ejection.phaseSince
    if (ejection.phase === 'ejected') {
      if (elapsed < ejection.holdMs) return false
      const prober = nextProber(ejection, probers)
      enterPhase(ejection, prober === undefined ? 'slow-start' : 'probation', prober, now)
      return true
    }
    if (ejection.phase === 'slow-start') {
      if (elapsed < SLOW_START_MS) return false
      end(ejection.target, now)
      return true
    }
    if (ejection.successes >= PROBATION_SUCCESSES || elapsed >= PROBATION_TIMEOUT_MS) {
      enterPhase(ejection, 'slow-start', undefined, now)
      return true
    }
    const isProberGone = ejection.prober === undefined || !probers.includes(ejection.prober)
    if (!isProberGone && now - ejection.proberSince < PROBER_TIMEOUT_MS) return false
    current.set(ejection.target, { ...ejection, prober: nextProber(ejection, probers), proberSince: now, successes: 0 })
    return true
  }

  return {
    list: () => [...current.values()].toSorted((a, b) => a.since - b.since || (a.target < b.target ? -1 : 1)),
    get: target => current.get(target),
    eject: (target, evidence, now) => {
      const times = countPrevious(target, now) + 1
      const holdMs = Math.min(MAX_HOLD_MS, BASE_HOLD_MS * 2 ** (times - 1))
      // After a failed probation the ejection keeps its place in the order, because the target never returned.
      const since = current.get(target)?.phase === 'probation' ? current.get(target)?.since ?? now : now
      const prober = current.get(target)?.prober
      const ejection: Ejection = {
        target, phase: 'ejected', since, phaseSince: now, times, holdMs, prober, proberSince: now, successes: 0, evidence
      }
      current.set(target, ejection)
      return ejection
    },
    restore: ejection => { current.set(ejection.target, ejection) },
    beginSlowStart: (target, now) => {
      current.set(target, {
        target, phase: 'slow-start', since: now, phaseSince: now, times: 0, holdMs: 0, prober: undefined, proberSince: now, successes: 0, evidence: undefined
      })
    },
    revoke: end,
    retract: target => {
      const ejection = current.get(target)
      current.delete(target)
      const before = past.get(target)
      // Earlier ejections still count; the retracted one does not.
      if (ejection !== undefined && before !== undefined) past.set(target, { ...before, times: Math.min(before.times, ejection.times - 1) })
    },
    recordProbe: (target, success, now) => {
      const ejection = current.get(target)
      if (ejection?.phase !== 'probation') return
      current.set(target, { ...ejection, successes: success ? ejection.successes + 1 : 0, proberSince: now })
    },
    advance: (probers, now) => [...current.values()].filter(ejection => advanceOne(ejection, probers, now)).map(({ target }) => target)
  }
}
