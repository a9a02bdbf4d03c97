/** Selection of the VMs of a zone to which a VM keeps links. */
import type { VM } from '../model/index.js'
import { selectServing, sortByRank, type Demand } from './serving-vms.js'

/** A VM to which a link may be kept. */
export interface LinkCandidate {
  readonly vm: VM
  /** Time for which it has been ready, in ms; an estimate without a link. */
  readonly readyMs: number
  /** Whether it can serve: it is reachable and does not stop. */
  readonly isAvailable: boolean
}

/** Links per zone in addition to those to its serving VMs. */
const EXTRA_LINKS = 1

/**
 * Selects the VMs that would serve a demand, the next one in rank, and those before them that are not
 * available at the moment and may return.
 *
 * @example
 * selectLinks(candidates, { measuredCores: 0.9, expectedCores: 0.5 }).map(({ name }) => name)
 */
export function selectLinks (candidates: readonly LinkCandidate[], demand: Demand): readonly VM[] {
  const available = candidates.filter(({ isAvailable }) => isAvailable)
  const serving = new Set(selectServing(available, demand))
  const availableVMs = new Set(available.map(({ vm }) => vm))
  const chosen: VM[] = []
  let extraLinks = 0
  let unmet = serving.size
  for (const vm of sortByRank(candidates.map(({ vm }) => vm))) {
    if (serving.has(vm)) unmet--
    else if (availableVMs.has(vm)) {
      if (extraLinks >= EXTRA_LINKS) continue
      extraLinks++
    } else if (unmet === 0 && extraLinks >= EXTRA_LINKS) continue
    chosen.push(vm)
  }
  return chosen
}
