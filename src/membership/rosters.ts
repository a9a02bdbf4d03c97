/**
 * Rosters of each link, which number the VMs: a VM sends its roster once, and its
 * heartbeats then contain one byte for each selected entry.
 */
import type { Peer } from '../model/index.js'
import { packVM, unpackVM } from '../peer/index.js'
import { decodeLiveness, encodeLiveness, type Liveness } from './liveness.js'
import { isInContact, stateOf, type MemberTable, type Entry } from './member-table.js'
import type { Subscriptions, RosterMember } from './subscriptions.js'
import { ROSTER_CHUNK_ENTRIES, type RosterChunk, type RosterEntry, type SelectionChange } from './messages.js'
import {
  allBits, applyChange, createSelection, deselect, encodeChange, FULL_SELECTION, forEachSelected, isSelected, nextNumber, type Selection
} from './selection.js'

/** Rosters of all links, sent and received. */
export interface Rosters {
  /** Starts a new roster for a peer, for example on a new link. */
  readonly reset: (peer: string) => void
  /** Discards the rosters of a peer whose link closed. */
  readonly removePeer: (peer: string) => void
  /** Returns the messages that have to precede the next heartbeat to the peer. */
  readonly pending: (peer: string, now: number) => readonly RosterChunk[]
  /** Returns the bytes for a heartbeat to the peer. */
  readonly write: (peer: string, now: number) => Uint8Array
  /** Adds the entries of a roster message; false if it does not continue the peer's roster. */
  readonly receive: (from: Peer, body: RosterChunk, now: number) => boolean
  /**
   * Decodes the bytes of a heartbeat; empty if its roster or selection is not known.
   *
   * @param maxAgeMs longest time since the heartbeat can have been written, in ms
   */
  readonly read: (from: Peer, body: Uint8Array, maxAgeMs: number) => ReadonlyArray<readonly [RosterMember, Liveness]>
  /** Returns the changed selections of what peers should report to this VM, by peer. */
  readonly updateSelections: (now: number) => ReadonlyArray<readonly [string, SelectionChange]>
  /** Applies a selection that a peer requested; false if it does not match the roster. */
  readonly applySelection: (peer: string, body: SelectionChange) => boolean
}

/** The roster that was sent to a peer. */
interface SentRoster {
  readonly epoch: number
  /** Version of the member table that the roster contains. */
  readonly version: number
  readonly members: readonly RosterMember[]
  /** The entries that heartbeats to the peer include. */
  readonly selection: Selection
}

/** The roster that was received from a peer. */
interface ReceivedRoster {
  readonly incarnation: string
  readonly epoch: number
  readonly members: readonly RosterMember[]
  /** The selection used by the peer's latest heartbeat, followed by those sent to the peer since. */
  selections: readonly Selection[]
  /** Counters of the subscriptions at the latest selection, and its time. */
  widenCount: number
  narrowCount: number
  narrowedAt: number
}

const EPOCH_COUNT = 256

/** A roster that is longer than this multiple of its current entries is replaced, because the rest is outdated. */
const MAX_ROSTER_FACTOR = 2

/** A selection is replaced if it includes useless entries, of this VM or of unknown or outdated incarnations, for more than this share of the roster. */
const MAX_USELESS_SHARE = 1 / 8

/** Minimum interval between selections that only exclude more entries. */
const NARROW_INTERVAL_MS = 3000

/** Maximum number of selections that a peer has not used yet. Beyond it, the next one waits. */
const MAX_PENDING_SELECTIONS = 4

