/** What the entry needs from the other modules, and its limits. */
import type { Result as Outcome } from 'neverthrow'
import type { Kind, Refusal, RunState } from '../errors/index.js'
import type { Log } from '../log/index.js'
import type { Admission, Claims, Clock, ResolvedRoute } from '../model/index.js'
import type { Dialect } from './dialect.js'

/** A target may close a connection that is idle for longer, just when a request is sent, in ms. */
export const REUSE_WITHIN_MS = 1000

/** Bounds on callers. All of them are required; the settings carry the defaults. */
export interface Limits {
  /** Bytes of a request's head, for example 16384. */
  readonly headerBytes: number
  /** Bytes of a request's body, for example 1 GiB. */
  readonly bodyBytes: number
  /** Time for the head of a request to arrive, in ms, for example 10000. */
  readonly headerTimeMs: number
  /**
   * Time in ms without any progress, for example 60000: between two requests of
   * a connection, within a request's body, and within an answer.
   */
  readonly idleTimeMs: number
  /** Longest time that a request may take in all, in ms, for example 600000. */
  readonly requestLimitMs: number
  /** Open connections from callers, for example 10000. */
  readonly connections: number
  /** Longest time of a graceful shutdown, in ms, for example 600000. */
  readonly stopLimitMs: number
}

/** How a request ended for its caller. */
export type Ending =
  | 'answered'   // a whole answer of a target, a recorded answer or an address answer
  | 'refused'    // a refusal of the fleet
  | 'truncated'  // the caller's connection was destroyed within an answer
  | 'cancelled'  // the caller went away

/** One finished request, for the metrics. */
export interface FinishedRequest {
  readonly requestId: string
  /** Undefined when the request met no route. */
  readonly service: string | undefined
  readonly class: string | undefined
  /** Key of the caller in the queue. */
  readonly caller: string
  readonly ending: Ending
  /** Kind of the refusal. */
  readonly kind: Kind | undefined
  /** What the refusal says about this occurrence. */
  readonly detail: string | undefined
  /** Undefined when no answer was sent. */
  readonly status: number | undefined
  readonly run: RunState
  readonly durationMs: number
  /** Targets that were tried. */
  readonly attempts: number
}

/** Dependencies of the entry. Every `now` is in ms on `clock`. */
export interface EntryOptions {
  /** Finds the route of a request; `host` is in lower case without port, `path` without query. */
  readonly resolve: (host: string, path: string, method: string) => Outcome<ResolvedRoute, Refusal>
  /** Undefined when this VM serves the service now; otherwise the refusal, for example `not-served-here`. */
  readonly serves: (service: string, now: number) => Refusal | undefined
  /** Whether requests of this fingerprint crashed several targets. */
  readonly quarantined: (fingerprint: string, now: number) => boolean
  readonly admission: Admission
  /** Without it, idempotency keys have no effect. */
  readonly claims?: Claims
  /** Takes one token of the service's retry budget; false when there is none. */
  readonly takeRetry: (service: string, now: number) => boolean
  /** Records a first attempt, which earns a part of a token. */
  readonly earnRetry: (service: string, now: number) => void
  /**
   * The JSON body of an address answer (design page 5.2). Without it, the entry has no paths of its
   * own, and every path is routed.
   */
  readonly answerAddresses?: (query: URLSearchParams, callerAddress: string, now: number) => Outcome<object, Refusal>
  /** Connections that this VM may hold to a target. */
  readonly connectionLimit: (service: string, target: string, now: number) => number
  /** Median latency of the class in ms; undefined while there are too few answers. */
  readonly medianLatencyMs: (service: string, className: string, now: number) => number | undefined
  /** Receives one record for each finished request. */
  readonly observe: (finished: FinishedRequest) => void
  /** Whether equal requests of different callers count as different for the quarantine. Default: no. */
  readonly tellsCallersApart?: boolean
  /** Time for a connection to a target, in ms. Default: 1500. */
  readonly connectTimeoutMs?: number
  /** Default: the fleet's own. */
  readonly dialect?: Dialect
  /** Longest pause after which a connection is used again for a request that must not run twice, in ms. Default: 1000. */
  readonly reuseWithinMs?: number
  /** Part of an answer's body that is read before the answer is sent on, in bytes. Default: 0. */
  readonly collectBytes?: number
  readonly log: Log
  readonly clock: Clock
  /** Read again for each request, except the limits of the head and of connections. */
  readonly limits: Limits
}
