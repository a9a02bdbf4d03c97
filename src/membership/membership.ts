/** Membership: the VMs of the fleet, and those with which this VM has contact. */
import { Effect } from 'effect'
import type { Log } from '../log/index.js'
import type { Channel, Clock, ListedVM, Member, Peer, Platform, VM } from '../model/index.js'
import { packVM, type LinkMesh } from '../peer/index.js'
import { createMemberTable, isInContact, isFleetMember, stateOf, type Entry } from './member-table.js'
import { createSubscriptions } from './subscriptions.js'
import { livenessChannel, leavingChannel, vmListChannel, rosterChannel, selectionChannel } from './messages.js'
import { createRosters } from './rosters.js'
import { neighbours } from './topology.js'
import { createVMList } from './vm-list.js'

/** Interval between ticks. */
const TICK_INTERVAL_MS = 250

/** Up to this number of other VMs, their liveness takes fewer bytes than the rest of a heartbeat, so excluding some saves little. */
const FULL_CONTACTS_UP_TO = 64

const NO_ADDRESSES: ReadonlySet<string> = new Set()

/** The members of the fleet in the view of this VM. */
export interface Membership {
  /** All VMs known to this VM, itself included. */
  readonly members: (now: number) => readonly Member[]
  /** VMs to keep links to: neighbours in the sparse graph, and VMs that share a subset with this VM. */
  readonly linksWanted: (now: number) => readonly VM[]
  /** Whether this VM has contact, directly or through peers, with a strict majority of the fleet, itself included. */
  readonly hasMajorityContact: (now: number) => boolean
  /** Number of VMs of which a majority is needed, this VM included. */
  readonly fleetSize: (now: number) => number
  /** Whether the named VMs and this one are a strict majority of the fleet. */
  readonly isMajority: (names: ReadonlySet<string>, now: number) => boolean
  /** Number of other VMs of the fleet that are in contact and were alive at `since` or later. */
  readonly contactCount: (now: number, since: number) => number
  /**
   * Number of those VMs that are established, see `markEstablished`. Without `since`, every contact counts.
   */
  readonly establishedContactCount: (now: number, since?: number) => number
  /** Reports to peers from now on that this VM knows what was decided and announced before it started. */
  readonly markEstablished: () => void
  /** Whether a peer is the latest known incarnation of its VM, or a newer one. */
  readonly isCurrent: (peer: Peer) => boolean
  /** IP addresses of the VMs that the platform's list shows as leaving, or showed as leaving in the last 10 s. */
  readonly leavingAddresses: (now: number) => ReadonlySet<string>
  /** Announces that this VM is leaving. */
  readonly leave: () => void
  /** Performs the work that is due; `start` calls it every 250 ms. */
  readonly tick: (now: number) => void
  /** Runs until interrupted. */
  readonly start: () => Effect.Effect<never>
}

/** Settings of a membership. */
export interface MembershipOptions {
  readonly self: VM
  readonly incarnation: string
  readonly mesh: LinkMesh
  /** VMs from the settings, for joining the fleet while the platform is unavailable. */
  readonly seeds: readonly VM[]
  readonly listVMs: Platform['listVMs']
  /**
   * IP addresses of the targets; the same set object until they change. A listed VM with such an
   * address is not a VM of the fleet, unless a peer reported it or it is a seed. Default: none.
   */
  readonly targetAddresses?: () => ReadonlySet<string>
  /** Names of the VMs that share a subset with this VM. */
  readonly subsetPeers: () => readonly string[]
  /** Up to this number of other VMs, each peer reports all of them in each heartbeat. Default: 64. */
  readonly fullContactsUpTo?: number
  readonly log: Log
  readonly clock: Clock
  /** Returns numbers from 0 to below 1, for jitter. Default: `Math.random`. */
  readonly random?: () => number
}

/**
 * Creates the membership. It contains the seeds at once, and learns of other VMs
 * from the platform's list and from peers.
 *
 * @example
 * const membership = createMembership({ self, incarnation, mesh, seeds, listVMs, subsetPeers, log, clock })
 * membership.members(clock()).filter(member => member.state !== 'gone')
 */