/** Creates the rosters, which are empty. */
export function createRosters (
  table: MemberTable, subscriptions: Subscriptions, self: () => { readonly entry: RosterEntry, readonly isEstablished: boolean }
): Rosters {
  const sentRosters = new Map<string, SentRoster>()
  const receivedRosters = new Map<string, ReceivedRoster>()

  const packEntry = (entry: Entry): RosterEntry => [packVM(entry.vm), entry.incarnation ?? null, entry.isLeaving ? 1 : 0]

  /** Entries to send to peers. They exclude gone VMs, which would otherwise never be evicted. */
  const entriesToSend = (now: number): readonly RosterEntry[] => [
    self().entry,
    ...[...table.entries()].filter(entry => stateOf(entry, now) !== 'gone').map(packEntry)
  ]
  const memberOf = ([vm, incarnation]: RosterEntry): RosterMember => subscriptions.member(vm[0], incarnation ?? undefined)

  const keyOf = ([vm, incarnation, isLeaving]: RosterEntry): string => `${vm[0]}\n${incarnation}\n${isLeaving}`
  const sentKeys = new Map<string, ReadonlySet<string>>()

  const createSentRoster = (peer: string, epoch: number): SentRoster => {
    sentKeys.set(peer, new Set())
    return { epoch, version: -1, members: [], selection: FULL_SELECTION }
  }
  const livenessOf = (member: RosterMember, now: number): Liveness => {
    const entry = table.get(member.name)
    if (entry === undefined || entry.incarnation !== member.incarnation || !isInContact(entry, now)) {
      return { ageMs: Infinity, isEstablished: false }
    }
    return { ageMs: now - entry.lastAliveAt, isEstablished: entry.isEstablished }
  }

  const pending = (peer: string, now: number): readonly RosterChunk[] => {
    let roster = sentRosters.get(peer) ?? createSentRoster(peer, 0)
    if (roster.version === table.version()) return []
    const entries = entriesToSend(now)
    if (roster.members.length > MAX_ROSTER_FACTOR * entries.length) roster = createSentRoster(peer, (roster.epoch + 1) % EPOCH_COUNT)
    const keys = sentKeys.get(peer) ?? new Set()
    const added = entries.filter(entry => !keys.has(keyOf(entry)))
    const messages: RosterChunk[] = []
    for (let i = 0; i < added.length; i += ROSTER_CHUNK_ENTRIES) {
      messages.push([roster.epoch, roster.members.length + i, added.slice(i, i + ROSTER_CHUNK_ENTRIES)])
    }
    sentKeys.set(peer, new Set([...keys, ...added.map(keyOf)]))
    sentRosters.set(peer, { ...roster, version: table.version(), members: [...roster.members, ...added.map(memberOf)] })
    return messages
  }

  /** Returns the bits that a peer should use, and whether they differ from the latest ones enough to be sent. */
  const chooseBits = (peer: string, { members }: ReceivedRoster, latest: Uint8Array): { readonly bits: Uint8Array, readonly isChanged: boolean } => {
    const bits = allBits(members.length)
    const [ownVM] = self().entry
    let isChanged = false
    let uselessCount = 0
    for (const [index, { name, incarnation, subscription }] of members.entries()) {
      // The first entry is the peer itself. It is always selected: it shows that the link works.
      if (index === 0) continue
      const isUseful = name !== ownVM[0] && incarnation !== undefined && incarnation === subscription.incarnation
      const isWanted = isUseful && subscriptions.isWanted(subscription, peer)
      if (!isWanted) deselect(bits, index)
      if (isUseful && isWanted !== isSelected(latest, index)) isChanged = true
      if (!isUseful && isSelected(latest, index)) uselessCount++
    }
    return { bits, isChanged: isChanged || (subscriptions.isSelecting() && uselessCount > members.length * MAX_USELESS_SHARE) }
  }
  const updateSelection = (peer: string, roster: ReceivedRoster, now: number): SelectionChange | undefined => {
    const latest = roster.selections.at(-1) ?? FULL_SELECTION
    const isWider = roster.widenCount !== subscriptions.widenCount()
    const isNarrower = roster.narrowCount !== subscriptions.narrowCount() && now - roster.narrowedAt >= NARROW_INTERVAL_MS
    if ((!isWider && !isNarrower) || roster.selections.length > MAX_PENDING_SELECTIONS) return undefined
    roster.widenCount = subscriptions.widenCount()
    roster.narrowCount = subscriptions.narrowCount()
    roster.narrowedAt = now
    const { bits, isChanged } = chooseBits(peer, roster, latest.bits)
    if (!isChanged) return undefined
    const selection = createSelection(nextNumber(latest.number), bits)
    roster.selections = [...roster.selections, selection]
    return [roster.epoch, selection.number, encodeChange(latest.bits, bits)]
  }

  return {
    reset: peer => { sentRosters.set(peer, createSentRoster(peer, ((sentRosters.get(peer)?.epoch ?? 0) + 1) % EPOCH_COUNT)) },
    removePeer: peer => {
      receivedRosters.delete(peer)
      subscriptions.removePeer(peer)
      sentKeys.delete(peer)
      // The epoch is kept, so that a late roster message of a closed link does not match the next roster.
      sentRosters.set(peer, { ...createSentRoster(peer, sentRosters.get(peer)?.epoch ?? 0) })
    },
    pending,
    write: (peer, now) => {
      const state = sentRosters.get(peer) ?? createSentRoster(peer, 0)
      const bytes = [state.epoch, state.selection.number]
      forEachSelected(state.selection, state.members.length, index => {
        const member = state.members[index]
        if (index === 0) bytes.push(encodeLiveness({ ageMs: 0, isEstablished: self().isEstablished }))
        else if (member !== undefined) bytes.push(encodeLiveness(livenessOf(member, now)))
      })
      return Uint8Array.from(bytes)
    },
    receive: (from, [epoch, start, entries], now) => {
      const roster = receivedRosters.get(from.vm)
      const isContinuation = roster !== undefined && roster.incarnation === from.incarnation &&
        roster.epoch === epoch && roster.members.length === start
      if (!isContinuation && start !== 0) return false
      for (const [vm, incarnation, isLeaving] of entries) {
        table.merge(unpackVM(vm), incarnation ?? undefined, isLeaving === 1, now)
      }
      const initial = { selections: [FULL_SELECTION], widenCount: -1, narrowCount: -1, narrowedAt: -Infinity }
      const state = isContinuation ? roster : initial
      const members = [...isContinuation ? roster.members : [], ...entries.map(memberOf)]
      receivedRosters.set(from.vm, { ...state, incarnation: from.incarnation, epoch, members })
      return true
    },
    read: (from, body, maxAgeMs) => {
      const roster = receivedRosters.get(from.vm)
      if (roster === undefined || roster.incarnation !== from.incarnation || roster.epoch !== body[0]) return []
      const usedIndex = roster.selections.findIndex(({ number }) => number === body[1])
      const selection = roster.selections[usedIndex]
      if (selection === undefined) return []
      if (usedIndex > 0) roster.selections = roster.selections.slice(usedIndex)
      const entries: Array<readonly [RosterMember, Liveness]> = []
      let position = 2
      forEachSelected(selection, roster.members.length, index => {
        const byte = body[position++]
        const member = roster.members[index]
        if (byte === undefined || member === undefined) return
        const liveness = decodeLiveness(byte)
        entries.push([member, liveness])
        if (member.incarnation === member.subscription.incarnation) subscriptions.recordAge(member.subscription, from.vm, liveness.ageMs + maxAgeMs)
      })
      return entries
    },
    updateSelections: now => {
      subscriptions.update(now, receivedRosters.size)
      return [...receivedRosters].flatMap(([peer, roster]): ReadonlyArray<readonly [string, SelectionChange]> => {
        const body = updateSelection(peer, roster, now)
        return body === undefined ? [] : [[peer, body]]
      })
    },
    applySelection: (peer, [epoch, number, change]) => {
      const state = sentRosters.get(peer)
      if (state === undefined || state.epoch !== epoch || number !== nextNumber(state.selection.number)) return false
      const bits = applyChange(state.selection.bits, change)
      if (bits === undefined) return false
      sentRosters.set(peer, { ...state, selection: createSelection(number, bits) })
      return true
    }
  }
}
