/** Memory, message bytes and processor time of the membership, by the number of VMs. */
import { Effect } from 'effect'
import { createMembership, neighbours, rankVMs, type Membership } from '../../src/membership/index.js'
import type { Contact, Member, VM } from '../../src/model/index.js'
import { encode } from '../../src/peer/codec.js'
import { applyChange, createSelection, encodeChange, FULL_SELECTION, forEachSelected } from '../../src/membership/selection.js'
import { packVM, type Attachment, type LinkMesh, type LinkObserver } from '../../src/peer/index.js'
import { createSubsets } from '../../src/routing/index.js'
import { silentLog } from '../fleet/fleet.js'
import type { MeasuredValue, Measurement } from './measurement.js'
import { measureHeap, measureTime, timeOnce } from './resource-usage.js'
import { sampleConfiguration, sampleIncarnation, sampleMembers, sampleVMs } from './samples.js'

/** Members per roster message, as in `src/membership`. */
const ROSTER_CHUNK = 200
const NOW = 1000
/** Time until each VM is reported by two peers: 2 s of contact, 3 s until the selection, and a margin. */
const CONVERGENCE_MS = 8000
const TICK_MS = 250
const MS_PER_S = 1000
const HEARTBEAT_MS = 500

/** A mesh whose peers are simulated. */
interface SimulatedMesh {
  readonly mesh: LinkMesh
  readonly sentBytes: () => number
  /** Members that the measured VM selected from a peer's heartbeats; undefined when it selected all of them. */
  readonly selectionFrom: (peer: string) => Uint8Array | undefined
  /** Creates a peer's heartbeat to the measured VM, with an age of 0 for each selected member. */
  readonly heartbeatFrom: (peer: string, count: number) => Uint8Array
  readonly receive: (kind: string, from: Contact, body: unknown) => void
  readonly observers: readonly LinkObserver[]
  readonly attachments: ReadonlyArray<Attachment<unknown>>
}

function createSimulatedMesh (contacts: readonly Contact[]): SimulatedMesh {
  const handlers = new Map<string, (from: Contact, body: never) => void>()
  const observers: LinkObserver[] = []
  const attachments: Array<Attachment<unknown>> = []
  const selections = new Map<string, { readonly number: number, readonly bits: Uint8Array }>()
  let sentBytes = 0
  return {
    mesh: {
      send: (vm, channel, body) => {
        if (channel.kind === 'wantedContacts') {
          const [, number, change] = body as unknown as readonly [number, number, Uint8Array]
          selections.set(vm, { number, bits: applyChange(selections.get(vm)?.bits ?? FULL_SELECTION.bits, change)! })
        }
        sentBytes += encode([channel.kind, body]).length
        return true
      },
      subscribe: (channel, handler) => { handlers.set(channel.kind, handler) },
      contacts: () => contacts,
      attach: attachment => { attachments.push(attachment as unknown as Attachment<unknown>) },
      observe: observer => { observers.push(observer) }
    },
    sentBytes: () => sentBytes,
    selectionFrom: peer => selections.get(peer)?.bits,
    heartbeatFrom: (peer, count) => {
      const { number, bits } = selections.get(peer) ?? FULL_SELECTION
      let selectedCount = 0
      forEachSelected(createSelection(number, bits), count, () => { selectedCount++ })
      return Uint8Array.from([0, number, ...new Uint8Array(selectedCount)])
    },
    receive: (kind, from, body) => handlers.get(kind)?.(from, body as never),
    observers,
    attachments
  }
}

interface ConvergedVM {
  readonly membership: Membership
  readonly simulated: SimulatedMesh
  readonly contacts: readonly Contact[]
}

/** Creates a VM that knows all others and has exchanged the roster on each of its links. */
function createConvergedVM (vms: readonly VM[]): ConvergedVM {
  const self = vms[0]!
  const byName = new Map(vms.map((vm, i) => [vm.name, { vm, incarnation: sampleIncarnation(i) }]))
  const contacts = neighbours(self.name, [...byName.keys()]).map((name): Contact =>
    ({ vm: name, incarnation: byName.get(name)?.incarnation ?? '', lastEchoAt: NOW, roundTripMs: 1 }))
  const simulated = createSimulatedMesh(contacts)
  const membership = createMembership({
    self,
    incarnation: sampleIncarnation(0),
    mesh: simulated.mesh,
    seeds: [],
    // The VM list would add its own memory and messages.
    listVMs: () => Effect.never,
    subsetPeers: () => [],
    log: silentLog,
    clock: () => NOW,
    random: () => 0
  })
  const entries = [...byName.values()].map(({ vm, incarnation }) => [packVM(vm), incarnation, 0])
  for (const contact of contacts) {
    simulated.observers[0]?.opened?.(contact, byName.get(contact.vm)!.vm)
    for (let i = 0; i < entries.length; i += ROSTER_CHUNK) simulated.receive('roster', contact, [0, i, entries.slice(i, i + ROSTER_CHUNK)])
  }
  exchangeHeartbeats({ membership, simulated, contacts }, entries.length)
  return { membership, simulated, contacts }
}

