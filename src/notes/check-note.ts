import { err, ok, type Result } from 'neverthrow'
import { refusal, type Refusal } from '../errors/index.js'
import type { AcceptedNote, Configuration, Note } from '../model/index.js'
import { applyEntries } from './apply-entries.js'
import { checkConfiguration } from './configuration-checks.js'
import { findCommonEntries } from './entries.js'
import type { Mistake } from '../schema/index.js'

/** Maximum number of entries in the detail of a refusal; `extra` lists all. */
const MAX_ENTRIES_IN_DETAIL = 5

/** A note that was accepted after `base` and affects some of the same entries. */
export interface Conflict {
  readonly note: string
  readonly revision: number
  readonly entries: readonly string[]
}

function mistakesRefusal (revision: number, mistakes: readonly Mistake[]): Refusal {
  const [first] = mistakes
  const detail = first === undefined ? '' : `: ${first.path} is ${first.found}, allowed is ${first.allowed}`
  return refusal('note-conflict', `the note does not fit revision ${revision}${detail}`, { extra: { revision, mistakes } })
}

function conflictsRefusal (conflicts: readonly Conflict[]): Refusal {
  const [latest] = conflicts.slice(-1)
  const entries = latest?.entries.slice(0, MAX_ENTRIES_IN_DETAIL).join(', ')
  const detail = `note "${latest?.note}", accepted as revision ${latest?.revision}, also touches ${entries}`
  return refusal('note-conflict', detail, { extra: { conflicts } })
}

function findConflicts (history: readonly AcceptedNote[], note: Note): readonly Conflict[] {
  return history.filter(({ revision }) => revision > note.base).flatMap(accepted => {
    const entries = findCommonEntries(note, accepted.note)
    return entries.length === 0 ? [] : [{ note: accepted.note.id, revision: accepted.revision, entries }]
  })
}

/**
 * Checks a note against the current configuration and the notes accepted since its `base`.
 *
 * @param history accepted notes, at least those from `note.base + 1` to the configuration's revision
 * @returns the configuration with the note applied, or `note-conflict`. `extra.conflicts` lists the
 * notes that affect the same entries, `extra.mistakes` the entries that do not fit the configuration.
 *
 * @example
 * checkNote(configuration, history, note).isOk()
 */
export function checkNote (configuration: Configuration, history: readonly AcceptedNote[], note: Note): Result<Configuration, Refusal> {
  const { revision } = configuration
  if (note.base > revision) {
    return err(refusal('note-conflict', `base ${note.base} is above the current revision ${revision}`, { extra: { revision } }))
  }
  const conflicts = findConflicts(history, note)
  if (conflicts.length > 0) return err(conflictsRefusal(conflicts))
  return applyEntries(configuration, note).mapErr(mistakes => mistakesRefusal(revision, mistakes)).andThen(updated => {
    const mistakes = checkConfiguration(updated, note)
    return mistakes.length === 0 ? ok(updated) : err(mistakesRefusal(revision, mistakes))
  })
}

/**
 * Applies the accepted note of the next revision. Deterministic and pure.
 *
 * @returns the next configuration; `note-conflict` if the note has another revision or does not fit,
 * which means that the configuration is not the one that the note was accepted for
 *
 * @example
 * applyNote({ revision: 0, services: [], routes: [] }, { revision: 1, note, acceptedAt, acceptedBy })
 */
export function applyNote (configuration: Configuration, accepted: AcceptedNote): Result<Configuration, Refusal> {
  if (accepted.revision !== configuration.revision + 1) {
    const detail = `revision ${accepted.revision} does not follow revision ${configuration.revision}`
    return err(refusal('note-conflict', detail, { extra: { revision: configuration.revision } }))
  }
  return applyEntries(configuration, accepted.note).mapErr(mistakes => mistakesRefusal(configuration.revision, mistakes))
}

/** The configuration before the first note. */
export const EMPTY_CONFIGURATION: Configuration = { revision: 0, services: [], routes: [] }
