import { err, ok, type Result } from 'neverthrow'
import { refusal, type Refusal } from '../errors/index.js'
import type { Note } from '../model/index.js'
import { check, parseJson, type Mistake } from '../schema/index.js'
import { checkConsistency } from './note-checks.js'
import { NoteSchema } from './schema.js'

/** Maximum size of a note, both as text and with its defaults filled in. A message between VMs is limited to 256 KB. */
export const NOTE_LIMIT_BYTES = 128 * 1024

function malformedRefusal (detail: string, mistakes: readonly Mistake[]): Refusal {
  return refusal('note-malformed', detail, { extra: { mistakes } })
}

function tooLargeRefusal (bytes: number): Refusal {
  return malformedRefusal('the note is too large', [{ path: '(document)', found: `${bytes} bytes`, allowed: `at most ${NOTE_LIMIT_BYTES} bytes; split it into several notes` }])
}

function describeMistakeCount (mistakes: readonly Mistake[]): string {
  return mistakes.length === 1 ? 'the note has 1 mistake' : `the note has ${mistakes.length} mistakes`
}

/**
 * Validates a parsed JSON value, for example one that was received from another VM.
 *
 * @returns the note with its defaults filled in, or `note-malformed` with every mistake in `extra.mistakes`
 */
export function validateNote (value: unknown): Result<Note, Refusal> {
  const checked = check(NoteSchema, value).andThen(note => {
    const mistakes = checkConsistency(note)
    return mistakes.length > 0 ? err(mistakes) : ok(note)
  })
  return checked.mapErr(mistakes => malformedRefusal(describeMistakeCount(mistakes), mistakes)).andThen(note => {
    const bytes = Buffer.byteLength(JSON.stringify(note))
    return bytes > NOTE_LIMIT_BYTES ? err(tooLargeRefusal(bytes)) : ok(note)
  })
}

/**
 * Parses a release note.
 *
 * @returns the note with its defaults filled in, or `note-malformed` with every mistake in
 * `extra.mistakes`: its path, the value found and the allowed values
 *
 * @example
 * parseNote('{"id":"n-1","base":0,"withdrawn":{"routes":["r-1"]}}') // ok
 * parseNote('{"id":"n-1","bsae":0}') // err: bsae is no member, base is missing
 */
export function parseNote (text: string): Result<Note, Refusal> {
  const bytes = Buffer.byteLength(text)
  if (bytes > NOTE_LIMIT_BYTES) return err(tooLargeRefusal(bytes))
  return parseJson(text)
    .mapErr(mistakes => malformedRefusal('the note is not JSON', mistakes))
    .andThen(validateNote)
}