/** Exchanges heartbeats until the selections are stable. Each peer selects what the measured VM selects from it. */
function exchangeHeartbeats ({ membership, simulated, contacts }: ConvergedVM, count: number): void {
  const [attachment] = simulated.attachments
  for (let now = NOW; now <= NOW + CONVERGENCE_MS; now += TICK_MS) {
    membership.tick(now)
    if ((now - NOW) % HEARTBEAT_MS !== 0) continue
    for (const contact of contacts) {
      attachment?.read(contact, simulated.heartbeatFrom(contact.vm, count), now, now)
      attachment?.write(contact.vm, now)
    }
  }
  for (const contact of contacts) {
    const [epoch = 0] = attachment?.write(contact.vm, NOW + CONVERGENCE_MS) as Uint8Array
    const selection = simulated.selectionFrom(contact.vm)
    if (selection !== undefined) simulated.receive('wantedContacts', contact, [epoch, 1, encodeChange(FULL_SELECTION.bits, selection)])
  }
}

function measureHeartbeats ({ simulated, contacts, membership }: ConvergedVM, count: number): readonly MeasuredValue[] {
  const [attachment] = simulated.attachments
  const peer = contacts[0]!
  let now = NOW + CONVERGENCE_MS
  const outgoing = attachment?.write(peer.vm, now)
  const incoming = simulated.heartbeatFrom(peer.vm, count)
  const bytesToAllPeers = contacts.reduce((sum, { vm }) => sum + encode(attachment?.write(vm, now)).length, 0)
  return [
    { measure: 'links', unit: 'links', value: contacts.length },
    { measure: 'attachmentBytes', unit: 'B', value: encode(outgoing).length },
    { measure: 'attachmentBytesPerSecond', unit: 'B/s', value: bytesToAllPeers * MS_PER_S / HEARTBEAT_MS },
    { measure: 'rosterBytes', unit: 'B per link', value: simulated.sentBytes() / contacts.length },
    { measure: 'listBytes', unit: 'B', value: encode(['listed', [0, sampleVMs(count).map(vm => [packVM(vm), 0])]]).length },
    { measure: 'writeHeartbeat', unit: 'us', value: measureTime(() => attachment?.write(peer.vm, NOW)) },
    // Time advances with each call, so that every entry carries newer contact than the last, as in a running fleet.
    { measure: 'readHeartbeat', unit: 'us', value: measureTime(() => attachment?.read(peer, incoming, ++now, now)) },
    { measure: 'tick', unit: 'us', value: measureTime(() => membership.tick(now)) },
    { measure: 'members', unit: 'us', value: measureTime(() => membership.members(now)) },
    { measure: 'majority', unit: 'us', value: measureTime(() => membership.hasMajorityContact(now)) },
    { measure: 'linksWanted', unit: 'us', value: measureTime(() => membership.linksWanted(now)) }
  ]
}

/** Membership of a VM that knows the whole fleet, with the links of the sparse graph. */
export const membershipByVMs: Measurement = {
  name: 'membership',
  by: 'vms',
  sizes: [48, 480, 6900],
  quickSizes: [8, 16, 32],
  run: count => {
    const vms = sampleVMs(count)
    const { bytes, value: convergedVM } = measureHeap(() => createConvergedVM(vms))
    return [{ measure: 'heap', unit: 'B', value: bytes }, ...measureHeartbeats(convergedVM, count)]
  }
}

function measureSubsetRefresh (members: readonly Member[]): MeasuredValue {
  const subsets = createSubsets(() => sampleConfiguration({ services: 0, targets: 0, routes: 0 }))
  subsets.refresh(members)
  return { measure: 'refreshSubsets', unit: 'us', value: measureTime(() => subsets.refresh(members)) }
}

/** Periodic work of a VM on the list of all members, outside the membership. */
export const periodicWorkByVMs: Measurement = {
  name: 'periodic-work',
  by: 'vms',
  sizes: [48, 480, 6900],
  quickSizes: [8, 16, 32],
  run: count => {
    const members = sampleMembers(count)
    const names = members.map(({ vm }) => vm.name)
    return [
      measureSubsetRefresh(members),
      { measure: 'rankHeadPollers', unit: 'us', value: measureTime(() => rankVMs('config/head', names)) }
    ]
  }
}

/** Services per VM in the expected fleet: 6,500 services and 6,900 VMs. */
const SERVICES_PER_VM = 6500 / 6900
const TARGETS_PER_SERVICE = 23
/** VMs over which the links are averaged. */
const SAMPLED_VMS = 20

/** Links of a VM in the sparse graph and to the peers of its subsets, with services in proportion to the VMs. */
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
    let isLastVMGone = false
    const changeOneUs = measureTime(() => {
      isLastVMGone = !isLastVMGone
      subsets.refresh(isLastVMGone ? members.slice(0, -1) : members)
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