export function createMembership (options: MembershipOptions): Membership {
  const { self, incarnation, mesh, log, clock } = options
  const table = createMemberTable(self.name)
  let isLeaving = false
  let isEstablished = false
  const rosters = createRosters(table, createSubscriptions(table, options.fullContactsUpTo ?? FULL_CONTACTS_UP_TO), () => ({
    entry: [packVM(self), incarnation, isLeaving ? 1 : 0],
    isEstablished
  }))

  const broadcast = <Body>(channel: Channel<Body>, body: Body, except?: string): void => {
    for (const { vm } of mesh.contacts()) if (vm !== except) mesh.send(vm, channel, body)
  }
  const seedNames = new Set(options.seeds.map(({ name }) => name))
  const targetAddresses = options.targetAddresses ?? (() => NO_ADDRESSES)
  /** Target addresses when the list was last applied. Not read earlier: the replica that holds the targets is created after the membership. */
  let lastTargetAddresses = NO_ADDRESSES
  const isFleetVM = ({ vm }: ListedVM): boolean => {
    const isTarget = lastTargetAddresses.has(vm.callers.address) || lastTargetAddresses.has(vm.peers.address)
    return !isTarget || seedNames.has(vm.name) || table.get(vm.name)?.incarnation !== undefined
  }
  const applyList = (vms: readonly ListedVM[], now: number): void => {
    lastTargetAddresses = targetAddresses()
    table.applyList(vms.filter(isFleetVM), now)
  }
  const list = createVMList({
    self: self.name,
    listVMs: options.listVMs,
    updated: (vms, isChanged, now) => {
      applyList(vms, now)
      const body = isChanged ? list.pack(now) : undefined
      if (body !== undefined) broadcast(vmListChannel, body)
    },
    clock,
    random: options.random ?? Math.random,
    log
  })
  const countMembers = (now: number, isCounted: (entry: Entry) => boolean): number => {
    let count = 0
    for (const entry of table.entries()) if (isCounted(entry) && isFleetMember(entry, now, list.readAt())) count++
    return count
  }
  const fleetSize = (now: number): number => 1 + countMembers(now, () => true)
  const contactCount = (now: number, since: number): number =>
    countMembers(now, entry => isInContact(entry, now) && entry.lastAliveAt >= since)

  mesh.observe({
    opened: (from, vm) => {
      const now = clock()
      table.merge(vm, from.incarnation, false, now)
      rosters.reset(from.vm)
      const body = list.pack(now)
      if (body !== undefined) mesh.send(from.vm, vmListChannel, body)
    },
    closed: from => rosters.removePeer(from.vm)
  })
  mesh.subscribe(rosterChannel, (from, body) => {
    // The peer resends its roster on the next link; until then its reports are not used.
    if (!rosters.receive(from, body, clock())) log.info('roster.out-of-order', { peer: from.vm })
  })
  mesh.subscribe(selectionChannel, (from, body) => {
    // The selection refers to an earlier roster; the peer selects again for the current one.
    if (!rosters.applySelection(from.vm, body)) log.info('contacts.selection-outdated', { peer: from.vm })
  })
  mesh.subscribe(leavingChannel, (from, body) => {
    const [name, leavingIncarnation] = body
    if (!table.markLeaving(name, leavingIncarnation)) return
    log.info('vm.leaving', { peer: name })
    broadcast(leavingChannel, body, from.vm)
  })
  mesh.subscribe(vmListChannel, (_from, body) => { list.receive(body, clock()) })
  mesh.attach({
    channel: livenessChannel,
    write: (vm, now) => {
      for (const body of rosters.pending(vm, now)) mesh.send(vm, rosterChannel, body)
      return rosters.write(vm, now)
    },
    read: (from, body, writtenAt, now) => {
      // Before the first echo, the age of the heartbeat itself is unknown.
      if (writtenAt === undefined) return
      for (const [member, liveness] of rosters.read(from, body, now - writtenAt)) {
        if (member.incarnation === undefined || liveness.ageMs === Infinity) continue
        table.recordAlive(member.name, member.incarnation, writtenAt - liveness.ageMs, liveness.isEstablished)
      }
    }
  })
  for (const vm of options.seeds) table.merge(vm, undefined, false, clock())

  const namesOf = (entries: readonly Entry[]): readonly string[] => [self.name, ...entries.map(({ vm }) => vm.name)]
  const members = (now: number): readonly Member[] => [
    { vm: self, state: isLeaving ? 'leaving' : 'live', incarnation },
    ...[...table.entries()].map(entry => ({ vm: entry.vm, state: stateOf(entry, now), incarnation: entry.incarnation }))
  ]
  const liveNames = function * (now: number): Iterable<string> {
    if (!isLeaving) yield self.name
    for (const entry of table.entries()) if (stateOf(entry, now) === 'live') yield entry.vm.name
  }
  const tick = (now: number): void => {
    list.poll(fleetSize(now), () => liveNames(now), now)
    if (targetAddresses() !== lastTargetAddresses) applyList(list.current(), now)
    table.evict(now, list.readAt())
    for (const [peer, body] of rosters.updateSelections(now)) mesh.send(peer, selectionChannel, body)
  }

  return {
    members,
    linksWanted: now => {
      const entries = [...table.entries()]
      const presentNames = namesOf(entries.filter(entry => stateOf(entry, now) !== 'gone'))
      // VMs on the other side of a long partition count as gone, and both sides have to dial them to reconnect.
      const fleetNames = namesOf(entries.filter(entry => isFleetMember(entry, now, list.readAt())))
      const chosen = new Map<string, VM>()
      for (const name of [...neighbours(self.name, presentNames), ...neighbours(self.name, fleetNames), ...options.subsetPeers()]) {
        const entry = table.get(name)
        if (entry !== undefined) chosen.set(name, entry.vm)
      }
      // Without any link, the VM can rejoin the fleet only through the seeds.
      if (mesh.contacts().length === 0) for (const vm of options.seeds) if (!chosen.has(vm.name)) chosen.set(vm.name, vm)
      chosen.delete(self.name)
      return [...chosen.values()]
    },
    hasMajorityContact: now => 2 * (1 + contactCount(now, -Infinity)) > fleetSize(now),
    fleetSize,
    isMajority: (names, now) => 2 * (1 + countMembers(now, ({ vm }) => names.has(vm.name))) > fleetSize(now),
    contactCount,
    establishedContactCount: (now, since = -Infinity) =>
      countMembers(now, entry => entry.isEstablished && isInContact(entry, now) && entry.lastAliveAt >= since),
    markEstablished: () => { isEstablished = true },
    isCurrent: ({ vm, incarnation: sender }) => {
      const latest = table.get(vm)?.incarnation
      return latest === undefined || sender >= latest
    },
    leavingAddresses: list.leavingAddresses,
    leave: () => {
      isLeaving = true
      log.info('vm.leaving', { peer: self.name })
      broadcast(leavingChannel, [self.name, incarnation])
    },
    tick,
    start: () => Effect.gen(function * () {
      for (;;) {
        tick(clock())
        yield * Effect.sleep(TICK_INTERVAL_MS)
      }
    })
  }
}
