/** Roster of the fleet: the VMs known to this VM, their links and their reported status. */
import type { Log } from '../log/index.js'
import type { Clock, Peer, Place, VM } from '../model/index.js'
import type { LinkMesh } from '../peer/index.js'
import { packStatus, statusChannel, unpackStatus, type Status } from './messages.js'
import { selectServing, sortByRank, type Demand, type ServingCandidate } from './serving-vms.js'
import { selectLinks, type LinkCandidate } from './wanted-links.js'
import { createZoneDemand, type ZoneDemand } from './zone-demand.js'

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
  /** Processor time that the callers of all zones may need, in cores; the measured demand can be higher. */
  readonly expectedCores: () => number
  readonly status: (now: number) => Status
  /** Called with each status that a peer sends. */
  readonly onStatus: (from: Peer, status: Status, now: number) => void
  readonly log: Log
  readonly clock: Clock
}

/** A candidate with its reported use. */
interface MeasuredCandidate extends ServingCandidate {
  readonly usedCores: number
}

/** A VM to which no link opens for this time is replaced by the next one in rank, in ms. */
const UNREACHABLE_AFTER_MS = 1500

/**
 * Creates a roster that contains only this VM.
 *
 * @example
 * const roster = createRoster({ self, mesh, expectedCores: () => 3, status, onStatus, log, clock })
 * roster.add(vms)
 * roster.serving(clock()).map(({ callers }) => callers.address)
 */
export function createRoster (options: RosterOptions): Roster {
  const { self, mesh, clock } = options
  const known = new Map<string, VM>([[self.name, self]])
  const linked = new Map<string, LinkedVM>()
  const demands = new Map<Place, ZoneDemand>()
  /** Names of the VMs that were last selected to serve each zone. */
  const selected = new Map<Place, ReadonlySet<string>>()

  const handleStatus = (from: Peer, status: Status, now: number): void => {
    const entry = linked.get(from.vm)
    if (entry === undefined) return
    if (entry.status?.phase !== status.phase) options.log.info('vm.phase', { peer: from.vm, phase: status.phase })
    const vm = { ...entry.vm, cores: status.cores }
    known.set(vm.name, vm)
    linked.set(from.vm, { vm, status, receivedAt: now })
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
      // The handshake does not state the capacity, but the list of VMs may have done so.
      const linkedVM = { ...known.get(vm.name), ...vm }
      known.set(vm.name, linkedVM)
      linked.set(from.vm, { vm: linkedVM, status: undefined, receivedAt: -Infinity })
    },
    closed: from => linked.delete(from.vm)
  })

  const isAlive = (place: Place) => ({ vm, status }: LinkedVM): boolean => vm.place === place && status?.phase !== 'leaving'

  const candidates = (now: number): readonly MeasuredCandidate[] => {
    const own = options.status(now)
    const others = [...linked.values()].flatMap(({ vm, status, receivedAt }) =>
      status?.phase === 'ready' ? [{ vm, readyMs: status.readyMs + now - receivedAt, usedCores: status.usedCores }] : [])
    return own.phase === 'ready' ? [{ vm: self, readyMs: own.readyMs, usedCores: own.usedCores }, ...others] : others
  }

  const places = (): readonly Place[] => [...new Set([...known.values()].map(({ place }) => place))]

  const demandOf = (zone: Place, now: number): Demand =>
    ({ measuredCores: demands.get(zone)?.peakCores(now) ?? 0, expectedCores: options.expectedCores() / places().length })

  /** Selects the serving VMs of a zone, and records what those that were selected before use. */
  const selectInZone = (zone: Place, zoneCandidates: readonly MeasuredCandidate[], now: number): readonly VM[] => {
    const demand = demands.get(zone) ?? createZoneDemand()
    demands.set(zone, demand)
    const previous = selected.get(zone) ?? new Set()
    demand.record(zoneCandidates.reduce((sum, { vm, usedCores }) => previous.has(vm.name) ? sum + usedCores : sum, 0), now)
    const serving = selectServing(zoneCandidates, demandOf(zone, now))
    selected.set(zone, new Set(serving.map(({ name }) => name)))
    return serving
  }

  const serving = (now: number): readonly VM[] => {
    const all = candidates(now)
    const zoneCandidates = all.filter(({ vm }) => vm.place === self.place)
    return selectInZone(self.place, zoneCandidates.length > 0 ? zoneCandidates : all, now)
  }

  const servingInOtherZones = (now: number): readonly VM[] => {
    const otherZoneCandidates = candidates(now).filter(({ vm }) => vm.place !== self.place)
    const zones = new Set(otherZoneCandidates.map(({ vm }) => vm.place))
    return [...zones].flatMap(zone => selectInZone(zone, otherZoneCandidates.filter(({ vm }) => vm.place === zone), now))
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

  const linksInZone = (zone: Place, now: number): readonly VM[] => {
    // Without a status, a VM is assumed to have started together with this one, as it has when a whole zone starts.
    const { readyMs: assumedReadyMs, phase } = options.status(now)
    const zoneVMs = [...known.values()].filter(({ name, place }) => place === zone && name !== self.name)
    const others = zoneVMs.map((vm): LinkCandidate => {
      const status = linked.get(vm.name)?.status
      return { vm, readyMs: status?.readyMs ?? assumedReadyMs, isAvailable: status?.phase !== 'leaving' && isReachable(vm.name, now) }
    })
    const own: readonly LinkCandidate[] = zone === self.place ? [{ vm: self, readyMs: assumedReadyMs, isAvailable: phase !== 'leaving' }] : []
    return selectLinks([...own, ...others], demandOf(zone, now)).filter(vm => vm !== self)
  }

  return {
    // A known VM gets only the capacity from the list, which may be older than the link to it.
    add: vms => { for (const vm of vms) known.set(vm.name, { ...vm, ...known.get(vm.name) }) },
    known: () => [...known.values()],
    linked: () => [...linked.values()],
    linksWanted: now => {
      const zoneVMs = linksInZone(self.place, now)
      if (!isServing(now)) return zoneVMs
      const otherZones = places().filter(place => place !== self.place)
      return [...zoneVMs, ...otherZones.flatMap(zone => linksInZone(zone, now))]
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
