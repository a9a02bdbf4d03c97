/** Schema of a release note, with the limits and defaults of each member. */
import { Effect, Schema } from 'effect'
import { IPAddress, Name, Port, WholeNumber, withDefault } from '../schema/index.js'

const MAX_DEADLINE_MS = 600_000

const id = Schema.String.check(Schema.isPattern(/^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/, {
  expected: 'an id of 1 to 128 letters, digits, ".", "_" and "-" that starts with a letter or digit'
}))

const host = Schema.String.check(Schema.isPattern(/^(?=.{1,253}$)[a-z0-9]([a-z0-9-]*[a-z0-9])?(\.[a-z0-9]([a-z0-9-]*[a-z0-9])?)*$/, {
  expected: 'a lower-case host name without port, such as "example.org"'
}))

const pathPrefix = Schema.String.check(Schema.isPattern(/^\/[^\s?#]{0,1023}$/, {
  expected: 'a path of at most 1024 characters that starts with "/", without spaces, "?" and "#"'
}))

const method = Schema.String.check(Schema.isPattern(/^[A-Z]{1,32}$/, { expected: 'a method in capitals, such as "GET"' }))

const nonEmpty = { expected: 'at least one entry' }

const Target = Schema.Struct({
  /** Unique within its service. Example: `"holds-1"`. */
  id,
  /** Example: `"10.1.0.7"`. */
  address: IPAddress,
  /** Example: `8080`. */
  port: Port,
  /** Example: `"riga-a"`. */
  place: Name,
  /** Maximum number of concurrent requests at the target. Example: `4`. */
  slots: WholeNumber(1, 10_000),
  /** Connections that the target accepts from the whole fleet; at least its number of slots. Default: 400. */
  connections: withDefault(WholeNumber(1, 1_000_000), 400)
})

const Class = Schema.Struct({
  /** Unique within its service. Example: `"place-hold"`. */
  name: Name,
  /**
   * Whether repeating a request has no further effect. Default: false, because a request that is wrongly
   * declared idempotent can be executed twice.
   */
  idempotent: withDefault(Schema.Boolean, false),
  /** Maximum time from the arrival of a request to the end of its response headers, in ms. Default: 30000. */
  deadlineMs: withDefault(WholeNumber(1, MAX_DEADLINE_MS), 30_000),
  /** Classes with a higher number are admitted first. Default: 0. */
  priority: withDefault(WholeNumber(0, 9), 0)
})

const QueueLimit = Schema.Struct({
  /** Maximum number of queued requests of the service per VM. Default: 64. */
  length: withDefault(WholeNumber(0, 10_000), 64),
  /** Maximum time in the queue, in ms. Default: 500. */
  ageMs: withDefault(WholeNumber(0, MAX_DEADLINE_MS), 500)
})

const serviceMembers = {
  /** Example: `"holds"`. */
  name: Name,
  classes: Schema.Array(Class).check(Schema.isMinLength(1, nonEmpty), Schema.isMaxLength(64, { expected: 'at most 64 classes' })),
  /** Minimum healthy capacity that ejections must leave, in slots. Example: `12`. */
  floor: WholeNumber(0, 1_000_000),
  /** Whether a short detection time or few false ejections take precedence. Example: `"detection"`. */
  preference: Schema.Literals(['detection', 'accuracy']),
  /** Number of VMs that serve the service. If absent, it is derived from the number of slots. Example: `5`. */
  subsetSize: Schema.optionalKey(WholeNumber(1, 64)),
  /** Limits of the admission queue. Default: 64 requests, 500 ms. */
  queue: withDefault(QueueLimit, {})
}

const AddedService = Schema.Struct({
  ...serviceMembers,
  /** Targets of the new service. Default: none. */
  targets: withDefault(Schema.Array(Target), [])
})

const ChangedService = Schema.Struct({
  ...serviceMembers,
  /** Must be empty: targets are separate entries, so a changed service keeps its targets. Default: none. */
  targets: withDefault(Schema.Array(Target).check(Schema.isMaxLength(0, {
    expected: 'no targets here; list them in added, changed or withdrawn targets'
  })), [])
})

const ServiceTarget = Schema.Struct({
  /** Name of the service. Example: `"holds"`. */
  service: Name,
  target: Target
})

const Route = Schema.Struct({
  /** Unique within the configuration. Example: `"holds-post"`. */
  id,
  /** Example: `"holds"`. */
  service: Name,
  /** Name of a class of the service. Example: `"place-hold"`. */
  class: Name,
  /** Host name without port. If absent, the route matches every host. Example: `"majvieta.example"`. */
  host: Schema.optionalKey(host),
  /** Matched at segment boundaries; the longest matching prefix wins. Default: `"/"`. */
  pathPrefix: withDefault(pathPrefix, '/'),
  /** If absent, the route matches every method. Example: `["POST"]`. */
  methods: Schema.optionalKey(Schema.Array(method).check(Schema.isMinLength(1, nonEmpty)))
})

const entriesWith = <S extends Schema.Constraint>(service: S) => Schema.Struct({
  /** Default: none. */
  services: Schema.Array(service).pipe(Schema.withDecodingDefaultKey(Effect.succeed([]))),
  /** Default: none. */
  targets: withDefault(Schema.Array(ServiceTarget), []),
  /** Default: none. */
  routes: withDefault(Schema.Array(Route), [])
})

const Withdrawn = Schema.Struct({
  /** Names. The targets and routes of a withdrawn service are removed with it. Default: none. */
  services: withDefault(Schema.Array(Name), []),
  /** Example: `[{"service":"holds","id":"holds-1"}]`. Default: none. */
  targets: withDefault(Schema.Array(Schema.Struct({ service: Name, id })), []),
  /** Ids. Default: none. */
  routes: withDefault(Schema.Array(id), [])
})

/** A release note as submitted by an operator. */
export const NoteSchema = Schema.Struct({
  /** Chosen by the operator; makes submission idempotent. Example: `"2026-03-01-more-holds"`. */
  id,
  /** Revision on which the note is based. Example: `41`. */
  base: WholeNumber(0, Number.MAX_SAFE_INTEGER),
  /** New entries. Default: none. */
  added: withDefault(entriesWith(AddedService), {}),
  /** New versions of existing entries. Default: none. */
  changed: withDefault(entriesWith(ChangedService), {}),
  /** Names of entries to remove. Default: none. */
  withdrawn: withDefault(Withdrawn, {})
})

/** An accepted note as stored in the table. It was validated before its commit. */
export const AcceptedNoteSchema = Schema.Struct({
  revision: WholeNumber(1, Number.MAX_SAFE_INTEGER),
  note: NoteSchema,
  acceptedAt: Schema.Number,
  acceptedBy: Schema.String
})

/** A configuration as stored in a snapshot. */
export const ConfigurationSchema = Schema.Struct({
  revision: WholeNumber(0, Number.MAX_SAFE_INTEGER),
  services: Schema.Array(AddedService),
  routes: Schema.Array(Route)
})
