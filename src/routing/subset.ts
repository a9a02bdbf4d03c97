import type { Place, Service, VM } from '../model/index.js'
import { rendezvousScore, rendezvousScores } from './rendezvous.js'

/** Default number of slots per VM of a subset. */
const SLOTS_PER_VM = 4
const MIN_SUBSET_SIZE = 3
/** With more VMs, each would have less evidence about a target. */
const MAX_SUBSET_SIZE = 8

/** Number of VMs that serve a service without a configured `subsetSize`. */
export function defaultSubsetSize (service: Service): number {
  const slots = service.targets.reduce((sum, target) => sum + target.slots, 0)
  return Math.min(MAX_SUBSET_SIZE, Math.max(MIN_SUBSET_SIZE, Math.ceil(slots / SLOTS_PER_VM)))
}

/** A VM with its rendezvous score for one service. */
export interface ScoredVM {
  readonly vm: VM
  readonly score: number
}

/** Whether a VM ranks before another one of the same zone. */
export function ranksBefore (a: ScoredVM, b: ScoredVM): boolean {
  return a.score === b.score ? a.vm.name < b.vm.name : a.score > b.score
}

/** Inserts a VM into the ranking of the best. In a large fleet almost every VM ranks after all of them. */
function insertRanked (best: ScoredVM[], candidate: ScoredVM, limit: number): void {
  if (best.length >= limit) {
    const last = best.at(-1)
    if (last === undefined || !ranksBefore(candidate, last)) return
    best.pop()
  }
  const position = best.findIndex(entry => ranksBefore(candidate, entry))
  best.splice(position < 0 ? best.length : position, 0, candidate)
}

/** Returns the best VMs of each zone, ranked; at most `limit` per zone. */
function rankByZone (key: string, vms: readonly VM[], limit: number): ReadonlyMap<Place, ScoredVM[]> {
  const scoreOf = rendezvousScores(key)
  const zones = new Map<Place, ScoredVM[]>()
  for (const vm of vms) {
    const best = zones.get(vm.place) ?? []
    if (best.length === 0) zones.set(vm.place, best)
    insertRanked(best, { vm, score: scoreOf(vm.name) }, limit)
  }
  return zones
}

/**
 * Selects the VMs that serve a service, ranked. The zones contribute VMs in turn, so that most of the subset survives
 * the loss of a zone, and few members change when VMs are added or removed.
 *
 * @param vms all VMs that are not gone, in any order
 *
 * @example
 * chooseSubset(service, vms).map(vm => vm.name) // ['entry-7', 'entry-2', 'entry-5']
 */
export function chooseSubset (service: Service, vms: readonly VM[]): readonly VM[] {
  const size = service.subsetSize ?? defaultSubsetSize(service)
  const groups = rankByZone(service.name, vms, size)
  const zones = [...groups.keys()].sort((a, b) =>
    rendezvousScore(service.name, b) - rendezvousScore(service.name, a) || (a < b ? -1 : 1))
  const ranked = zones.map(zone => groups.get(zone) ?? [])
  const subset: VM[] = []
  for (let turn = 0; subset.length < size && ranked.some(group => group.length > turn); turn++) {
    for (const group of ranked) {
      const next = group[turn]
      if (next !== undefined && subset.length < size) subset.push(next.vm)
    }
  }
  return subset
}
