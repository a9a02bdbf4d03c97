/** Dependencies and limits of the entry. */
import type { Result as Outcome } from 'neverthrow'
import type { ErrorKind, Refusal, RunState } from '../errors/index.js'
import type { Log } from '../log/index.js'
import type { Admission, Claims, Clock, ResolvedRoute } from '../model/index.js'
import type { BodyMemoryLimits } from './body-memory.js'
import type { Dialect } from './dialect.js'

/** Idle time in ms after which a target may close a connection at the moment a request is sent on it. */
export const MAX_REUSE_IDLE_MS = 1000

/** Limits for callers. All of them are required; the settings define the defaults. */
export interface Limits {
  /** Maximum size of a request head in bytes, for example 16384. */
  readonly headerBytes: number
  /** Maximum size of a request body in bytes, for example 1 GiB. */
  readonly bodyBytes: number
  /** Timeout for receiving the head of a request, in ms, for example 10000. */
  readonly headerTimeMs: number
  /**
   * Timeout in ms without progress, for example 60000: between two requests of
   * a connection, within a request body, and within a response. With `isDeadlineForBody`, it does not apply
   * while a response waits for its target.
   */
  readonly idleTimeMs: number
  /** Maximum total duration of a request, in ms, for example 600000. */
  readonly requestLimitMs: number
  /** Maximum number of open connections from callers, for example 10000. */
  readonly connections: number
  /** Maximum duration of a graceful shutdown, in ms, for example 600000. */
  readonly stopLimitMs: number
}

/** How a request ended for its caller. */
export type Ending =
  | 'answered'   // a complete response: from a target, replayed, or with addresses
  | 'refused'    // an error response created by the fleet
  | 'truncated'  // the caller's connection was destroyed during the response
  | 'cancelled'  // the caller disconnected

/** One finished request, reported to the metrics. */
export interface FinishedRequest {
  readonly requestId: string
  /** Undefined when the request matched no route. */
  readonly service: string | undefined
  readonly class: string | undefined
  /** Key of the caller in the fair queue. */
  readonly caller: string
  readonly ending: Ending
  /** Kind of the refusal; undefined for other endings. */
  readonly kind: ErrorKind | undefined
  /** Detail of the refusal. */
  readonly detail: string | undefined
  /** Undefined when no response was sent. */
  readonly status: number | undefined
  readonly run: RunState
  readonly durationMs: number
  /** Number of attempts at targets. */
  readonly attempts: number
}

/** Options of the entry. Every `now` is in ms on `clock`. */
export interface EntryOptions {
  /** Finds the route of a request; `host` is in lower case without port, `path` without query. */
  readonly resolve: (host: string, path: string, method: string) => Outcome<ResolvedRoute, Refusal>
  /** Undefined when this VM serves the service now, otherwise the refusal, for example `not-served-here`. */
  readonly checkServing: (service: string, now: number) => Refusal | undefined
  /** Whether requests with this fingerprint crashed several targets. */
  readonly isQuarantined: (fingerprint: string, now: number) => boolean
  readonly admission: Admission
  /** Without it, idempotency keys have no effect. */
  readonly claims?: Claims
  /** Takes one token from the retry budget of the service; false when none is left. */
  readonly takeRetryToken: (service: string, now: number) => boolean
  /** Credits the retry budget of the service with a fraction of a token, for each first attempt. */
  readonly earnRetryToken: (service: string, now: number) => void
  /**
   * Creates the JSON body that lists the VMs at which callers reach a service. The entry sends it in response
   * to `GET /.camphorbay/addresses`. Without it, the entry has no built-in paths, and every path is routed.
   */
  readonly resolveAddresses?: (query: URLSearchParams, callerAddress: string, now: number) => Outcome<object, Refusal>
  /** Maximum number of connections from this VM to a target. */
  readonly connectionLimit: (service: string, target: string, now: number) => number
  /** Median latency of the class in ms; undefined while there are too few responses. */
  readonly medianLatencyMs: (service: string, className: string, now: number) => number | undefined
  /** Receives one record for each finished request. */
  readonly observe: (finished: FinishedRequest) => void
  /** Whether the fingerprint includes the caller, so that the quarantine distinguishes identical requests of different callers. Default: no. */
  readonly isFingerprintPerCaller?: boolean
  /** Timeout for connecting to a target, in ms. Default: 1500. */
  readonly connectTimeoutMs?: number
  /** Default: the native dialect of the fleet. */
  readonly dialect?: Dialect
  /** Maximum idle time of a connection that is reused for a non-idempotent request, in ms. Default: 1000. */
  readonly maxReuseIdleMs?: number
  /** Bytes of a response body that are buffered before the response is relayed. Default: 0. */
  readonly responseBufferBytes?: number
  /** Bodies that are buffered completely before their request takes a slot of a target. Default: the first 64 KB of each body are buffered. */
  readonly bodyMemory?: BodyMemoryLimits
  /** Whether a response that is not complete at the deadline is cut off. Default: no, so that only `requestLimitMs` ends it. */
  readonly isDeadlineForBody?: boolean
  readonly log: Log
  readonly clock: Clock
  /** Read anew for each request, except the limits of the head and of connections. */
  readonly limits: Limits
}
