/** Memory, bytes and processor time of the membership by the number of VMs that a VM knows. */
import { Effect } from 'effect'
import { createMembership, neighbours, rankVMs, type Membership } from '../../src/membership/index.js'
import type { Contact, Member, VM } from '../../src/model/index.js'
import { encode } from '../../src/peer/codec.js'
import { applyChange, createSelection, encodeChange, FULL_SELECTION, forEachSelected } from '../../src/membership/selection.js'
import { packVM, type Attachment, type LinkMesh, type LinkObserver } from '../../src/peer/index.js'
import { createSubsets } from '../../src/routing/index.js'
import { silentLog } from '../fleet/fleet.js'
import type { Figure, Measurement } from './measurement.js'
import { measureHeap, measureTime, timeOnce } from './probe.js'
import { sampleConfiguration, sampleIncarnation, sampleMembers, sampleVMs } from './samples.js'

/** Members of one roster message, as in `src/membership`. */
const ROSTER_CHUNK = 200
const NOW = 1000
/** Until each VM is told of by two peers: 2 s of contact, 3 s until the selection, and a margin. */
const SETTLE_MS = 8000
const TICK_MS = 250
const MS_PER_S = 1000
const HEARTBEAT_MS = 500

/** A mesh whose peers are played by the measurement. */
interface PlayedMesh {
  readonly mesh: LinkMesh
  readonly sentBytes: () => number
  /** What the measured VM wants to be told by a peer; undefined for everything. */
  readonly selectedOf: (peer: string) => Uint8Array | undefined
  /** The peer's heartbeat to the measured VM, with an age of 0 for each VM that it wants to be told of. */
  readonly heartbeatOf: (peer: string, count: number) => Uint8Array
  readonly receive: (kind: string, from: Contact, body: unknown) => void
  readonly observers: readonly LinkObserver[]
  readonly attachments: ReadonlyArray<Attachment<unknown>>
}

function createPlayedMesh (contacts: readonly Contact[]): PlayedMesh {
  const handlers = new Map<string, (from: Contact, body: never) => void>()
  const observers: LinkObserver[] = []
  const attachments: Array<Attachment<unknown>> = []
  const wanted = new Map<string, { readonly number: number, readonly bits: Uint8Array }>()
  let bytes = 0
  return {
    mesh: {
      send: (vm, channel, body) => {
        if (channel.kind === 'wantedContacts') {
          const [, number, change] = body as unknown as readonly [number, number, Uint8Array]
          wanted.set(vm, { number, bits: applyChange(wanted.get(vm)?.bits ?? FULL_SELECTION.bits, change)! })
        }
        bytes += encode([channel.kind, body]).length
        return true
      },
      subscribe: (channel, handler) => { handlers.set(channel.kind, handler) },
      contacts: () => contacts,
      attach: attachment => { attachments.push(attachment as unknown as Attachment<unknown>) },
      observe: observer => { observers.push(observer) }
    },
    sentBytes: () => bytes,
    selectedOf: peer => wanted.get(peer)?.bits,
    heartbeatOf: (peer, count) => {
      const { number, bits } = wanted.get(peer) ?? FULL_SELECTION
      let selected = 0
      forEachSelected(createSelection(number, bits), count, () => { selected++ })
      return Uint8Array.from([0, number, ...new Uint8Array(selected)])
    },
    receive: (kind, from, body) => handlers.get(kind)?.(from, body as never),
    observers,
    attachments
  }
}

interface Known {
  readonly membership: Membership
  readonly played: PlayedMesh
  readonly contacts: readonly Contact[]
}

/** A VM that knows all others and has told and heard their roster on each of its links. */
function createKnown (vms: readonly VM[]): Known {
  const self = vms[0]!
  const byName = new Map(vms.map((vm, i) => [vm.name, { vm, incarnation: sampleIncarnation(i) }]))
  const contacts = neighbours(self.name, [...byName.keys()]).map((name): Contact =>
    ({ vm: name, incarnation: byName.get(name)?.incarnation ?? '', lastEchoAt: NOW, roundTripMs: 1 }))
  const played = createPlayedMesh(contacts)
  const membership = createMembership({
    self,
    incarnation: sampleIncarnation(0),
    mesh: played.mesh,
    seeds: [],
    // The list would add its own memory and messages.
    listVMs: () => Effect.never,
    subsetPeers: () => [],
    log: silentLog,
    clock: () => NOW,
    random: () => 0
  })
  const entries = [...byName.values()].map(({ vm, incarnation }) => [packVM(vm), incarnation, 0])
  for (const contact of contacts) {
    played.observers[0]?.opened?.(contact, byName.get(contact.vm)!.vm)
    for (let i = 0; i < entries.length; i += ROSTER_CHUNK) played.receive('roster', contact, [0, i, entries.slice(i, i + ROSTER_CHUNK)])
  }
  settle({ membership, played, contacts }, entries.length)
  return { membership, played, contacts }
}

/** Plays heartbeats until the selections are stable; each peer selects as the measured VM selects from it. */
function settle ({ membership, played, contacts }: Known, count: number): void {
  const [attachment] = played.attachments
  for (let now = NOW; now <= NOW + SETTLE_MS; now += TICK_MS) {
    membership.tick(now)
    if ((now - NOW) % HEARTBEAT_MS !== 0) continue
    for (const contact of contacts) {
      attachment?.read(contact, played.heartbeatOf(contact.vm, count), now, now)
      attachment?.write(contact.vm, now)
    }
  }
  for (const contact of contacts) {
    const [epoch = 0] = attachment?.write(contact.vm, NOW + SETTLE_MS) as Uint8Array
    const selected = played.selectedOf(contact.vm)
    if (selected !== undefined) played.receive('wantedContacts', contact, [epoch, 1, encodeChange(FULL_SELECTION.bits, selected)])
  }
}

