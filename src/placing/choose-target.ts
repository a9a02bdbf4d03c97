/**
 * Selects the target of a request.
 *
 * A non-idempotent request is lost when its target fails, an idempotent one can be retried, and every
 * target starts to fail now and then. So idempotent requests are spread over all targets, with a bonus for
 * those whose last success is oldest, and detect failures. Non-idempotent requests are packed on as few
 * healthy targets as their number needs, because a failing target loses only the requests that it holds.
 */
import type { Listing } from '../catalog/index.js'
import type { CircuitState } from './circuit-breaker.js'

/** Snapshot of a target's state in the view of this VM. */
export interface Candidate {
  readonly listing: Listing
  readonly circuit: CircuitState
  /** Time since the circuit of a suspect target became half-open, in ms; negative while it is open. */
  readonly halfOpenMs: number
  /** Requests in flight at the target, including those of other VMs. */
  readonly load: number
  /** Latency relative to other targets; 1 is average. */
  readonly relativeLatency: number
  /** Time since the last success of a request, in ms; Infinity if there was none. */
  readonly lastSuccessAgeMs: number
  /** Whether a half-open probe of this VM is in flight. */
  readonly isBeingProbed: boolean
  /** Hash of the target and this VM, which gives each VM its own order of targets; uniform in [0, 1). */
  readonly affinity: number
  /** Additional delay before this VM probes the target, in ms; 0 for the first VM in the target's probe order. */
  readonly probeDelayMs: number
}

/** Properties of the request and its service that influence the selection. */
export interface SelectionCriteria {
  readonly zone: string
  readonly idempotent: boolean
  /** Whether the request can be retried if it is used as a probe and fails. */
  readonly canRetry: boolean
  /** Time in the half-open state after which a non-idempotent request may be used as a probe, in ms; Infinity for never. */
  readonly nonIdempotentProbeAfterMs: number
  /** Whether non-idempotent requests are spread over all healthy targets instead of packed on few. */
  readonly isSpread: boolean
  /** Whether requests are queued. A target then gets one request above its slots, so that no slot idles between two requests. */
  readonly hasQueue: boolean
  /** Uniform in [0, 1). */
  readonly random: () => number
}

/** The selected target. */
export interface Selection {
  readonly candidate: Candidate
  readonly isProbe: boolean
}

/** Cross-zone traffic is billed, so a target in another zone is selected only if its score is lower by this much. */
const CROSS_ZONE_PENALTY = 0.7
/** Weight of the time since a target's last success: the longer, the more likely is an undetected failure. */
const STALENESS_WEIGHT = 0.25
/** Time since the last success at which the weight applies in full, in ms. */
const STALENESS_LIMIT_MS = 1500
/** Fraction of a target's slots up to which requests are packed on it. */
const PACKING_LIMIT = 0.75
/** Ranks targets above that limit after other targets of the zone, but before targets of other zones. */
const OVER_LIMIT_PENALTY = 0.15
/** Weight of the load of a target below that limit. */
const PACKING_WEIGHT = 0.5
/** Makes VMs with the same load data select different targets, and each VM reuse its connections to them. */
const AFFINITY_WEIGHT = 0.2
/** Upper bound of the random part of a score, which breaks ties. */
const TIE_BREAK_JITTER = 0.02

function canProbe ({ circuit, halfOpenMs, isBeingProbed, probeDelayMs }: Candidate, afterMs: number): boolean {
  return circuit === 'due' && !isBeingProbed && halfOpenMs >= probeDelayMs + afterMs
}

/** Score that is lower for less utilised targets. */
function spreadScore ({ listing, load, relativeLatency }: Candidate): number {
  return (load + 1) / listing.slots * relativeLatency
}

/** Score that is lower for more utilised targets, up to the packing limit. */
function packingScore (candidate: Candidate): number {
  const { listing, load, relativeLatency } = candidate
  const limit = Math.max(1, Math.floor(listing.slots * PACKING_LIMIT))
  if (load + 1 > limit) return OVER_LIMIT_PENALTY + spreadScore(candidate)
  return relativeLatency - PACKING_WEIGHT * load / listing.slots
}

function scoreOf (candidate: Candidate, criteria: SelectionCriteria): number {
  const { listing, lastSuccessAgeMs } = candidate
  const loadScore = criteria.idempotent || criteria.isSpread ? spreadScore(candidate) : packingScore(candidate)
  const zonePenalty = listing.zone === criteria.zone ? 0 : CROSS_ZONE_PENALTY
  const staleness = STALENESS_WEIGHT * Math.min(1, lastSuccessAgeMs / STALENESS_LIMIT_MS)
  // Idempotent requests prefer targets without a recent success, to detect failures; others avoid them.
  return loadScore + zonePenalty + (criteria.idempotent ? -staleness : staleness) + AFFINITY_WEIGHT * candidate.affinity + TIE_BREAK_JITTER * criteria.random()
}

function lowestScoring (candidates: readonly Candidate[], score: (candidate: Candidate) => number): Candidate | undefined {
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
 * Selects a target with a free slot, or a half-open target to probe; undefined when none may get this request now.
 *
 * @example
 * chooseTarget(candidates, {
 *   zone: 'riga-a', idempotent: true, canRetry: true, nonIdempotentProbeAfterMs: Infinity, isSpread: false, hasQueue: false, random
 * })
 */
export function chooseTarget (candidates: readonly Candidate[], criteria: SelectionCriteria): Selection | undefined {
  const probeAfterMs = criteria.idempotent && criteria.canRetry ? 0 : criteria.nonIdempotentProbeAfterMs
  const probeable = candidates.filter(candidate => canProbe(candidate, probeAfterMs))
  const probe = lowestScoring(probeable, ({ halfOpenMs }) => -halfOpenMs)
  if (probe !== undefined) return { candidate: probe, isProbe: true }
  const extraSlots = criteria.hasQueue ? 1 : 0
  const free = candidates.filter(({ circuit, load, listing }) => circuit === 'sound' && load < listing.slots + extraSlots)
  const healthy = lowestScoring(free, candidate => scoreOf(candidate, criteria))
  return healthy === undefined ? undefined : { candidate: healthy, isProbe: false }
}

/** Selects the target that has been half-open for longest. Used when no target is healthy. */
export function chooseSuspectTarget (candidates: readonly Candidate[]): Selection | undefined {
  const free = candidates.filter(({ circuit, load, listing, isBeingProbed }) => circuit === 'due' && !isBeingProbed && load < listing.slots)
  const suspect = lowestScoring(free, ({ halfOpenMs }) => -halfOpenMs)
  return suspect === undefined ? undefined : { candidate: suspect, isProbe: true }
}
