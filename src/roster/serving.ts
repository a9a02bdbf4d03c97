/** Which VMs of a zone callers are told to use. */
import { hashText } from '../membership/index.js'
import type { VM } from '../model/index.js'

/** A VM that could serve callers. */
export interface Candidate {
  readonly vm: VM
  /** How long it has been ready, in ms. */
  readonly readyMs: number
}

/** A VM that became ready later than this is used only where others are missing: its code still warms up. */
const WARM_MS = 2000

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
 * the targets do, and the same ones at every VM that knows the same candidates.
 *
 * @param count VMs to choose
 *
 * @example
 * chooseServing(candidates, 3).map(({ name }) => name)
 */
export function chooseServing (candidates: readonly Candidate[], count: number): readonly VM[] {
  const warm = candidates.filter(({ readyMs }) => readyMs >= WARM_MS).map(({ vm }) => vm)
  const cold = candidates.filter(({ readyMs }) => readyMs < WARM_MS).map(({ vm }) => vm)
  return [...inRank(warm), ...inRank(cold)].slice(0, count)
}
