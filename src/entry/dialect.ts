/** How the entry speaks with callers and targets: which fields it reads, sets and trusts. */
import type { IncomingMessage } from 'node:http'
import type { Result as Outcome } from 'neverthrow'
import type { Refusal, RefusalAnswer, RunState } from '../errors/index.js'
import type { Result, Target } from '../model/index.js'
import type { RawHeaders } from './headers.js'

/** What a caller states about its request besides the request itself. */
export interface CallerWish {
  /** Time that the caller waits, in ms from the arrival of the request. */
  readonly deadlineMs: number | undefined
  /** Key under which the request runs at most once, whichever VM it reaches. */
  readonly idempotencyKey: string | undefined
}

/** What the fields for a target depend on. */
export interface ForwardedRequest {
  readonly requestId: string
  readonly target: Target
  /** Time left until the deadline, in whole ms. */
  readonly remainingMs: number
}

/** What the fields of an answer depend on. */
export interface AnsweredRequest {
  readonly requestId: string
  /** What the answer says of the attempt that it ends. */
  readonly attempt: RunState
  /** The strongest state of all attempts. */
  readonly request: RunState
}

/** What the head of a target's answer says. */
export interface Judgement {
  readonly result: Result
  readonly run: RunState
  readonly detail: string
  /** Whether the answer may be sent to the caller. */
  readonly isDeliverable: boolean
  /** Whether the answer belongs to the request, so that its connection can be used again. */
  readonly isMatched: boolean
}

/** A dialect of HTTP between callers, VMs and targets. Field names are in lower case. */
export interface Dialect {
  /** Id under which a request appears in logs and answers. */
  readonly requestId: (headers: RawHeaders) => string
  /** Who sends the request, for the fair queue and the quarantine. */
  readonly caller: (incoming: IncomingMessage) => string
  /** Errors: `bad-request`. */
  readonly readWish: (headers: RawHeaders) => Outcome<CallerWish, Refusal>
  /** Fields of a caller's request that are not sent on. */
  readonly replacedInRequest: ReadonlySet<string>
  /** Fields that are set in each request to a target, as name and value in turn. */
  readonly requestFields: (request: ForwardedRequest) => readonly string[]
  readonly judge: (answer: IncomingMessage, requestId: string) => Judgement
  /** Fields of a target's answer that are not sent on. */
  readonly replacedInAnswer: ReadonlySet<string>
  /** Fields that are set in each answer of a target. */
  readonly answerFields: (answered: AnsweredRequest) => readonly string[]
  readonly answerRefusal: (refused: Refusal, requestId: string) => RefusalAnswer
}
