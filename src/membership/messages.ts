/** Messages of the membership. */
import type { Channel } from '../model/index.js'
import { CHANGE_LIMIT_BYTES } from './selection.js'
import { bytes, checkIncarnation, checkVM, integer, list, nullable, text, tuple, type Checked } from '../peer/index.js'

/** Maximum number of entries in one roster message. Keeps it far below the frame size limit. */
export const ROSTER_CHUNK_ENTRIES = 200

const MEMBERS_LIMIT = 32_768
const NAME_LIMIT = 128

/** A VM, its incarnation if known, and 1 if it announced that it is leaving. */
export const checkRosterEntry = tuple(checkVM, nullable(checkIncarnation), integer(0, 1))

/** An entry of a roster. */
export type RosterEntry = Checked<typeof checkRosterEntry>

const checkRosterChunk = tuple(integer(0, 255), integer(0, MEMBERS_LIMIT), list(checkRosterEntry, ROSTER_CHUNK_ENTRIES))

/** Part of a roster: epoch (it changes when a new roster replaces the previous one), index of the first entry, entries. */
export type RosterChunk = Checked<typeof checkRosterChunk>

/**
 * Sent to each peer before the first heartbeat that refers to the entries: the
 * VMs that this VM knows. Their order defines the indexes in `livenessChannel`.
 */
export const rosterChannel: Channel<RosterChunk> = { kind: 'roster', parse: checkRosterChunk }

/**
 * Sent in each heartbeat: the epoch of the roster, the number of the selection,
 * and one byte for each selected entry of the roster, see `liveness.ts`. The kind
 * differs from that of an earlier form without selections, which would be misread.
 */
export const livenessChannel: Channel<Uint8Array> = { kind: 'ages', parse: bytes(2, MEMBERS_LIMIT + 2) }

const checkSelectionChange = tuple(integer(0, 255), integer(1, 255), bytes(0, CHANGE_LIMIT_BYTES))

/** Epoch of the roster, number of the new selection, and its change, see `selection.ts`. */
export type SelectionChange = Checked<typeof checkSelectionChange>

/** Requests that the heartbeats of a peer include the selected entries of its roster from now on. */
export const selectionChannel: Channel<SelectionChange> = { kind: 'wantedContacts', parse: checkSelectionChange }

const checkLeavingVM = tuple(text(NAME_LIMIT, 1), checkIncarnation)

/** Name and incarnation of a leaving VM. */
export type LeavingVM = Checked<typeof checkLeavingVM>

/** Flooded over the links: a VM announced that it is leaving. */
export const leavingChannel: Channel<LeavingVM> = { kind: 'leaving', parse: checkLeavingVM }

const checkVMList = tuple(integer(), list(tuple(checkVM, integer(0, 1)), MEMBERS_LIMIT))

/** Age of the list in ms, and its VMs, each with 1 if it is leaving. */
export type PackedVMList = Checked<typeof checkVMList>

/**
 * Flooded over the links when the platform's list of VMs changes, and sent to
 * each new peer, so that few VMs have to read the list.
 */
export const vmListChannel: Channel<PackedVMList> = { kind: 'listed', parse: checkVMList }
