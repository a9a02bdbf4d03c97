/** Components that exchange state with the other VMs: peer mesh, membership, replicated configuration and subsets. */
import { Effect } from 'effect'
import type { Log } from '../log/index.js'
import { createMembership, type Membership } from '../membership/index.js'
import type { AcceptedNote, Clock, Platform } from '../model/index.js'
import { applyNote, createRegistry, EMPTY_CONFIGURATION, type Registry } from '../notes/index.js'
import { createIncarnation, createMesh, type PeerMesh } from '../peer/index.js'
import { createSubsets, type Subsets } from '../routing/index.js'
import type { Settings } from '../settings/index.js'
import { createReplica, type Replica } from '../spread/index.js'
import { createAnnounce } from './announce.js'
import { createTargetIndex, type TargetIndex } from './drain-recorder.js'

/** This VM's components for state that is shared with the other VMs. */
export interface FleetComponents {
  readonly incarnation: string
  readonly mesh: PeerMesh
  readonly membership: Membership
  readonly replica: Replica
  readonly registry: Registry
  readonly subsets: Subsets
  readonly targetIndex: TargetIndex
}

/** Settings and dependencies of the fleet components. */
export interface FleetOptions {
  readonly settings: Settings
  readonly platform: Platform
  readonly log: Log
  readonly clock: Clock
}

/** Returns the notes with the revisions `from` to `to`, or undefined when one of them is missing. */
function selectNotes (notes: readonly AcceptedNote[], from: number, to: number): readonly AcceptedNote[] | undefined {
  const selected = notes.filter(({ revision }) => revision >= from && revision <= to)
  return selected.length === Math.max(0, to - from + 1) ? selected : undefined
}

/** Creates the fleet components of a VM without starting them. */
export function createFleetComponents ({ settings, platform, log, clock }: FleetOptions): FleetComponents {
  const { vm, seeds, peerKey } = settings
  const incarnation = createIncarnation(Date.now())
  const subsets = createSubsets(() => replica.current())
  const targetIndex = createTargetIndex(() => replica.current())
  const mesh = createMesh({
    self: vm,
    listenAt: settings.listenPeers,
    incarnation,
    key: Buffer.from(peerKey, 'utf8'),
    wanted: () => membership.linksWanted(clock()),
    isCurrent: peer => membership.isCurrent(peer),
    log,
    clock
  })
  const membership = createMembership({
    self: vm,
    incarnation,
    mesh,
    seeds,
    listVMs: platform.listVMs,
    targetAddresses: targetIndex.addresses,
    subsetPeers: () => subsets.peersOf(vm.name),
    log,
    clock
  })
  const registry = createRegistry({
    platform,
    current: () => replica.current(),
    notes: (from, to) => selectNotes(replica.notes(), from, to),
    accept: accepted => replica.accept(accepted, clock()),
    announce: createAnnounce({ replica: () => replica, clock }),
    log,
    vm: vm.name
  })
  const readHeadRevision = registry.readHead().pipe(Effect.map(head => head.revision))
  const replica: Replica = createReplica({
    self: vm.name,
    initial: EMPTY_CONFIGURATION,
    apply: applyNote,
    mesh,
    membership,
    readHead: registry.readCurrentRevision,
    readNotes: registry.readNotes,
    readSnapshot: () => Effect.flatMap(readHeadRevision, registry.readSnapshot),
    log,
    clock
  })
  return { incarnation, mesh, membership, replica, registry, subsets, targetIndex }
}
