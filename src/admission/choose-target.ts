import type { Place, Target } from '../model/index.js'

/** A target with a free slot. */
export interface Candidate {
  readonly target: Target
  /** Slots that this VM may use; greater than `inUse`. */
  readonly limit: number
  readonly inUse: number
  /** Whether this VM observed a recent failure. */
  readonly isAvoided: boolean
  readonly isOnProbation: boolean
}

/** Properties of the request and this VM that influence the selection. */
export interface SelectionCriteria {
  /** Zone of this VM. */
  readonly zone: Place
  /** Zones of the targets of previous attempts. */
  readonly avoidPlaces: ReadonlySet<string>
  readonly isRetry: boolean
  /** Uniform in [0, 1). */
  readonly random: () => number
}

/** Compared element by element; the lower rank is preferred. */
type Rank = readonly number[]

/**
 * Targets on probation are preferred for first attempts: without requests they could not prove that they recovered,
 * and a failed attempt can still be retried at another target. For retries they come last.
 */
function tierOf (candidate: Candidate, isRetry: boolean): number {
  if (candidate.isOnProbation) return isRetry ? 3 : 0
  return candidate.isAvoided ? 2 : 1
}

function rankOf (candidate: Candidate, { zone, avoidPlaces, isRetry }: SelectionCriteria): Rank {
  return [
    tierOf(candidate, isRetry),
    avoidPlaces.has(candidate.target.place) ? 1 : 0,
    candidate.inUse / candidate.limit,
    candidate.target.place === zone ? 0 : 1
  ]
}

function compareRanks (a: Rank, b: Rank): number {
  for (let index = 0; index < a.length; index++) {
    const difference = (a[index] ?? 0) - (b[index] ?? 0)
    if (difference !== 0) return difference
  }
  return 0
}

/**
 * Selects a candidate, by descending weight: without a recent failure; in a zone without a previous attempt; with the
 * lowest utilisation of this VM's slots; in this VM's zone. Ties are broken at random, so that VMs do not all select
 * the same target.
 *
 * All candidates are compared instead of two random ones (power of two choices): a service has few targets, and each
 * VM knows its own use of them exactly.
 */
export function chooseTarget (candidates: readonly Candidate[], criteria: SelectionCriteria): Target | undefined {
  let best: Candidate | undefined
  let bestRank: Rank = []
  let ties = 0
  for (const candidate of candidates) {
    const rank = rankOf(candidate, criteria)
    const order = best === undefined ? -1 : compareRanks(rank, bestRank)
    if (order > 0) continue
    ties = order < 0 ? 1 : ties + 1
    // Replacing the selection by the n-th equal candidate with probability 1/n makes all of them equally likely.
    if (order === 0 && criteria.random() * ties >= 1) continue
    best = candidate
    bestRank = rank
  }
  return best?.target
}