function heartbeatFigures ({ played, contacts, membership }: Known, count: number): readonly Figure[] {
  const [attachment] = played.attachments
  const peer = contacts[0]!
  let at = NOW + SETTLE_MS
  const body = attachment?.write(peer.vm, at)
  const received = played.heartbeatOf(peer.vm, count)
  const allBytes = contacts.reduce((sum, { vm }) => sum + encode(attachment?.write(vm, at)).length, 0)
  return [
    { measure: 'links', unit: 'links', value: contacts.length },
    { measure: 'attachmentBytes', unit: 'B', value: encode(body).length },
    { measure: 'attachmentBytesPerSecond', unit: 'B/s', value: allBytes * MS_PER_S / HEARTBEAT_MS },
    { measure: 'rosterBytes', unit: 'B per link', value: played.sentBytes() / contacts.length },
    { measure: 'listBytes', unit: 'B', value: encode(['listed', [0, sampleVMs(count).map(vm => [packVM(vm), 0])]]).length },
    { measure: 'writeHeartbeat', unit: 'us', value: measureTime(() => attachment?.write(peer.vm, NOW)) },
    // Ages advance with each call, so that every entry is news, as it is in a running fleet.
    { measure: 'readHeartbeat', unit: 'us', value: measureTime(() => attachment?.read(peer, received, ++at, at)) },
    { measure: 'tick', unit: 'us', value: measureTime(() => membership.tick(at)) },
    { measure: 'members', unit: 'us', value: measureTime(() => membership.members(at)) },
    { measure: 'majority', unit: 'us', value: measureTime(() => membership.hasMajorityContact(at)) },
    { measure: 'linksWanted', unit: 'us', value: measureTime(() => membership.linksWanted(at)) }
  ]
}

/** A VM that knows all VMs of the fleet, with the links of the sparse graph. */
export const membershipByVMs: Measurement = {
  name: 'membership',
  by: 'vms',
  sizes: [48, 480, 6900],
  quickSizes: [8, 16, 32],
  run: count => {
    const vms = sampleVMs(count)
    const { bytes, value } = measureHeap(() => createKnown(vms))
    return [{ measure: 'heap', unit: 'B', value: bytes }, ...heartbeatFigures(value, count)]
  }
}

function refreshFigure (members: readonly Member[]): Figure {
  const subsets = createSubsets(() => sampleConfiguration({ services: 0, targets: 0, routes: 0 }))
  subsets.refresh(members)
  return { measure: 'refreshSubsets', unit: 'us', value: measureTime(() => subsets.refresh(members)) }
}

/** Periodic work of a VM on the list of all members, apart from the membership. */
export const periodicByVMs: Measurement = {
  name: 'periodic-work',
  by: 'vms',
  sizes: [48, 480, 6900],
  quickSizes: [8, 16, 32],
  run: count => {
    const members = sampleMembers(count)
    const names = members.map(({ vm }) => vm.name)
    return [
      refreshFigure(members),
      { measure: 'rankHeadPollers', unit: 'us', value: measureTime(() => rankVMs('config/head', names)) }
    ]
  }
}

/** Services for each VM at the expected size: 6,500 of 6,900 VMs. */
const SERVICES_PER_VM = 6500 / 6900
const TARGETS_PER_SERVICE = 23
/** VMs over which the links are averaged. */
const SAMPLED_VMS = 20

/** Links of a VM: the sparse graph and the peers of its subsets, with services in proportion to the VMs. */
export const linksByVMs: Measurement = {
  name: 'links',
  by: 'vms',
  sizes: [48, 480, 6900],
  quickSizes: [16, 32, 48],
  run: count => {
    const services = Math.round(count * SERVICES_PER_VM)
    const configuration = sampleConfiguration({ services, targets: services * TARGETS_PER_SERVICE, routes: 0 })
    const members = sampleMembers(count)
    const names = members.map(({ vm }) => vm.name)
    const subsets = createSubsets(() => configuration)
    subsets.refresh(members)
    const chooseAllUs = timeOnce(() => subsets.peersOf(names[0]!))
    let isGone = false
    const changeOneUs = measureTime(() => {
      isGone = !isGone
      subsets.refresh(isGone ? members.slice(0, -1) : members)
      subsets.peersOf(names[0]!)
    })
    const sampled = names.slice(0, SAMPLED_VMS)
    const mean = (list: readonly number[]): number => list.reduce((sum, value) => sum + value, 0) / list.length
    return [
      { measure: 'graphLinks', unit: 'links', value: mean(sampled.map(name => neighbours(name, names).length)) },
      { measure: 'subsetPeers', unit: 'links', value: mean(sampled.map(name => subsets.peersOf(name).length)) },
      { measure: 'allLinks', unit: 'links', value: mean(sampled.map(name => new Set([...neighbours(name, names), ...subsets.peersOf(name)]).size)) },
      { measure: 'memberships', unit: 'services', value: mean(sampled.map(name => configuration.services.filter(service => subsets.of(service.name).some(vm => vm.name === name)).length)) },
      { measure: 'chooseAllSubsets', unit: 'us', value: chooseAllUs },
      { measure: 'changeOneVM', unit: 'us', value: changeOneUs }
    ]
  }
}
