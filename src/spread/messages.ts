/** Messages that replicate the configuration between VMs. */
import { err, ok, type Result } from 'neverthrow'
import type { AcceptedNote, Channel, Configuration } from '../model/index.js'
import { integer, isRecord, list, nullable, text, tuple, type Check, type Checked } from '../peer/index.js'
import { MAX_ANNOUNCEMENTS } from './undecided-notes.js'

const NAME_LIMIT = 256
const checkRevision = integer()
const checkName = text(NAME_LIMIT, 1)

function hasLists (value: unknown): boolean {
  return isRecord(value) && ['services', 'targets', 'routes'].every(name => Array.isArray(value[name]))
}

/**
 * Checks the structure of an accepted note. Its entries were validated before it
 * was accepted, and the link is authenticated.
 */
export const checkAcceptedNote: Check<AcceptedNote> = value => {
  if (!isRecord(value) || !isRecord(value['note'])) return err('not an accepted note')
  const { revision, acceptedAt, acceptedBy, note } = value as Record<string, unknown> & { note: Record<string, unknown> }
  const form = tuple(integer(1), integer(), checkName, checkName, checkRevision)([revision, acceptedAt, acceptedBy, note['id'], note['base']])
  if (form.isErr()) return err(form.error)
  if (![note['added'], note['changed'], note['withdrawn']].every(hasLists)) return err('note without lists of entries')
  return ok(value as unknown as AcceptedNote)
}

/** Checks the structure of a configuration. */
export const checkConfiguration: Check<Configuration> = value => {
  if (!isRecord(value) || !Array.isArray(value['services']) || !Array.isArray(value['routes'])) return err('not a configuration')
  return checkRevision(value['revision']).map(() => value as unknown as Configuration)
}

/** Channel of accepted notes, flooded over the links. Also the response to a request for notes. */
export function createNoteChannel (parse: (value: unknown) => Result<AcceptedNote, string>): Channel<AcceptedNote> {
  return { kind: 'note', parse }
}

/** Requests notes from a peer that holds a higher revision, from the first missing revision on. */
export const notesRequestChannel: Channel<number> = { kind: 'wantNotes', parse: integer(1) }

/** Response to a request for notes that are no longer held: the whole configuration. */
export const snapshotChannel: Channel<Configuration> = { kind: 'snapshot', parse: checkConfiguration }

const ID_LENGTH = 16
const MAX_VMS = 32_768
const checkId = text(ID_LENGTH, ID_LENGTH)

/**
 * Channel of announcements, flooded over the links before a note is committed: the id of the announcement,
 * and the note with the revision that it would create. Also the response to a request for an announcement.
 */
export function createAnnouncementChannel (parse: (value: unknown) => Result<AcceptedNote, string>): Channel<readonly [string, AcceptedNote]> {
  const check = tuple(checkId, parse)
  return { kind: 'announcement', parse: check }
}

/** Acknowledges an announcement to the peer that sent it: its id, and the VMs that store the note as undecided. */
export const acknowledgementChannel: Channel<readonly [string, readonly string[]]> = {
  kind: 'acknowledged', parse: tuple(checkId, list(checkName, MAX_VMS))
}

/** Flooded over the links: the announced note was not accepted and never will be. */
export const abandonmentChannel: Channel<string> = { kind: 'abandoned', parse: checkId }

/** Requests the content of an announcement from a peer that reported it. */
export const announcementRequestChannel: Channel<string> = { kind: 'wantAnnounced', parse: checkId }

const checkRevisionReport = tuple(checkRevision, checkRevision, nullable(integer()), list(tuple(checkId, integer(1)), MAX_ANNOUNCEMENTS))

/**
 * Held revision, highest revision that is known to exist, age of the confirmation in ms (null: none), and
 * the known undecided announcements with their revisions.
 */
export type RevisionReport = Checked<typeof checkRevisionReport>

/** Sent in each heartbeat: the revision that the sender holds, its confirmation, and the undecided announcements. */
export const revisionReportChannel: Channel<RevisionReport> = { kind: 'revision', parse: checkRevisionReport }
