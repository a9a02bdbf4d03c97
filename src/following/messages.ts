/** Messages that replicate the catalog between VMs. */
import { Result as Decoded, Schema } from 'effect'
import { err, ok, type Result } from 'neverthrow'
import type { Batch, Section } from '../catalog/index.js'
import type { Channel } from '../model/index.js'
import { MAX_PARTS, PART_BYTES, type Part, type PartRequest } from './parts.js'

const SectionName = Schema.Literals(['rulesets', 'listings'])

const Listing = Schema.Struct({
  id: Schema.String,
  service: Schema.String,
  address: Schema.String,
  port: Schema.Int,
  zone: Schema.String,
  slots: Schema.Int,
  draining: Schema.Boolean,
  warmupMs: Schema.Number,
  startedAt: Schema.Number,
  sequence: Schema.optional(Schema.Number)
})

const Rule = Schema.Struct({
  name: Schema.String,
  host: Schema.String,
  prefix: Schema.String,
  idempotent: Schema.Boolean,
  branches: Schema.Array(Schema.Struct({ service: Schema.String, weight: Schema.Number })),
  maxAttempts: Schema.Int,
  timeoutMs: Schema.Number,
  objectiveMs: Schema.Number,
  priority: Schema.Int
})

const Ruleset = Schema.Struct({
  version: Schema.Int,
  rules: Schema.Array(Rule),
  pools: Schema.Array(Schema.Struct({ name: Schema.String, healthPath: Schema.String, maxConnections: Schema.Int })),
  limits: Schema.Struct({
    headerBytes: Schema.Number, bodyBytes: Schema.Number, headerTimeMs: Schema.Number, idleTimeMs: Schema.Number
  })
})

const Entry = Schema.Union([
  Schema.Struct({ kind: Schema.Literal('ruleset'), ruleset: Ruleset }),
  Schema.Struct({ kind: Schema.Literal('listing'), id: Schema.String, listing: Listing }),
  Schema.Struct({ kind: Schema.Literal('withdrawn'), id: Schema.String })
])

const BatchSchema = Schema.Struct({
  section: SectionName,
  changes: Schema.Array(Schema.Struct({ version: Schema.Int, entry: Entry })),
  after: Schema.optional(Schema.Int),
  upTo: Schema.Int,
  isProvisional: Schema.optional(Schema.Boolean)
})

const Count = Schema.Int.check(Schema.isBetween({ minimum: 0, maximum: MAX_PARTS }))

const PartSchema = Schema.Struct({
  transfer: Schema.Int,
  section: SectionName,
  upTo: Schema.Int,
  index: Count,
  count: Count,
  bytes: Schema.instanceOf(Uint8Array)
})

const PartRequestSchema = Schema.Struct({ transfer: Schema.Int, section: SectionName, index: Count })

/** Checks the bounds on which the memory of an incomplete transfer depends. */
function checkPart (part: Part): Result<Part, string> {
  const { index, count, bytes } = part
  if (index >= count) return err(`part ${index} of ${count}`)
  return bytes.length === 0 || bytes.length > PART_BYTES ? err(`a part of ${bytes.length} bytes`) : ok(part)
}

function parse<Value> (schema: Schema.Codec<Value, unknown>): (value: unknown) => Result<Value, string> {
  const decode = Schema.decodeUnknownResult(schema)
  return value => {
    const decoded = decode(value)
    return Decoded.isSuccess(decoded) ? ok(decoded.success) : err(String(decoded.failure))
  }
}

/** From a reader to the VMs of its zone: a batch from the store. Also the response to a snapshot request. */
export const batchChannel: Channel<Batch> = {
  kind: 'batch',
  parse: value => parse(BatchSchema)(value).map(body => ({ ...body, after: body.after }))
}

/** A part of a batch that is too large for the channel above. */
export const partChannel: Channel<Part> = { kind: 'batchPart', parse: value => parse(PartSchema)(value).andThen(checkPart) }

/** Requests the next part from the VM that sent the one before. */
export const partRequestChannel: Channel<PartRequest> = { kind: 'batchPartWanted', parse: parse(PartRequestSchema) }

/** Requests a snapshot of a section from another VM. */
export const snapshotRequestChannel: Channel<Section> = { kind: 'batchWanted', parse: parse(SectionName) }
