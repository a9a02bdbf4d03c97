/** Schemas and decoders of the platform's JSON responses. */
import { Result, Schema } from 'effect'
import type { Commit, ListedVM, Row } from '../model/index.js'

const EndpointSchema = Schema.Struct({ address: Schema.String, port: Schema.Int })
const RowSchema = Schema.Struct({ key: Schema.String, value: Schema.String, version: Schema.Int })
const VMSchema = Schema.Struct({ name: Schema.String, place: Schema.String, callers: EndpointSchema, peers: EndpointSchema })

const RowsResponseSchema = Schema.Struct({ rows: Schema.Array(Schema.NullOr(RowSchema)) })
const CommitResponseSchema = Schema.Struct({ outcome: Schema.Literals(['committed', 'conflict']) })
const VMListResponseSchema = Schema.Struct({
  vms: Schema.Array(Schema.Struct({ vm: VMSchema, state: Schema.Literals(['live', 'leaving']) }))
})

/** Decodes a JSON body; undefined when it is not JSON or does not match the schema. */
function decode<Value> (schema: Schema.Codec<Value, unknown>, body: Buffer): Value | undefined {
  try {
    const decoded = Schema.decodeUnknownResult(schema)(JSON.parse(body.toString()))
    return Result.isSuccess(decoded) ? decoded.success : undefined
  } catch {
    return undefined
  }
}

/** Decodes the rows of a read: one per requested key, in the order of the keys, undefined for absent rows. */
export function decodeRows (body: Buffer, keys: readonly string[]): ReadonlyArray<Row | undefined> | undefined {
  const rows = decode(RowsResponseSchema, body)?.rows
  const matches = rows?.length === keys.length && rows.every((row, i) => row === null || row.key === keys[i])
  return matches ? rows.map(row => row ?? undefined) : undefined
}

/** Decodes the outcome of a transaction. */
export function decodeCommit (body: Buffer): Commit | undefined {
  return decode(CommitResponseSchema, body)?.outcome
}

/** Decodes the list of VMs. */
export function decodeVMs (body: Buffer): readonly ListedVM[] | undefined {
  return decode(VMListResponseSchema, body)?.vms
}
