/**
 * Chooses the target of a request.
 *
 * Load this answers: requests that must not run twice are lost when their target fails, others can be
 * sent again, and every target begins to fail now and then. So idempotent requests go to all targets,
 * first to those that were not heard of for longest, and find out. Requests that must not run twice are
 * packed on as few sound targets as their number needs: a target without such work loses none.
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
  /** Order of the targets that differs from VM to VM; uniform in [0, 1). */
  readonly affinity: number
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
  /** Whether requests go to all sound targets, also those that must not run twice. */
  readonly isSpread: boolean
  /** Whether requests wait: then a target gets one more than its slots, so that none of them idles in between. */
  readonly isWaiting: boolean
  /** Uniform in [0, 1). */
  readonly random: () => number
}

/** What was chosen. */
export interface Chosen {
  readonly candidate: Candidate
  readonly isTrial: boolean
}

/** Bytes between zones are paid for, so a target in another zone is chosen when it is this much less loaded. */
const FAR_PENALTY = 0.7
/** Weight of the time since a target's last success: the longer, the more likely it turned bad unnoticed. */
const UNPROVEN_WEIGHT = 0.25
/** Time since the last success at which the weight is complete, in ms. */
const UNPROVEN_MS = 1500
/** Part of a target's slots up to which requests are packed on it. */
const PACKED_PART = 0.75
/** Keeps targets above that part behind others of the same zone, and before those of other zones. */
const ABOVE_PACKED = 0.15
/** Weight of the load of a target below that part. */
const PACKED_WEIGHT = 0.5
/** VMs that know the same loads choose different targets, and come back to them over the same connections. */
const AFFINITY_WEIGHT = 0.2
/** Breaks ties. */
const JITTER = 0.02

function isTrialDue ({ phase, overdueMs, isOnTrial, trialDelayMs }: Candidate, afterMs: number): boolean {
  return phase === 'due' && !isOnTrial && overdueMs >= trialDelayMs + afterMs
}

/** Lower for a target that is used less. */
function spreadScore ({ listing, load, slowness }: Candidate): number {
  return (load + 1) / listing.slots * slowness
}

/** Lower for a target that is used more, up to the part on which requests are packed. */
function packedScore (candidate: Candidate): number {
  const { listing, load, slowness } = candidate
  const limit = Math.max(1, Math.floor(listing.slots * PACKED_PART))
  if (load + 1 > limit) return ABOVE_PACKED + spreadScore(candidate)
  return slowness - PACKED_WEIGHT * load / listing.slots
}

function scoreOf (candidate: Candidate, choice: Choice): number {
  const { listing, provenAgeMs } = candidate
  const use = choice.idempotent || choice.isSpread ? spreadScore(candidate) : packedScore(candidate)
  const distance = listing.zone === choice.zone ? 0 : FAR_PENALTY
  const unproven = UNPROVEN_WEIGHT * Math.min(1, provenAgeMs / UNPROVEN_MS)
  // A request that can be repeated finds out; another one avoids the risk.
  return use + distance + (choice.idempotent ? -unproven : unproven) + AFFINITY_WEIGHT * candidate.affinity + JITTER * choice.random()
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
  if (trial !== undefined) return { candidate: trial, isTrial: true }
  const extra = choice.isWaiting ? 1 : 0
  const free = candidates.filter(({ phase, load, listing }) => phase === 'sound' && load < listing.slots + extra)
  const sound = best(free, candidate => scoreOf(candidate, choice))
  return sound === undefined ? undefined : { candidate: sound, isTrial: false }
}

/** Chooses among targets that are not sound, when no other is left: the one that failed longest ago. */
export function chooseSuspect (candidates: readonly Candidate[]): Chosen | undefined {
  const free = candidates.filter(({ phase, load, listing, isOnTrial }) => phase === 'due' && !isOnTrial && load < listing.slots)
  const suspect = best(free, ({ overdueMs }) => -overdueMs)
  return suspect === undefined ? undefined : { candidate: suspect, isTrial: true }
}
