/** Which VMs of a zone callers are told to use. */
import { hashText } from '../membership/index.js'
import type { VM } from '../model/index.js'

/** A VM that could serve callers. */
export interface Candidate {
  readonly vm: VM
  /** How long it has been ready, in ms. */
  readonly readyMs: number
}

/** Time after which the code of a VM is warm, in ms. */
const WARM_MS = 8000
/** What a VM can serve before, in relation to a warm one. */
const COLD_PART = 0.35

/** The order in which the VMs of a zone are used; it does not depend on the other VMs. */
export function rankOf (vm: VM): number {
  return hashText(`serving\n${vm.name}`)
}

/** VMs in the order in which they are used. */
export function inRank (vms: readonly VM[]): readonly VM[] {
  return [...vms].sort((a, b) => rankOf(a) - rankOf(b) || (a.name < b.name ? -1 : 1))
}

/**
 * Chooses the VMs that serve the callers of a zone: few, so that each of them sees a large part of what
 * the targets do, and the same ones at every VM that knows the same candidates. Warm ones come first. When
 * most VMs started again, more of them serve, since their code is slow at first.
 *
 * @param count warm VMs that can serve the zone
 *
 * @example
 * chooseServing(candidates, 3).map(({ name }) => name)
 */
export function chooseServing (candidates: readonly Candidate[], count: number): readonly VM[] {
  const warm = candidates.filter(({ readyMs }) => readyMs >= WARM_MS).map(({ vm }) => vm)
  const cold = candidates.filter(({ readyMs }) => readyMs < WARM_MS).map(({ vm }) => vm)
  const coldNeeded = Math.ceil(Math.max(0, count - warm.length) / COLD_PART)
  return [...inRank(warm).slice(0, count), ...inRank(cold).slice(0, coldNeeded)]
}
