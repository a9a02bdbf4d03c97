/** Determines which subsets a change of the VMs can affect, so that the others are not computed again. */
import type { Place, Service, VM } from '../model/index.js'
import { rendezvousScores } from './rendezvous.js'
import { ranksBefore } from './subset.js'

/** Difference between two lists of VMs. A VM with a new zone or address counts as removed and added. */
export interface VMChange {
  readonly removed: ReadonlySet<string>
  readonly added: readonly VM[]
  /** Number of VMs in each zone before the change. */
  readonly zoneSizes: ReadonlyMap<Place, number>
}

function isSame (a: VM, b: VM | undefined): boolean {
  return b !== undefined && a.place === b.place &&
    a.callers.address === b.callers.address && a.callers.port === b.callers.port
}

/** Compares two lists of VMs with unique names, in any order. */
export function compareVMs (before: readonly VM[], after: readonly VM[]): VMChange {
  const previous = new Map(before.map(vm => [vm.name, vm]))
  const added = after.filter(vm => !isSame(vm, previous.get(vm.name)))
  const kept = new Set(after.map(({ name }) => name))
  for (const { name } of added) kept.delete(name)
  const zoneSizes = new Map<Place, number>()
  for (const { place } of before) zoneSizes.set(place, (zoneSizes.get(place) ?? 0) + 1)
  return {
    removed: new Set(before.flatMap(({ name }) => kept.has(name) ? [] : [name])),
    added,
    zoneSizes
  }
}

/**
 * Whether a subset has to be computed again. This is the case if it lost a member, if an added VM ranks before the last
 * member of the same zone, or if all VMs of that zone were members (or it had none), so that the added VM may be one
 * more. A zone with more VMs than members contributes the same number of members in any case.
 */
export function isAffected (service: Service, subset: readonly VM[], { removed, added, zoneSizes }: VMChange): boolean {
  if (subset.some(({ name }) => removed.has(name))) return true
  const scoreOf = rendezvousScores(service.name)
  return added.some(vm => {
    const members = subset.filter(({ place }) => place === vm.place)
    if (members.length === (zoneSizes.get(vm.place) ?? 0)) return true
    const last = members.at(-1)
    return last !== undefined && ranksBefore({ vm, score: scoreOf(vm.name) }, { vm: last, score: scoreOf(last.name) })
  })
}
