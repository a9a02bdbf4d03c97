/**
 * Chooses the target of a request.
 *
 * Load this answers: requests that must not run twice are lost when their target fails, others can be
 * sent again. So a target that may have recovered is tried with an idempotent request first, and work
 * that cannot be repeated goes to targets that are sound.
 */
import type { Listing } from '../catalog/index.js'
import type { Phase } from './standing.js'

/** A target as this VM sees it at a moment. */
export interface Candidate {
  readonly listing: Listing
  readonly phase: Phase
  /** Time since the hold of a suspect target ended, in ms. */
  readonly overdueMs: number
  /** Requests that run there, those of other VMs included. */
  readonly load: number
  /** Latency in relation to other targets; 1 is usual. */
  readonly slowness: number
  /** Time since it succeeded, in ms; Infinity if never. */
  readonly provenAgeMs: number
  /** Whether a request of this VM tries it now. */
  readonly isOnTrial: boolean
  /** Time by which this VM waits longer than the first one before it tries the target, in ms. */
  readonly trialDelayMs: number
}

/** What the choice depends on besides the candidates. */
export interface Choice {
  readonly zone: string
  readonly idempotent: boolean
  /** Whether a failed trial can be made good by another attempt. */
  readonly canRetry: boolean
  /** Whether requests that must not run twice may serve as trials, and how long after the hold, in ms. */
  readonly riskyTrialAfterMs: number
  /** Uniform in [0, 1). */
  readonly random: () => number
}

/** What was chosen. */
export interface Chosen {
  readonly listing: Listing
  readonly isTrial: boolean
}

/** Bytes between zones are paid for, so a target in another zone is chosen when it is this much less loaded. */
const FAR_PENALTY = 0.5
/** Weight of a target's last success: the longer ago, the more likely it turned bad unnoticed. */
const UNPROVEN_PENALTY = 0.25
/** Age of the last success at which the penalty is complete, in ms. */
const UNPROVEN_MS = 1500
/** Breaks ties, so that VMs do not choose alike. */
const JITTER = 0.02

function isTrialDue ({ phase, overdueMs, isOnTrial, trialDelayMs }: Candidate, afterMs: number): boolean {
  return phase === 'due' && !isOnTrial && overdueMs >= trialDelayMs + afterMs
}

function scoreOf (candidate: Candidate, choice: Choice): number {
  const { listing, load, slowness, provenAgeMs } = candidate
  const use = (load + 1) / listing.slots * slowness
  const distance = listing.zone === choice.zone ? 0 : FAR_PENALTY
  const doubt = choice.idempotent ? 0 : UNPROVEN_PENALTY * Math.min(1, provenAgeMs / UNPROVEN_MS)
  return use + distance + doubt + JITTER * choice.random()
}

function best (candidates: readonly Candidate[], score: (candidate: Candidate) => number): Candidate | undefined {
  let found: Candidate | undefined
  let lowest = Infinity
  for (const candidate of candidates) {
    const value = score(candidate)
    if (value >= lowest) continue
    found = candidate
    lowest = value
  }
  return found
}

/**
 * Chooses a target with a free slot; undefined when there is none that should get this request now.
 *
 * @example
 * chooseTarget(candidates, { zone: 'riga-a', idempotent: true, canRetry: true, riskyTrialAfterMs: Infinity, random })
 */
export function chooseTarget (candidates: readonly Candidate[], choice: Choice): Chosen | undefined {
  const trialAfterMs = choice.idempotent && choice.canRetry ? 0 : choice.riskyTrialAfterMs
  const due = candidates.filter(candidate => isTrialDue(candidate, trialAfterMs))
  const trial = best(due, ({ overdueMs }) => -overdueMs)
  if (trial !== undefined) return { listing: trial.listing, isTrial: true }
  const free = candidates.filter(({ phase, load, listing }) => phase === 'sound' && load < listing.slots)
  const sound = best(free, candidate => scoreOf(candidate, choice))
  return sound === undefined ? undefined : { listing: sound.listing, isTrial: false }
}

/** Chooses among targets that are not sound, when no other is left: the one that failed longest ago. */
export function chooseSuspect (candidates: readonly Candidate[]): Chosen | undefined {
  const free = candidates.filter(({ phase, load, listing, isOnTrial }) => phase === 'due' && !isOnTrial && load < listing.slots)
  const suspect = best(free, ({ overdueMs }) => -overdueMs)
  return suspect === undefined ? undefined : { listing: suspect.listing, isTrial: true }
}
