/** Requests, attempts, slots and claims. */
import type { Effect } from 'effect'
import type { Refusal } from '../errors/index.js'
import type { Class, Service, Target } from './configuration.js'

/** How an attempt at a target ended. */
export type Result =
  | 'answered'     // complete response with a status below 500
  | 'failed'       // response with a status of 500 or above that is neither `shed` nor `draining`
  | 'truncated'    // the response ended early
  | 'timeout'      // connected, but no response before the deadline
  | 'unreachable'  // no connection was established
  | 'silent'       // a reused connection stopped responding without a reset
  | 'reset'        // the target closed the connection before it responded
  | 'shed'         // the target turned the request away, which says nothing about its health
  | 'draining'     // the target reported that it is shutting down
  | 'misdirected'  // another target has the address, and did not execute the request
  | 'cancelled'    // the caller disconnected

/** Outcome of one attempt at a target; failure detection uses no other evidence. */
export interface Observation {
  /** Absent if the attempt belongs to no request of a caller. */
  readonly requestId?: string
  readonly service: string
  readonly target: string
  readonly class: string
  readonly result: Result
  /** Time from sending the request to the response headers or the failure, in ms. */
  readonly latencyMs: number
  readonly fingerprint: string
}

/** What a target announces about itself in a response. */
export interface Announcement {
  /** Whether its process is about to end, so that it must get no further request. */
  readonly isLeaving: boolean
  /** Time for which it wants no requests from this VM, in ms; undefined if it does not say. */
  readonly pauseMs: number | undefined
}

/** A request for a slot at a target. */
export interface SlotRequest {
  readonly service: string
  readonly class: string
  /** Fair queuing key: callers with the same key share one turn in the queue. */
  readonly caller: string
  /** Deadline in ms, on the clock of `now`. */
  readonly deadlineAt: number
  /** Targets of previous attempts. */
  readonly avoid: ReadonlySet<string>
  /** Zones of the targets of previous attempts; other zones are preferred. */
  readonly avoidPlaces: ReadonlySet<string>
}

/** A request for a slot with the properties of its class. */
export interface PlacementRequest extends SlotRequest {
  readonly requestId: string
  readonly idempotent: boolean
  /** Priority of the class. */
  readonly priority: number
  /** Time by which a response meets the latency objective, in ms, on the clock of `now`. */
  readonly objectiveAt: number
}

/** Permission to send one request to a target. */
export interface Slot {
  readonly target: Target
  /** Releases the slot and records the outcome of the attempt. Only the first call has an effect. */
  readonly release: (observation: Observation | undefined, now: number) => void
  /** Receives an announcement of the target as soon as the head of its response is read. */
  readonly announce?: (announcement: Announcement, now: number) => void
  /** Whether the target may still get the request. False if it announced meanwhile that it leaves or wants no requests. Default: true. */
  readonly isUsable?: (now: number) => boolean
}

/** Grants slots, and queues requests within limits while no suitable target has a free one. */
export interface Admission<Request extends SlotRequest = PlacementRequest> {
  readonly acquire: (request: Request, now: number) => Effect.Effect<Slot, Refusal>
}

/** Service and class of a request according to its route. */
export interface ResolvedRoute<Found extends Pick<Service, 'name'> = Pick<Service, 'name'>> {
  readonly route: string
  readonly service: Found
  readonly class: Class
}

/** This VM's share of each target's capacity, and the targets that are ejected or on probation. */
export interface Shares {
  /** Maximum number of concurrent requests of this VM at the target. */
  readonly limit: (service: string, target: string, now: number) => number
  /** Maximum number of connections of this VM to the target. */
  readonly connectionLimit: (service: string, target: string, now: number) => number
  /** Ejected targets, which get no requests. */
  readonly ejected: (service: string, now: number) => ReadonlySet<string>
  /** Targets on probation after an ejection, which get one idempotent request at a time. */
  readonly probation: (service: string, now: number) => ReadonlySet<string>
}

/** Complete response that a claim stores, to replay it for a repeated request. */
export interface RecordedResponse {
  readonly status: number
  readonly headers: Readonly<Record<string, string | readonly string[]>>
  /** Undefined if the body was larger than a claim may store. */
  readonly body: Uint8Array | undefined
}

/** A request for the right to forward a non-idempotent request. */
export interface ClaimRequest {
  readonly service: string
  readonly idempotencyKey: string
  readonly fingerprint: string
  readonly deadlineAt: number
}

/** The right to forward one non-idempotent request once. */
export interface Claim {
  readonly key: string
  readonly nonce: string
  readonly fingerprint: string
}

/** Either the right to forward the request, or the recorded response of an earlier execution. */
export type ClaimResult =
  | { readonly kind: 'claimed', readonly claim: Claim }
  | { readonly kind: 'replay', readonly answer: RecordedResponse }

/** Claims, which prevent a non-idempotent request from being executed twice. */
export interface Claims {
  readonly claim: (request: ClaimRequest, now: number) => Effect.Effect<ClaimResult, Refusal>
  /** Stores the response of an executed request. */
  readonly finish: (claim: Claim, answer: RecordedResponse) => void
  /** Deletes a claim whose request was certainly not executed. */
  readonly abandon: (claim: Claim) => void
}

/** Current demand of this VM for slots. */
export interface Demand {
  /** Requests of this VM in flight at the target. */
  readonly inUse: (service: string, target: string) => number
  /** Requests of this VM that are queued for a slot of the service. */
  readonly waiting: (service: string) => number
}
