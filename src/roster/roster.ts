/** Roster of the fleet: the VMs known to this VM, their links and their reported status. */
import type { Log } from '../log/index.js'
import type { Clock, Peer, Place, VM } from '../model/index.js'
import type { LinkMesh } from '../peer/index.js'
import { packStatus, statusChannel, unpackStatus, type Status } from './messages.js'
import { createReachability } from './reachability.js'
import { selectServing, sortByRank, type Demand } from './serving-vms.js'
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
  /** Adds VMs that the store or a peer listed; of those already known, only a missing capacity is taken. Returns those that were not known. */
  readonly add: (vms: readonly VM[]) => readonly VM[]
  readonly known: () => readonly VM[]
  readonly linked: () => readonly LinkedVM[]
  /** VMs to keep links to: the serving ones of this VM's zone and the next in rank, and those of the other zones too if this VM is selected to serve. */
  readonly linksWanted: (now: number) => readonly VM[]
  /** VMs that callers in this VM's zone should use; VMs of other zones if the zone has none. */
  readonly serving: (now: number) => readonly VM[]
  readonly isServing: (now: number) => boolean
  /** Number of VMs that were last selected to serve this VM's zone, whether or not they are ready. */
  readonly selectedCount: () => number
  /** Demand of the callers of this VM's zone, on which the selection of the serving VMs is based. */
  readonly demand: (now: number) => Demand
  /** Linked VMs of other zones that serve. */
  readonly servingInOtherZones: (now: number) => readonly VM[]
  /** Position of this VM among the live VMs of its zone; 0 is the first. */
  readonly rank: () => number
  /** Position of this VM among all VMs of its zone on the list, with those that are gone; undefined before there is a list. */
  readonly listedRank: () => number | undefined
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

/** A VM of the roster with what its status says about it. */
interface RosterCandidate extends LinkCandidate {
  readonly usedCores: number
  readonly isReady: boolean
}

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
  const createdAt = clock()
  let isListed = false
  const reachability = createReachability()
  const demands = new Map<Place, ZoneDemand>()
  /** Names of the VMs that were last selected to serve each zone. */
  const selected = new Map<Place, ReadonlySet<string>>()

  const handleStatus = (from: Peer, status: Status, now: number): void => {
    const entry = linked.get(from.vm)
    if (entry === undefined) return
    if (entry.status?.phase !== status.phase) options.log.info('vm.phase', { peer: from.vm, phase: status.phase })
    const vm = entry.vm.cores === status.cores ? entry.vm : { ...entry.vm, cores: status.cores }
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
      reachability.recordLinked(from.vm)
    },
    closed: from => {
      linked.delete(from.vm)
      reachability.recordLost(from.vm)
    }
  })

  const isInZone = ({ place }: VM): boolean => place === self.place
  const isAlive = (place: Place) => ({ vm, status }: LinkedVM): boolean => vm.place === place && status?.phase !== 'leaving'

  const ownCandidate = (now: number): RosterCandidate => {
    const { phase, readyMs, usedCores } = options.status(now)
    return { vm: self, readyMs, usedCores, isReady: phase === 'ready', isAvailable: phase !== 'leaving' }
  }

  const candidateOf = (vm: VM, now: number): RosterCandidate => {
    const { status, receivedAt = now } = linked.get(vm.name) ?? {}
    if (status !== undefined) {
      const readyMs = status.readyMs + now - receivedAt
      return { vm, readyMs, usedCores: status.usedCores, isReady: status.phase === 'ready', isAvailable: status.phase !== 'leaving' }
    }
    // Without a status, a VM is assumed to have started together with this one, as it has when a whole zone starts.
    return { vm, readyMs: now - createdAt, usedCores: 0, isReady: false, isAvailable: reachability.isReachable(vm.name, now) }
  }

  const candidatesIn = (zone: Place, now: number): readonly RosterCandidate[] =>
    [...known.values()].filter(({ place }) => place === zone).map(vm => vm.name === self.name ? ownCandidate(now) : candidateOf(vm, now))

  const places = (): readonly Place[] => [...new Set([...known.values()].map(({ place }) => place))]
  const otherPlaces = (): readonly Place[] => places().filter(place => place !== self.place)

  const demandOf = (zone: Place, now: number): Demand =>
    ({ measuredCores: demands.get(zone)?.peakCores(now) ?? 0, expectedCores: options.expectedCores() / places().length })

  /** Records what the VMs that were selected before use. */
  const recordDemand = (zone: Place, candidates: readonly RosterCandidate[], now: number): void => {
    const demand = demands.get(zone) ?? createZoneDemand()
    demands.set(zone, demand)
    const previous = selected.get(zone) ?? new Set()
    demand.record(candidates.reduce((sum, { vm, usedCores }) => previous.has(vm.name) ? sum + usedCores : sum, 0), now)
  }

  /** The ready ones of the VMs that should serve a zone. Selected among all VMs, so that VMs with other links select the same. */
  const servingIn = (zone: Place, now: number): readonly VM[] => {
    const candidates = candidatesIn(zone, now)
    recordDemand(zone, candidates, now)
    const demand = demandOf(zone, now)
    const chosen = new Set(selectServing(candidates.filter(({ isAvailable }) => isAvailable), demand))
    selected.set(zone, new Set([...chosen].map(({ name }) => name)))
    const ready = candidates.filter(({ isReady }) => isReady)
    const serving = ready.filter(({ vm }) => chosen.has(vm)).map(({ vm }) => vm)
    return serving.length > 0 ? sortByRank(serving) : selectServing(ready, demand)
  }

  const servingInOtherZones = (now: number): readonly VM[] => otherPlaces().flatMap(zone => servingIn(zone, now))

  const serving = (now: number): readonly VM[] => {
    const local = servingIn(self.place, now)
    return local.length > 0 ? local : servingInOtherZones(now)
  }

  const isServing = (now: number): boolean => serving(now).some(({ name }) => name === self.name)

  const linksInZone = (zone: Place, now: number): readonly VM[] => selectLinks(candidatesIn(zone, now), demandOf(zone, now))

  const linksWanted = (now: number): readonly VM[] => {
    // A VM that serves only until the selected ones are ready keeps no links to other zones.
    servingIn(self.place, now)
    const isSelected = selected.get(self.place)?.has(self.name) ?? false
    const zones = isSelected ? places() : [self.place]
    const wanted = zones.flatMap(zone => linksInZone(zone, now)).filter(({ name }) => name !== self.name)
    reachability.setWanted(wanted.map(({ name }) => name).filter(name => !linked.has(name)), now)
    return wanted
  }

  return {
    // A known VM gets only the capacity from the list, which may be older than the link to it.
    add: vms => {
      isListed = true
      const added = vms.filter(({ name }) => !known.has(name))
      for (const vm of vms) known.set(vm.name, { ...vm, ...known.get(vm.name) })
      return added
    },
    known: () => [...known.values()],
    linked: () => [...linked.values()],
    linksWanted,
    demand: now => demandOf(self.place, now),
    serving,
    isServing,
    selectedCount: () => selected.get(self.place)?.size ?? 0,
    servingInOtherZones,
    rank: () => {
      const alive = [...linked.values()].filter(isAlive(self.place)).map(({ vm }) => vm)
      return sortByRank([self, ...alive]).findIndex(({ name }) => name === self.name)
    },
    listedRank: () => isListed ? sortByRank([...known.values()].filter(isInZone)).findIndex(({ name }) => name === self.name) : undefined,
    precedes: vm => sortByRank([vm, self])[0] === vm,
    announce
  }
}
