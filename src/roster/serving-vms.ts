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
/** Processor capacity of a VM that states none, in cores. */
const DEFAULT_CORES = 1
/** Utilisation of the serving VMs up to which no further VM is selected; the rest absorbs bursts and uneven shares. */
const TARGET_UTILISATION = 0.6
/** Number of warm VMs whose capacity is selected at least, so that the loss of one leaves another. */
const MIN_WARM_VMS = 2

/** Position of a VM among those of equal capacity. Does not depend on the other VMs, so a VM that leaves changes no other position. */
function hashOf (vm: VM): number {
  return hashText(`serving\n${vm.name}`)
}

/** Processor capacity of a VM, in cores. */
export function coresOf ({ cores = DEFAULT_CORES }: VM): number {
  return cores
}

interface Ranked {
  readonly vm: VM
  /** Processor capacity in its current state, in cores. */
  readonly cores: number
  readonly hash: number
}

function compareRank (a: Ranked, b: Ranked): number {
  return b.cores - a.cores || a.hash - b.hash || (a.vm.name < b.vm.name ? -1 : 1)
}

/** Sorts VMs by rank: the largest first, then by a hash. */
export function sortByRank (vms: readonly VM[]): readonly VM[] {
  return vms.map(vm => ({ vm, cores: coresOf(vm), hash: hashOf(vm) })).sort(compareRank).map(({ vm }) => vm)
}

function rank ({ vm, readyMs }: ServingCandidate): Ranked {
  const isWarm = readyMs >= WARMUP_MS
  return { vm, cores: coresOf(vm) * (isWarm ? 1 : COLD_CAPACITY), hash: hashOf(vm) }
}

/** Capacity of the first `count` VMs, in cores. Callers spread evenly over the VMs, so the smallest limits it. */
function capacityOf (ranked: readonly Ranked[], count: number): number {
  return count * (ranked[count - 1]?.cores ?? 0)
}

/**
 * Selects the VMs that serve the callers of a zone. They are few, so that each of them observes a large part
 * of the requests to each target, and as many as the demand needs. The selection is the same on every VM with
 * the same candidates. Large and warm VMs come first. Cold VMs count as small ones, so more of them serve, for
 * example after a restart of most VMs.
 *
 * @param demandCores processor time that the callers of the zone need, in cores
 * @returns the VMs in the order of their rank; those with the largest capacity if none meets the demand
 *
 * @example
 * selectServing(candidates, 0.9).map(({ name }) => name)
 */
export function selectServing (candidates: readonly ServingCandidate[], demandCores: number): readonly VM[] {
  const ranked = candidates.map(rank).sort(compareRank)
  const smallestCores = Math.min(...candidates.map(({ vm }) => coresOf(vm)))
  const neededCores = Math.max(demandCores / TARGET_UTILISATION, MIN_WARM_VMS * smallestCores)
  let count = Math.min(MIN_WARM_VMS, ranked.length)
  for (let next = count; next <= ranked.length && capacityOf(ranked, count) < neededCores; next++) {
    if (capacityOf(ranked, next) > capacityOf(ranked, count)) count = next
  }
  return ranked.slice(0, count).map(({ vm }) => vm)
}
