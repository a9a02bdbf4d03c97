/** The HTTP dialect of callers and targets: the headers that the entry reads, sets and trusts. */
import type { IncomingMessage } from 'node:http'
import type { Result as Outcome } from 'neverthrow'
import type { Refusal, RefusalResponse, RunState } from '../errors/index.js'
import type { Announcement, Result, Target } from '../model/index.js'
import type { RawHeaders } from './headers.js'

/** Options that a caller sets for its request. */
export interface CallerOptions {
  /** Deadline, in ms from the arrival of the request. */
  readonly deadlineMs: number | undefined
  /** Idempotency key: requests with the same key run at most once, whichever VMs receive them. */
  readonly idempotencyKey: string | undefined
}

/** Input for the headers of a request to a target. */
export interface ForwardedRequest {
  readonly requestId: string
  readonly target: Target
  /** Time left until the deadline, in whole ms. */
  readonly remainingMs: number
}

/** Input for the headers of a relayed response. */
export interface RelayedResponse {
  readonly requestId: string
  /** Run state of the attempt that returned the response. */
  readonly attemptRun: RunState
  /** Strongest run state of all attempts. */
  readonly requestRun: RunState
}

/** The request that a target's response is matched with. */
export interface AwaitedResponse {
  readonly requestId: string
  /** Whether an earlier exchange used the connection, so that a response may belong to that one. */
  readonly isConnectionReused: boolean
}

/** Classification of a target's response by its head. */
export interface Classification {
  readonly result: Result
  readonly run: RunState
  readonly detail: string
  /** Whether the response may be sent to the caller. */
  readonly isDeliverable: boolean
  /** Whether the response belongs to the request, so that its connection can be reused. */
  readonly isCorrelated: boolean
  /** What the target announced about itself; undefined if nothing. */
  readonly announcement?: Announcement | undefined
}

/** The HTTP conventions between callers, VMs and targets. Header names in the sets are in lower case. */
export interface Dialect {
  /** Id of the request in logs and responses. */
  readonly requestId: (headers: RawHeaders) => string
  /** Key of the caller, for the fair queue and the quarantine. */
  readonly caller: (incoming: IncomingMessage) => string
  /** Errors: `bad-request`. */
  readonly parseCallerOptions: (headers: RawHeaders) => Outcome<CallerOptions, Refusal>
  /** Headers of a caller's request that are not forwarded. */
  readonly strippedRequestHeaders: ReadonlySet<string>
  /** Headers added to each request to a target, with alternating names and values. */
  readonly requestHeaders: (request: ForwardedRequest) => readonly string[]
  readonly classify: (targetResponse: IncomingMessage, awaited: AwaitedResponse) => Classification
  /** Headers of a target's response that are not relayed. */
  readonly strippedResponseHeaders: ReadonlySet<string>
  /** Headers added to each relayed response of a target. */
  readonly responseHeaders: (relayed: RelayedResponse) => readonly string[]
  readonly refusalResponse: (refused: Refusal, requestId: string) => RefusalResponse
}
