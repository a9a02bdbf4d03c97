/** Roster of the fleet: the VMs known to this VM, their links and their reported status. */
import type { Log } from '../log/index.js'
import type { Clock, Peer, Place, VM } from '../model/index.js'
import type { LinkMesh } from '../peer/index.js'
import { packStatus, statusChannel, unpackStatus, type Status } from './messages.js'
import { selectServing, sortByRank, type ServingCandidate } from './serving-vms.js'

/** A VM with an open link. */
export interface LinkedVM {
  readonly vm: VM
  /** Its latest status; undefined until one was received. */
  readonly status: Status | undefined
  /** When the status was received, in ms on this VM's clock. */
  readonly receivedAt: number
}

/** The VMs of the fleet. */
export interface Roster {
  /** Adds VMs that the store or a peer listed; those already known stay unchanged. */
  readonly add: (vms: readonly VM[]) => void
  readonly known: () => readonly VM[]
  readonly linked: () => readonly LinkedVM[]
  /** VMs to keep links to: the first reachable ones of this VM's zone, and of the other zones too if this VM serves. */
  readonly linksWanted: (now: number) => readonly VM[]
  /** VMs that callers in this VM's zone should use; VMs of other zones if the zone has none. */
  readonly serving: (now: number) => readonly VM[]
  readonly isServing: (now: number) => boolean
  /** Linked VMs of other zones that serve. */
  readonly servingInOtherZones: (now: number) => readonly VM[]
  /** Position of this VM among the live VMs of its zone; 0 is the first. */
  readonly rank: () => number
  /** Whether a VM ranks before this one. */
  readonly precedes: (vm: VM) => boolean
  /** Sends the status of this VM to all linked VMs. */
  readonly announce: (now: number) => void
}

/** Settings and dependencies of a roster. */
export interface RosterOptions {
  readonly self: VM
  readonly mesh: LinkMesh
  /** Number of VMs that serve the callers of a zone. */
  readonly servingPerZone: number
  readonly status: (now: number) => Status
  /** Called with each status that a peer sends. */
  readonly onStatus: (from: Peer, status: Status, now: number) => void
  readonly log: Log
  readonly clock: Clock
}

/** Links per zone in addition to those to its serving VMs. */
const EXTRA_LINKS = 1
/** A VM to which no link opens for this time is replaced by the next one in rank, in ms. */
const UNREACHABLE_AFTER_MS = 1500

/**
 * Creates a roster that contains only this VM.
 *
 * @example
 * const roster = createRoster({ self, mesh, servingPerZone: 3, status, onStatus, log, clock })
 * roster.add(vms)
 * roster.serving(clock()).map(({ callers }) => callers.address)
 */
export function createRoster (options: RosterOptions): Roster {
  const { self, mesh, servingPerZone, clock } = options
  const known = new Map<string, VM>([[self.name, self]])
  const linked = new Map<string, LinkedVM>()

  const handleStatus = (from: Peer, status: Status, now: number): void => {
    const entry = linked.get(from.vm)
    if (entry === undefined) return
    if (entry.status?.phase !== status.phase) options.log.info('vm.phase', { peer: from.vm, phase: status.phase })
    linked.set(from.vm, { ...entry, status, receivedAt: now })
    options.onStatus(from, status, now)
  }

  const announce = (now: number): void => {
    const body = packStatus(options.status(now))
    for (const { vm } of mesh.contacts()) mesh.send(vm, statusChannel, body)
  }

  mesh.attach({
    channel: statusChannel,
    write: (_vm, now) => packStatus(options.status(now)),
    read: (from, packed, _writtenAt, now) => handleStatus(from, unpackStatus(packed), now)
  })
  mesh.subscribe(statusChannel, (from, packed) => handleStatus(from, unpackStatus(packed), clock()))
  mesh.observe({
    opened: (from, vm) => {
      known.set(vm.name, vm)
      linked.set(from.vm, { vm, status: undefined, receivedAt: -Infinity })
    },
    closed: from => linked.delete(from.vm)
  })

  const isAlive = (place: Place) => ({ vm, status }: LinkedVM): boolean => vm.place === place && status?.phase !== 'leaving'

  const candidates = (now: number): readonly ServingCandidate[] => {
    const own = options.status(now)
    const others = [...linked.values()].flatMap(({ vm, status, receivedAt }) =>
      status?.phase === 'ready' ? [{ vm, readyMs: status.readyMs + now - receivedAt }] : [])
    return own.phase === 'ready' ? [{ vm: self, readyMs: own.readyMs }, ...others] : others
  }

  const serving = (now: number): readonly VM[] => {
    const all = candidates(now)
    const zoneCandidates = all.filter(({ vm }) => vm.place === self.place)
    return selectServing(zoneCandidates.length > 0 ? zoneCandidates : all, servingPerZone)
  }

  const servingInOtherZones = (now: number): readonly VM[] => {
    const otherZoneCandidates = candidates(now).filter(({ vm }) => vm.place !== self.place)
    const zones = new Set(otherZoneCandidates.map(({ vm }) => vm.place))
    return [...zones].flatMap(zone => selectServing(otherZoneCandidates.filter(({ vm }) => vm.place === zone), servingPerZone))
  }

  const isServing = (now: number): boolean => serving(now).some(({ name }) => name === self.name)

  /** When each VM was first found without an open link although one is wanted, in ms on this VM's clock. */
  const unlinkedSince = new Map<string, number>()

  const isReachable = (name: string, now: number): boolean => {
    if (linked.has(name)) {
      unlinkedSince.delete(name)
      return true
    }
    const since = unlinkedSince.get(name) ?? now
    unlinkedSince.set(name, since)
    return now - since <= UNREACHABLE_AFTER_MS
  }

  /** The first VMs of a zone by rank, with one more for each that is unreachable. */
  const firstInZone = (zone: Place, now: number): readonly VM[] => {
    const chosen: VM[] = []
    let count = 0
    for (const vm of sortByRank([...known.values()].filter(({ name, place }) => place === zone && name !== self.name))) {
      if (count >= servingPerZone + EXTRA_LINKS) break
      chosen.push(vm)
      if (isReachable(vm.name, now)) count++
    }
    return chosen
  }

  const otherZones = (): readonly Place[] =>
    [...new Set([...known.values()].map(({ place }) => place))].filter(place => place !== self.place)

  return {
    add: vms => { for (const vm of vms) if (!known.has(vm.name)) known.set(vm.name, vm) },
    known: () => [...known.values()],
    linked: () => [...linked.values()],
    linksWanted: now => {
      const zoneVMs = firstInZone(self.place, now)
      return isServing(now) ? [...zoneVMs, ...otherZones().flatMap(zone => firstInZone(zone, now))] : zoneVMs
    },
    serving,
    isServing,
    servingInOtherZones,
    rank: () => {
      const alive = [...linked.values()].filter(isAlive(self.place)).map(({ vm }) => vm)
      return sortByRank([self, ...alive]).findIndex(({ name }) => name === self.name)
    },
    precedes: vm => sortByRank([vm, self])[0] === vm,
    announce
  }
}
