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
/** Utilisation of the serving VMs by the measured demand up to which no further VM is selected; the rest absorbs bursts and uneven shares. */
const MAX_MEASURED_UTILISATION = 0.6
/** The same for an expected demand, which is what the targets can run at most. */
const MAX_EXPECTED_UTILISATION = 0.8
/** Number of warm VMs whose capacity is selected at least, so that the loss of one leaves another. */
const MIN_WARM_VMS = 2

/** Processor time that the callers of a zone need, in cores. */
export interface Demand {
  /** What the serving VMs use; they serve it now, so cold VMs count with their present capacity. */
  readonly measuredCores: number
  /** What the callers may come to need; cold VMs count as warm ones, because they will be by then. */
  readonly expectedCores: number
}

const hashes = new WeakMap<VM, number>()

/** Position of a VM among those of equal capacity. Does not depend on the other VMs, so a VM that leaves changes no other position. */
function hashOf (vm: VM): number {
  const known = hashes.get(vm)
  if (known !== undefined) return known
  const hash = hashText(`serving\n${vm.name}`)
  hashes.set(vm, hash)
  return hash
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

/**
 * Smallest number of VMs, in the order of their rank, that carry the demand. Callers spread evenly over the
 * VMs, so the smallest one limits the capacity. If no number is enough, the one with the largest capacity.
 */
function countServing (ranked: readonly Ranked[], neededCores: number, maxCount: number): number {
  let best = { count: 0, capacity: 0 }
  for (const [index, { cores }] of ranked.slice(0, maxCount).entries()) {
    const count = index + 1
    if (count < Math.min(MIN_WARM_VMS, ranked.length)) continue
    if (count * cores >= neededCores) return count
    if (count * cores > best.capacity) best = { count, capacity: count * cores }
  }
  return best.count
}

/**
 * Selects the VMs that serve the callers of a zone. They are few, so that each of them observes a large part
 * of the requests to each target, and as many as the demand needs. The selection is the same on every VM with
 * the same candidates. Large and warm VMs come first. Cold VMs count as small ones, so more of them serve, for
 * example after a restart of most VMs.
 *
 * @returns the VMs in the order of their rank
 *
 * @example
 * selectServing(candidates, { measuredCores: 0.9, expectedCores: 0.5 }).map(({ name }) => name)
 */
export function selectServing (candidates: readonly ServingCandidate[], { measuredCores, expectedCores }: Demand): readonly VM[] {
  const smallestCores = Math.min(...candidates.map(({ vm }) => coresOf(vm)))
  const presentCores = Math.max(measuredCores / MAX_MEASURED_UTILISATION, MIN_WARM_VMS * smallestCores)
  const whenWarm = candidates.map(({ vm }) => rank({ vm, readyMs: Infinity })).sort(compareRank)
  const warmCount = countServing(whenWarm, Math.max(presentCores, expectedCores / MAX_EXPECTED_UTILISATION), whenWarm.length)
  const ranked = candidates.map(rank).sort(compareRank)
  // Cold VMs need help for seconds only, and each further VM costs the others messages.
  const presentCount = countServing(ranked, presentCores, Math.ceil(warmCount / COLD_CAPACITY))
  return ranked.slice(0, Math.max(warmCount, presentCount)).map(({ vm }) => vm)
}
