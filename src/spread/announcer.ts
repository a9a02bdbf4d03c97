/**
 * Announces notes before they are committed, and collects the acknowledgements of a majority.
 *
 * An announcement is flooded over the links. Each VM returns acknowledgements to the peer from which
 * it first received the announcement, because few VMs have a link to the committing VM.
 */
import { randomBytes } from 'node:crypto'
import type { AcceptedNote, Clock, Peer } from '../model/index.js'
import type { LinkMesh } from '../peer/index.js'
import { abandonmentChannel, acknowledgementChannel, createAnnouncementChannel, announcementRequestChannel } from './messages.js'
import type { AnnouncedRevision, UndecidedNotes } from './undecided-notes.js'

/** Timeout for the acknowledgements of a majority. Flooding a fleet of 48 VMs takes far less. */
export const ACKNOWLEDGEMENT_TIMEOUT_MS = 1000

/** Time for which a VM collects acknowledgements before it forwards them. */
const ACKNOWLEDGEMENT_BATCH_MS = 5

/** Time for which an announcement is relayed. Longer than the timeout for its acknowledgements. */
const RELAY_TIMEOUT_MS = 2 * ACKNOWLEDGEMENT_TIMEOUT_MS

const ID_BYTES = 8

/** Called once: with the id when a majority has acknowledged, or with undefined when the announcement is abandoned. */
export type AnnounceCallback = (id: string | undefined) => void

/** Announces notes of this VM, and relays announcements of others. */
export interface Announcer {
  /** Announces a note of this VM. */
  readonly announce: (note: AcceptedNote, done: AnnounceCallback) => void
  /** Notifies all VMs that an announced note was not accepted and never will be. */
  readonly abandon: (id: string) => void
  /** Handles the announcements that a peer reported. */
  readonly handleReport: (from: Peer, announced: readonly AnnouncedRevision[], now: number) => void
  /** Abandons pending announcements whose revision was created by another note. */
  readonly abandonSuperseded: () => void
  readonly tick: (now: number) => void
}

/** Dependencies of an announcer. */
export interface AnnouncerOptions {
  readonly self: string
  readonly mesh: LinkMesh
  readonly undecidedNotes: UndecidedNotes
  /** Checks a note from a peer. */
  readonly parseNote: Parameters<typeof createAnnouncementChannel>[0]
  readonly heldRevision: () => number
  /** Called with a revision that is known to exist. */
  readonly recordRevision: (revision: number) => void
  /** Whether the named VMs and this one are a strict majority of the fleet. */
  readonly isMajority: (names: ReadonlySet<string>, now: number) => boolean
  readonly clock: Clock
  readonly after: (ms: number, run: () => void) => void
}

/** State of an announcement that is being relayed. */
interface Relay {
  readonly note: AcceptedNote
  /** Peer from which the announcement was received; undefined at the committing VM. */
  readonly parent: string | undefined
  readonly startedAt: number
  /** Acknowledgements that were not forwarded yet. */
  pendingNames: readonly string[]
  /** At the committing VM: the VMs that acknowledged. */
  readonly acknowledgedBy: Set<string>
  done: AnnounceCallback | undefined
}

