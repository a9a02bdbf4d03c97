/** Selection of the VMs that serve the callers of a zone. */
import { hashText } from '../membership/index.js'
import type { VM } from '../model/index.js'

/** A VM that can serve callers. */
export interface ServingCandidate {
  readonly vm: VM
  /** Time for which it has been ready, in ms. */
  readonly readyMs: number
}

/** Time after which a ready VM counts as warm, in ms; until then its code is slow. */
const WARMUP_MS = 8000
/** Capacity of a cold VM relative to a warm one. */
const COLD_CAPACITY = 0.35

/** Rank of a VM within its zone. Does not depend on the other VMs, so a VM that leaves changes no other rank. */
export function rankOf (vm: VM): number {
  return hashText(`serving\n${vm.name}`)
}

/** Sorts VMs by rank, then by name. */
export function sortByRank (vms: readonly VM[]): readonly VM[] {
  return [...vms].sort((a, b) => rankOf(a) - rankOf(b) || (a.name < b.name ? -1 : 1))
}

/**
 * Selects the VMs that serve the callers of a zone. They are few, so that each of them observes a large part
 * of the requests to each target, and the selection is the same on every VM with the same candidates. Warm
 * VMs come first. While warm VMs are missing, for example after a restart of most VMs, several cold ones replace
 * each of them, because cold code is slow.
 *
 * @param count number of warm VMs that are needed to serve the zone
 *
 * @example
 * selectServing(candidates, 3).map(({ name }) => name)
 */
export function selectServing (candidates: readonly ServingCandidate[], count: number): readonly VM[] {
  const warm = candidates.filter(({ readyMs }) => readyMs >= WARMUP_MS).map(({ vm }) => vm)
  const cold = candidates.filter(({ readyMs }) => readyMs < WARMUP_MS).map(({ vm }) => vm)
  const coldNeeded = Math.ceil(Math.max(0, count - warm.length) / COLD_CAPACITY)
  return [...sortByRank(warm).slice(0, count), ...sortByRank(cold).slice(0, coldNeeded)]
}
