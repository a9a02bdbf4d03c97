/** Requests and their outcomes, as the modules that decide see them. */
import type { Effect } from 'effect'
import type { Refusal } from '../errors/index.js'
import type { Class, Service, Target } from './configuration.js'

/** How an attempt at a target ended. */
export type Result =
  | 'answered'     // a whole answer below 500
  | 'failed'       // an answer of 500 or above that is not a shed or draining answer
  | 'truncated'    // the answer ended early
  | 'timeout'      // connected, no answer before the deadline
  | 'unreachable'  // no connection was established
  | 'silent'       // a reused connection stopped without a reset
  | 'reset'        // the target closed the connection before answering
  | 'shed'         // the target said that it did not run the request
  | 'draining'     // the target announced that it is leaving
  | 'misdirected'  // another target has the address, and did not run the request
  | 'cancelled'    // the caller went away

/** Outcome of one attempt at a target, the only evidence of health. */
export interface Observation {
  /** Absent where the attempt belongs to no request of a caller. */
  readonly requestId?: string
  readonly service: string
  readonly target: string
  readonly class: string
  readonly result: Result
  /** Time from sending to the answer's headers or to the failure, in ms. */
  readonly latencyMs: number
  readonly fingerprint: string
}

/** What admission needs to know about a request. */
export interface SlotRequest {
  readonly service: string
  readonly class: string
  /** Callers with the same key share one turn in the queue. */
  readonly caller: string
  /** In ms, on the clock of `now`. */
  readonly deadlineAt: number
  /** Targets that were tried already. */
  readonly avoid: ReadonlySet<string>
  /** Places of the targets that were tried already; other places come first. */
  readonly avoidPlaces: ReadonlySet<string>
}

/** A request for a slot with what its class says about it. */
export interface PlacementRequest extends SlotRequest {
  readonly requestId: string
  readonly idempotent: boolean
  /** Priority of the class. */
  readonly priority: number
  /** End of the time within which an answer is of full use, on the clock of `now`. */
  readonly objectiveAt: number
}

/** Permission to run one request at a target. */
export interface Slot {
  readonly target: Target
  /** Returns the slot and records how the attempt ended. Calls after the first do nothing. */
  readonly release: (observation: Observation | undefined, now: number) => void
}

/** Waits in a bounded queue for a slot on a suitable target. */
export interface Admission<Wanted extends SlotRequest = PlacementRequest> {
  readonly acquire: (wanted: Wanted, now: number) => Effect.Effect<Slot, Refusal>
}

/** What a request's route says about it. */
export interface ResolvedRoute<Found extends Pick<Service, 'name'> = Pick<Service, 'name'>> {
  readonly route: string
  readonly service: Found
  readonly class: Class
}

/** What this VM may use of a service's targets at a moment. */
export interface Shares {
  /** Requests that this VM may run at the target at the same time. */
  readonly limit: (service: string, target: string, now: number) => number
  /** Connections that this VM may hold to the target. */
  readonly connectionLimit: (service: string, target: string, now: number) => number
  /** Targets that get no work. */
  readonly ejected: (service: string, now: number) => ReadonlySet<string>
  /** Targets that return from ejection and get one idempotent request at a time. */
  readonly probation: (service: string, now: number) => ReadonlySet<string>
}

/** Whole answer that a claim keeps, to replay it for a repeated request. */
export interface RecordedAnswer {
  readonly status: number
  readonly headers: Readonly<Record<string, string | readonly string[]>>
  /** Undefined when the body was larger than a claim keeps. */
  readonly body: Uint8Array | undefined
}

/** Request for the right to run a non-idempotent request. */
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

/** Either the right to forward, or the answer that an earlier run recorded. */
export type ClaimResult =
  | { readonly kind: 'claimed', readonly claim: Claim }
  | { readonly kind: 'replay', readonly answer: RecordedAnswer }

/** Records that keep a non-idempotent request from running twice. */
export interface Claims {
  readonly claim: (wanted: ClaimRequest, now: number) => Effect.Effect<ClaimResult, Refusal>
  /** Records the answer of a run. */
  readonly finish: (claim: Claim, answer: RecordedAnswer) => void
  /** Deletes a claim whose request provably did not run. */
  readonly abandon: (claim: Claim) => void
}

/** What this VM uses and would like to use, as admission sees it. */
export interface Demand {
  /** Requests of this VM that run at the target now. */
  readonly inUse: (service: string, target: string) => number
  /** Requests of this VM that wait for a slot of the service. */
  readonly waiting: (service: string) => number
}
