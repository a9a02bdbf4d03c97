/** The VMs of the fleet as this VM knows them, and what they say of themselves. */
import type { Log } from '../log/index.js'
import type { Clock, Peer, Place, VM } from '../model/index.js'
import type { LinkMesh } from '../peer/index.js'
import { packStatus, statusChannel, unpackStatus, type Status } from './messages.js'
import { chooseServing, inRank, type Candidate } from './serving.js'

/** A VM with an open link. */
export interface LinkedVM {
  readonly vm: VM
  /** Its last word; undefined until it said something. */
  readonly status: Status | undefined
  /** When that was received, in ms on this VM's clock. */
  readonly heardAt: number
}

/** The VMs of the fleet. */
export interface Roster {
  /** Adds VMs that the store or a peer named. */
  readonly learn: (vms: readonly VM[]) => void
  readonly known: () => readonly VM[]
  readonly linked: () => readonly LinkedVM[]
  /** VMs to keep links to: the first ones of the own zone that are alive, and of other zones if this VM serves. */
  readonly linksWanted: (now: number) => readonly VM[]
  /** VMs that callers of this VM's zone should use; VMs of other zones when there is none. */
  readonly serving: (now: number) => readonly VM[]
  readonly isServing: (now: number) => boolean
  /** VMs of other zones that serve, as far as they are linked. */
  readonly servingElsewhere: (now: number) => readonly VM[]
  /** Position of this VM among the VMs of its zone that are alive; 0 is the first. */
  readonly rank: () => number
  /** Whether a VM comes before this one in the order of the zone. */
  readonly precedes: (vm: VM) => boolean
  /** Tells all linked VMs of the own status now. */
  readonly announce: (now: number) => void
}

/** Settings of a roster. */
export interface RosterOptions {
  readonly self: VM
  readonly mesh: LinkMesh
  /** VMs of a zone that callers are told to use. */
  readonly servingPerZone: number
  readonly status: (now: number) => Status
  /** Called with each status that a peer sent. */
  readonly heard: (from: Peer, status: Status, now: number) => void
  readonly log: Log
  readonly clock: Clock
}

/** VMs of a zone that are dialled beyond those that serve. */
const SPARE_LINKS = 1
/** A VM that was dialled for this time in vain is replaced by the next one, in ms. */
const ABSENT_MS = 1500

/**
 * Creates a roster that knows this VM only.
 *
 * @example
 * const roster = createRoster({ self, mesh, servingPerZone: 3, status, heard, log, clock })
 * roster.learn(vms)
 * roster.serving(clock()).map(({ callers }) => callers.address)
 */
export function createRoster (options: RosterOptions): Roster {
  const { self, mesh, servingPerZone, clock } = options
  const known = new Map<string, VM>([[self.name, self]])
  const linked = new Map<string, LinkedVM>()

  const hear = (from: Peer, status: Status, now: number): void => {
    const entry = linked.get(from.vm)
    if (entry === undefined) return
    if (entry.status?.phase !== status.phase) options.log.info('vm.phase', { peer: from.vm, phase: status.phase })
    linked.set(from.vm, { ...entry, status, heardAt: now })
    options.heard(from, status, now)
  }

  const announce = (now: number): void => {
    const body = packStatus(options.status(now))
    for (const { vm } of mesh.contacts()) mesh.send(vm, statusChannel, body)
  }

  mesh.attach({
    channel: statusChannel,
    write: (_vm, now) => packStatus(options.status(now)),
    read: (from, packed, _writtenAt, now) => hear(from, unpackStatus(packed), now)
  })
  mesh.subscribe(statusChannel, (from, packed) => hear(from, unpackStatus(packed), clock()))
  mesh.observe({
    opened: (from, vm) => {
      known.set(vm.name, vm)
      linked.set(from.vm, { vm, status: undefined, heardAt: -Infinity })
    },
    closed: from => linked.delete(from.vm)
  })

  const isAlive = (place: Place) => ({ vm, status }: LinkedVM): boolean => vm.place === place && status?.phase !== 'leaving'

  const candidates = (now: number): readonly Candidate[] => {
    const own = options.status(now)
    const others = [...linked.values()].flatMap(({ vm, status, heardAt }) =>
      status?.phase === 'ready' ? [{ vm, readyMs: status.readyMs + now - heardAt }] : [])
    return own.phase === 'ready' ? [{ vm: self, readyMs: own.readyMs }, ...others] : others
  }

  const serving = (now: number): readonly VM[] => {
    const all = candidates(now)
    const near = all.filter(({ vm }) => vm.place === self.place)
    return chooseServing(near.length > 0 ? near : all, servingPerZone)
  }

  const servingElsewhere = (now: number): readonly VM[] => {
    const far = candidates(now).filter(({ vm }) => vm.place !== self.place)
    const zones = new Set(far.map(({ vm }) => vm.place))
    return [...zones].flatMap(zone => chooseServing(far.filter(({ vm }) => vm.place === zone), servingPerZone))
  }

  const isServing = (now: number): boolean => serving(now).some(({ name }) => name === self.name)

  /** Since when VMs were wanted without a link. */
  const absentSince = new Map<string, number>()

  const isHopeful = (name: string, now: number): boolean => {
    if (linked.has(name)) {
      absentSince.delete(name)
      return true
    }
    const since = absentSince.get(name) ?? now
    absentSince.set(name, since)
    return now - since <= ABSENT_MS
  }

  /** The first VMs of a zone, in the place of those that do not answer also the next ones. */
  const firstOf = (zone: Place, now: number): readonly VM[] => {
    const chosen: VM[] = []
    let count = 0
    for (const vm of inRank([...known.values()].filter(({ name, place }) => place === zone && name !== self.name))) {
      if (count >= servingPerZone + SPARE_LINKS) break
      chosen.push(vm)
      if (isHopeful(vm.name, now)) count++
    }
    return chosen
  }

  const farZones = (): readonly Place[] =>
    [...new Set([...known.values()].map(({ place }) => place))].filter(place => place !== self.place)

  return {
    learn: vms => { for (const vm of vms) if (!known.has(vm.name)) known.set(vm.name, vm) },
    known: () => [...known.values()],
    linked: () => [...linked.values()],
    linksWanted: now => {
      const near = firstOf(self.place, now)
      return isServing(now) ? [...near, ...farZones().flatMap(zone => firstOf(zone, now))] : near
    },
    serving,
    isServing,
    servingElsewhere,
    rank: () => {
      const alive = [...linked.values()].filter(isAlive(self.place)).map(({ vm }) => vm)
      return inRank([self, ...alive]).findIndex(({ name }) => name === self.name)
    },
    precedes: vm => inRank([vm, self])[0] === vm,
    announce
  }
}