/** Creates the announcer and subscribes it to its messages. */
export function createAnnouncer (options: AnnouncerOptions): Announcer {
  const { self, mesh, undecidedNotes, heldRevision, clock, after } = options
  const relays = new Map<string, Relay>()
  const announcementChannel = createAnnouncementChannel(options.parseNote)

  const complete = (relay: Relay, outcome: string | undefined): void => {
    const { done } = relay
    relay.done = undefined
    done?.(outcome)
  }
  const forwardAcknowledgements = (id: string, relay: Relay): void => {
    const names = relay.pendingNames
    relay.pendingNames = []
    if (relay.parent !== undefined) mesh.send(relay.parent, acknowledgementChannel, [id, names])
  }
  const abandon = (id: string, except?: string): void => {
    const relay = relays.get(id)
    relays.delete(id)
    if (undecidedNotes.settle(id)) for (const { vm } of mesh.contacts()) if (vm !== except) mesh.send(vm, abandonmentChannel, id)
    if (relay !== undefined) complete(relay, undefined)
  }
  /** Abandons an announcement that no majority acknowledged in time. */
  const expire = (id: string): void => {
    if (relays.get(id)?.done !== undefined) abandon(id)
  }
  const recordAcknowledgements = (id: string, names: readonly string[]): void => {
    const relay = relays.get(id)
    if (relay === undefined) return
    if (relay.parent === undefined) {
      // After a pause of the process, late acknowledgements can be handled before the timer of the timeout.
      if (clock() - relay.startedAt > ACKNOWLEDGEMENT_TIMEOUT_MS) return expire(id)
      for (const name of names) relay.acknowledgedBy.add(name)
      if (options.isMajority(relay.acknowledgedBy, clock())) complete(relay, id)
      return
    }
    if (relay.pendingNames.length === 0) after(ACKNOWLEDGEMENT_BATCH_MS, () => forwardAcknowledgements(id, relay))
    relay.pendingNames = [...relay.pendingNames, ...names]
  }
  const startRelay = (id: string, note: AcceptedNote, parent: string | undefined, done?: AnnounceCallback): void => {
    relays.set(id, { note, parent, startedAt: clock(), pendingNames: [], acknowledgedBy: new Set(), done })
    options.recordRevision(note.revision - 1)
    for (const { vm } of mesh.contacts()) if (vm !== parent) mesh.send(vm, announcementChannel, [id, note])
  }

  mesh.subscribe(announcementChannel, (from, [id, note]) => {
    const isDecided = undecidedNotes.isSettled(id) || note.revision <= heldRevision()
    if (isDecided || relays.has(id) || undecidedNotes.noteOf(id) !== undefined) return
    const isStored = undecidedNotes.store(id, note, clock())
    startRelay(id, note, from.vm)
    if (isStored) recordAcknowledgements(id, [self])
  })
  mesh.subscribe(acknowledgementChannel, (_from, [id, names]) => recordAcknowledgements(id, names))
  mesh.subscribe(abandonmentChannel, (from, id) => abandon(id, from.vm))
  mesh.subscribe(announcementRequestChannel, (from, id) => {
    const note = undecidedNotes.noteOf(id)
    if (note !== undefined) mesh.send(from.vm, announcementChannel, [id, note])
  })
  mesh.observe({
    // In a fleet that has just started, links open while the first note is announced.
    opened: from => {
      for (const [id, { note }] of relays) if (undecidedNotes.noteOf(id) !== undefined) mesh.send(from.vm, announcementChannel, [id, note])
    }
  })

  return {
    announce: (note, done) => {
      const id = randomBytes(ID_BYTES).toString('hex')
      if (!undecidedNotes.store(id, note, clock())) return done(undefined)
      startRelay(id, note, undefined, done)
      after(ACKNOWLEDGEMENT_TIMEOUT_MS, () => expire(id))
      recordAcknowledgements(id, [])
    },
    abandon: id => abandon(id),
    handleReport: (from, announced, now) => {
      for (const [id, revision] of announced) {
        if (revision <= heldRevision()) continue
        options.recordRevision(revision - 1)
        const state = undecidedNotes.recordAnnouncement([id, revision], now)
        if (state === 'settled') mesh.send(from.vm, abandonmentChannel, id)
        if (state === 'missing') mesh.send(from.vm, announcementRequestChannel, id)
      }
    },
    abandonSuperseded: () => {
      for (const [id, { note }] of relays) if (note.revision <= heldRevision()) expire(id)
    },
    tick: now => {
      for (const [id, { startedAt }] of relays) {
        if (now - startedAt <= RELAY_TIMEOUT_MS) continue
        expire(id)
        relays.delete(id)
      }
    }
  }
}
