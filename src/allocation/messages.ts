/** Messages between the VMs of a subset. Times are sent as ages, because clocks of different VMs are not comparable. */
import { Result, Schema } from 'effect'
import { err, ok } from 'neverthrow'
import { OUTCOMES } from '../health/index.js'
import type { Channel } from '../model/index.js'

const MAX_NAME_LENGTH = 256
const MAX_TARGETS = 1_024
const MAX_COUNTS = 4_096
const MAX_HISTORY_ENTRIES = 64

const Name = Schema.String.check(Schema.isMinLength(1), Schema.isMaxLength(MAX_NAME_LENGTH))
const OptionalName = Schema.String.check(Schema.isMaxLength(MAX_NAME_LENGTH))
const Natural = Schema.Int.check(Schema.isGreaterThanOrEqualTo(0))
const AgeMs = Schema.Finite.check(Schema.isGreaterThanOrEqualTo(0))

/** Target, class, outcome, and number of requests with this outcome. */
const CountTuple = Schema.Tuple([Name, OptionalName, Schema.Literals(OUTCOMES), Natural])

/** Target, and the age of its latest known drain announcement, or of the restart that ended its drain. */
const TargetAge = Schema.Tuple([Name, AgeMs])
const TargetAges = Schema.Array(TargetAge).check(Schema.isMaxLength(MAX_TARGETS))

/** An ejected target, or one that is returning to service. `prober` is empty unless the target is on probation. */
const EjectionRecordSchema = Schema.Struct({
  target: Name,
  phase: Schema.Literals(['ejected', 'probation', 'slow-start']),
  ageMs: AgeMs,
  phaseAgeMs: AgeMs,
  times: Natural,
  holdMs: AgeMs,
  prober: OptionalName
})

const LeaseRequestSchema = Schema.Struct({
  service: Name,
  epoch: Natural,
  /** Increases with each request and renewal of the candidate. */
  round: Natural,
  /** Members in the view of the requester, in order of rank. A grantor with another list refuses. */
  subset: Schema.Array(Name).check(Schema.isMaxLength(MAX_TARGETS)),
  /** Releases the grants of this and earlier rounds instead of requesting one. */
  release: Schema.Boolean
})

const LeaseGrantSchema = Schema.Struct({
  service: Name,
  /** Incarnation of the requester. */
  to: Name,
  round: Natural,
  granted: Schema.Boolean,
  /** Highest epoch that the grantor knows. */
  epoch: Natural,
  /** Time for which released grants to earlier holders would still have been valid. Ejections of those holders may be in effect as long. */
  heldForMs: AgeMs
})

const EvidenceReportSchema = Schema.Struct({
  service: Name,
  /** Incarnation of the coordinator; empty in a message that only announces drains. */
  to: OptionalName,
  /** Increases with each report. The lifetime of an allocation that answers the report starts when the report is sent. */
  seq: Natural,
  /** Highest epoch that the member knows. It rejects allocations of earlier epochs. */
  epoch: Natural,
  /** Incarnation of the coordinator that sent the adopted allocation; empty without one. */
  coordinator: OptionalName,
  /** Number of the adopted allocation; 0 without one. */
  adopted: Natural,
  counts: Schema.Array(CountTuple).check(Schema.isMaxLength(MAX_COUNTS)),
  /** Counts of earlier reports with their ages, oldest first. Sent until an allocation confirms that the coordinator received them. */
  history: Schema.optionalKey(Schema.Array(Schema.Struct({
    ageMs: AgeMs,
    counts: Schema.Array(CountTuple).check(Schema.isMaxLength(MAX_COUNTS))
  })).check(Schema.isMaxLength(MAX_HISTORY_ENTRIES))),
  /** Outcomes of earlier reports that were caused by a request and not by its target. */
  retracted: Schema.optionalKey(Schema.Array(CountTuple).check(Schema.isMaxLength(MAX_COUNTS))),
  /** Target, slots in use, limit. Targets with 0 for both are left out. */
  use: Schema.Array(Schema.Tuple([Name, Natural, Natural])).check(Schema.isMaxLength(MAX_TARGETS)),
  /** Number of queued requests of the service at the member. */
  waiting: Natural,
  /** Limits of the latest allocation if it has expired, and the time since its expiry. */
  lapsed: Schema.optionalKey(Schema.Struct({
    ageMs: AgeMs,
    limits: Schema.Array(Schema.Tuple([Name, Natural])).check(Schema.isMaxLength(MAX_TARGETS))
  })),
  draining: TargetAges,
  /** Targets that restarted after they drained. */
  restarted: Schema.optionalKey(TargetAges),
  /** Whether the member enforces the ejections of its allocation. */
  inEffect: Schema.Boolean,
  /** Ejections of the member's latest allocation, for a coordinator that did not send it. */
  ejections: Schema.Array(EjectionRecordSchema).check(Schema.isMaxLength(MAX_TARGETS))
})

const AllocationContentSchema = Schema.Struct({
  /** Target, and number of slots of the member. */
  limits: Schema.Array(Schema.Tuple([Name, Natural])).check(Schema.isMaxLength(MAX_TARGETS)),
  /** In order of ejection, oldest first. */
  ejections: Schema.Array(EjectionRecordSchema).check(Schema.isMaxLength(MAX_TARGETS)),
  draining: TargetAges,
  restarted: Schema.optionalKey(TargetAges)
})

const AllocationSchema = Schema.Struct({
  service: Name,
  /** Incarnation of the member. */
  to: Name,
  epoch: Natural,
  /** Increases with each allocation of the coordinator's process; 0 in a request for a report. */
  number: Natural,
  /** `seq` of the report that this allocation answers; 0 without one. */
  anchor: Natural,
  /** Time after that report for which the ejections are in effect. They end when the sender's current lease expires. */
  ejectionsForMs: AgeMs,
  /** Left out if it equals the content of the allocation that the member reported as adopted. */
  content: Schema.optionalKey(AllocationContentSchema)
})

export type EjectionRecord = typeof EjectionRecordSchema.Type
export type LeaseRequest = typeof LeaseRequestSchema.Type
export type LeaseGrant = typeof LeaseGrantSchema.Type
export type EvidenceReport = typeof EvidenceReportSchema.Type
export type AllocationContent = typeof AllocationContentSchema.Type
export type Allocation = typeof AllocationSchema.Type

function createChannel<Body> (kind: string, schema: Schema.Codec<Body, unknown>): Channel<Body> {
  const decode = Schema.decodeUnknownResult(schema)
  return {
    kind,
    parse: value => {
      const decoded = decode(value)
      return Result.isSuccess(decoded) ? ok(decoded.success) : err(decoded.failure.message)
    }
  }
}

/** From a candidate or the coordinator to each member: requests, renews or releases the lease. */
export const leaseRequestChannel: Channel<LeaseRequest> = createChannel('leaseRequest', LeaseRequestSchema)
/** Response of a member to a lease request. */
export const leaseGrantChannel: Channel<LeaseGrant> = createChannel('leaseGrant', LeaseGrantSchema)
/** From a member to the coordinator: outcomes, usage, demand and the adopted allocation. To other members: drains only. */
export const evidenceReportChannel: Channel<EvidenceReport> = createChannel('evidence', EvidenceReportSchema)
/** From the coordinator to a member: the limits of the member, the ejections and the drains. */
export const allocationChannel: Channel<Allocation> = createChannel('allocation', AllocationSchema)
