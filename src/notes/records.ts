/** Formats of the rows and objects in which the platform stores notes and configurations. */
import { Result as Decoded, Schema } from 'effect'
import { err, ok, type Result } from 'neverthrow'
import type { AcceptedNote, Configuration } from '../model/index.js'
import { AcceptedNoteSchema, ConfigurationSchema } from './schema.js'

/** Key of the row with the revision of the newest accepted note. */
export const HEAD_KEY = 'config/head'
/** Key of the row of an accepted note. */
export const noteKey = (revision: number): string => `note/${revision}`
/** Key of the row with the revision that was accepted under a note id. */
export const noteIdKey = (id: string): string => `note-id/${id}`
/** Key of the object with the configuration of a revision. */
export const snapshotKey = (revision: number): string => `snapshot/${revision}`

const Revision = Schema.Struct({ revision: Schema.Int.check(Schema.isGreaterThanOrEqualTo(1)) })

function validate<Value> (schema: Schema.Codec<Value, unknown>, value: unknown): Result<Value, string> {
  const decoded = Schema.decodeUnknownResult(schema)(value)
  return Decoded.isSuccess(decoded) ? ok(decoded.success) : err(String(decoded.failure.message))
}

function decode<Value> (schema: Schema.Codec<Value, unknown>, text: string): Value | undefined {
  try {
    return validate(schema, JSON.parse(text)).unwrapOr(undefined)
  } catch {
    return undefined
  }
}

/**
 * Validates an accepted note from another VM. The error describes what is wrong.
 *
 * @example
 * const channel: Channel<AcceptedNote> = { kind: 'note', parse: checkAcceptedNote }
 */
export const checkAcceptedNote = (value: unknown): Result<AcceptedNote, string> => validate(AcceptedNoteSchema, value)

/** Validates a configuration from another VM. The error describes what is wrong. */
export const checkSnapshot = (value: unknown): Result<Configuration, string> => validate(ConfigurationSchema, value)

/** Encodes a revision as the text of the head row or of a note-id row. */
export const encodeRevision = (revision: number): string => JSON.stringify({ revision })
/** Decodes the text of the head row or of a note-id row; returns undefined if it is malformed. */
export const decodeRevision = (text: string): number | undefined => decode(Revision, text)?.revision

/** Encodes an accepted note as the text of its row. */
export const encodeNote = (accepted: AcceptedNote): string => JSON.stringify(accepted)
/** Decodes the text of a note row; returns undefined if it is malformed. */
export const decodeNote = (text: string): AcceptedNote | undefined => decode(AcceptedNoteSchema, text)

/** Encodes a configuration as the bytes of a snapshot object. */
export const encodeConfiguration = (configuration: Configuration): Uint8Array => Buffer.from(JSON.stringify(configuration))
/** Decodes the bytes of a snapshot object; returns undefined if they are malformed. */
export const decodeConfiguration = (bytes: Uint8Array): Configuration | undefined =>
  decode(ConfigurationSchema, Buffer.from(bytes).toString())
