/** Schemas of the JSON request bodies of the platform stand-in. */
import { Result, Schema } from 'effect'
import { FaultsSchema } from './faults.js'

const Endpoint = Schema.Struct({ address: Schema.String, port: Schema.Int })

const schemas = {
  read: Schema.Struct({ keys: Schema.Array(Schema.String) }),
  transact: Schema.Struct({
    writes: Schema.Array(Schema.Struct({
      key: Schema.String,
      value: Schema.NullOr(Schema.String),
      expect: Schema.Union([Schema.Int, Schema.Literals(['absent', 'any'])])
    })),
    conditions: Schema.optionalKey(Schema.Array(Schema.Struct({
      key: Schema.String,
      expect: Schema.Union([Schema.Int, Schema.Literal('absent')])
    })))
  }),
  faults: FaultsSchema,
  vms: Schema.Struct({
    vms: Schema.Array(Schema.Struct({
      vm: Schema.Struct({ name: Schema.String, place: Schema.String, callers: Endpoint, peers: Endpoint }),
      state: Schema.Literals(['live', 'leaving'])
    }))
  })
}

/** Kind of a JSON request body. */
export type BodyKind = keyof typeof schemas
/** Decoded request body of a kind. */
export type Body<K extends BodyKind> = (typeof schemas)[K]['Type']

/**
 * Decodes a JSON request body.
 *
 * @throws Error when the text is not JSON or does not match the schema of the kind
 *
 * @example
 * decodeBody('read', '{"keys":["a"]}').keys // ['a']
 */
export function decodeBody<K extends BodyKind> (kind: K, text: string): Body<K> {
  const schema: Schema.Codec<Body<K>> = schemas[kind] as never
  const decoded = Schema.decodeUnknownResult(schema, { onExcessProperty: 'error' })(JSON.parse(text))
  if (Result.isFailure(decoded)) throw new Error(String(decoded.failure.message))
  return decoded.success
}
