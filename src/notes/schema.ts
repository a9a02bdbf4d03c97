/** The form of a release note, with the limits and defaults of each member. */
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
  /** Requests that the target runs at the same time. Example: `4`. */
  slots: WholeNumber(1, 10_000),
  /** Connections that the target accepts from the whole fleet; not below its slots. Default: 400. */
  connections: withDefault(WholeNumber(1, 1_000_000), 400)
})

const Class = Schema.Struct({
  /** Unique within its service. Example: `"place-hold"`. */
  name: Name,
  /**
   * Whether a repeated request has the same effect as one. Default: false, because a request that is
   * wrongly taken for idempotent may run twice.
   */
  idempotent: withDefault(Schema.Boolean, false),
  /** Time from the arrival of a request to the end of its answer's headers, in ms. Default: 30000. */
  deadlineMs: withDefault(WholeNumber(1, MAX_DEADLINE_MS), 30_000),
  /** Classes with a higher number are admitted first. Default: 0. */
  priority: withDefault(WholeNumber(0, 9), 0)
})

const QueueLimit = Schema.Struct({
  /** Requests of the service that wait at one VM. Default: 64. */
  length: withDefault(WholeNumber(0, 10_000), 64),
  /** Longest wait, in ms. Default: 500. */
  ageMs: withDefault(WholeNumber(0, MAX_DEADLINE_MS), 500)
})

const serviceMembers = {
  /** Example: `"holds"`. */
  name: Name,
  classes: Schema.Array(Class).check(Schema.isMinLength(1, nonEmpty), Schema.isMaxLength(64, { expected: 'at most 64 classes' })),
  /** Least healthy capacity that ejections leave, in slots. Example: `12`. */
  floor: WholeNumber(0, 1_000_000),
  /** What weighs more: short detection time or few false ejections. Example: `"detection"`. */
  preference: Schema.Literals(['detection', 'accuracy']),
  /** Number of VMs that serve the service. Without it, it follows from the slots. Example: `5`. */
  subsetSize: Schema.optionalKey(WholeNumber(1, 64)),
  /** Bounds on waiting requests. Default: 64 requests, 500 ms. */
  queue: withDefault(QueueLimit, {})
}

const AddedService = Schema.Struct({
  ...serviceMembers,
  /** Targets that are added with the service. Default: none. */
  targets: withDefault(Schema.Array(Target), [])
})

const ChangedService = Schema.Struct({
  ...serviceMembers,
  /** Targets are entries of their own, so a changed service keeps the ones it has. Default: none. */
  targets: withDefault(Schema.Array(Target).check(Schema.isMaxLength(0, {
    expected: 'no targets here; list them in added, changed or withdrawn targets'
  })), [])
})

const PlacedTarget = Schema.Struct({
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
  /** Host name without port. Without it, the route holds for every host. Example: `"majvieta.example"`. */
  host: Schema.optionalKey(host),
  /** Matched at segment boundaries; the longest matching prefix wins. Default: `"/"`. */
  pathPrefix: withDefault(pathPrefix, '/'),
  /** Without it, the route holds for every method. Example: `["POST"]`. */
  methods: Schema.optionalKey(Schema.Array(method).check(Schema.isMinLength(1, nonEmpty)))
})

const entriesWith = <S extends Schema.Constraint>(service: S) => Schema.Struct({
  /** Default: none. */
  services: Schema.Array(service).pipe(Schema.withDecodingDefaultKey(Effect.succeed([]))),
  /** Default: none. */
  targets: withDefault(Schema.Array(PlacedTarget), []),
  /** Default: none. */
  routes: withDefault(Schema.Array(Route), [])
})

const Withdrawn = Schema.Struct({
  /** Names; the targets and routes of a withdrawn service go with it. Default: none. */
  services: withDefault(Schema.Array(Name), []),
  /** Example: `[{"service":"holds","id":"holds-1"}]`. Default: none. */
  targets: withDefault(Schema.Array(Schema.Struct({ service: Name, id })), []),
  /** Ids. Default: none. */
  routes: withDefault(Schema.Array(id), [])
})

/** A release note as an operator writes it. */
export const NoteSchema = Schema.Struct({
  /** Chosen by the operator; makes a repeated submission harmless. Example: `"2026-03-01-more-holds"`. */
  id,
  /** Revision that the operator worked from. Example: `41`. */
  base: WholeNumber(0, Number.MAX_SAFE_INTEGER),
  /** New entries. Default: none. */
  added: withDefault(entriesWith(AddedService), {}),
  /** New text of existing entries. Default: none. */
  changed: withDefault(entriesWith(ChangedService), {}),
  /** Names of entries that end. Default: none. */
  withdrawn: withDefault(Withdrawn, {})
})

/** A note as it is stored: checked before, with its revision. */
export const AcceptedNoteSchema = Schema.Struct({
  revision: WholeNumber(1, Number.MAX_SAFE_INTEGER),
  note: NoteSchema,
  acceptedAt: Schema.Number,
  acceptedBy: Schema.String
})

/** A configuration as a snapshot stores it. */
export const ConfigurationSchema = Schema.Struct({
  revision: WholeNumber(0, Number.MAX_SAFE_INTEGER),
  services: Schema.Array(AddedService),
  routes: Schema.Array(Route)
})
