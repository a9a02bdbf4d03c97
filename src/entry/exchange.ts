/** The state of one request of a caller and its response. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Result as Outcome } from 'neverthrow'
import type { Refusal, RunState } from '../errors/index.js'
import type { ResolvedRoute } from '../model/index.js'
import type { CallerOutput } from './caller-output.js'
import type { ParsedRequest } from './request.js'

/** The party whose bytes an exchange waits for; undefined while it waits inside the VM or for its deadline. */
export type AwaitedParty = 'caller' | 'target' | undefined

/** A request and its response on a caller's connection. */
export interface Exchange {
  readonly id: string
  readonly incoming: IncomingMessage
  /** The parsed head, or its refusal. */
  readonly request: Outcome<ParsedRequest, Refusal>
  readonly response: ServerResponse
  /** The output of the connection that the request arrived on. */
  readonly output: CallerOutput
  readonly callerKey: string
  /** Time at which the head of the request was received, in ms on the entry's clock. */
  readonly arrivedAt: number
  /** Whether the caller waits for `100 Continue` before it sends the body. */
  readonly isContinueDue: () => boolean
  readonly sendContinue: () => void
  /** Undefined until the request is routed. */
  readonly route: () => ResolvedRoute | undefined
  readonly setRoute: (route: ResolvedRoute) => void
  /** Number of attempts at targets, and the strongest run state of all of them. */
  readonly attempts: () => number
  readonly run: () => RunState
  readonly countAttempt: () => void
  /** From now on until `endSend`, the run state is at least `may-have-run`. Several attempts may be in progress. */
  readonly beginSend: () => void
  /** Adds the run state of an attempt that ended. */
  readonly endSend: (run: RunState) => void
  readonly awaited: () => AwaitedParty
  readonly setAwaited: (awaited: () => AwaitedParty) => void
  /** Aborts the exchange with a refusal, or by destroying the connection when a response was started. */
  readonly abort: (refused: Refusal, faultyParty: 'caller' | 'target') => void
  /** Whether the exchange was aborted because a target made no progress. */
  readonly isTargetAtFault: () => boolean
  /** Sets the abort listener, which is called at once if the exchange is already aborted. */
  readonly onAbort: (listener: (refused: Refusal) => void) => void
}

const RUN_STATE_RANK: Readonly<Record<RunState, number>> = { 'not-run': 0, 'may-have-run': 1, ran: 2 }

/** The stronger of two run states. */
export function strongerRunState (a: RunState, b: RunState): RunState {
  return RUN_STATE_RANK[a] >= RUN_STATE_RANK[b] ? a : b
}

/** Creates the exchange of a request whose head was received at `now`. */
export function createExchange (
  id: string,
  callerKey: string,
  incoming: IncomingMessage,
  request: Outcome<ParsedRequest, Refusal>,
  response: ServerResponse,
  output: CallerOutput,
  expectsContinue: boolean,
  now: number
): Exchange {
  let isContinueDue = expectsContinue
  let route: ResolvedRoute | undefined
  let attempts = 0
  let run: RunState = 'not-run'
  let sendsInProgress = 0
  let awaited: () => AwaitedParty = () => undefined
  let abortRefusal: Refusal | undefined
  let isTargetFaulty = false
  let onAbort: (refused: Refusal) => void = () => {}
  return {
    id,
    incoming,
    request,
    response,
    output,
    callerKey,
    arrivedAt: now,
    isContinueDue: () => isContinueDue,
    sendContinue: () => {
      if (isContinueDue) response.writeContinue()
      isContinueDue = false
    },
    route: () => route,
    setRoute: found => { route = found },
    attempts: () => attempts,
    run: () => sendsInProgress > 0 ? strongerRunState(run, 'may-have-run') : run,
    countAttempt: () => { attempts++ },
    beginSend: () => { sendsInProgress++ },
    endSend: other => {
      sendsInProgress--
      run = strongerRunState(run, other)
    },
    awaited: () => awaited(),
    setAwaited: next => { awaited = next },
    abort: (refused, faultyParty) => {
      if (abortRefusal !== undefined) return
      abortRefusal = refused
      isTargetFaulty = faultyParty === 'target'
      onAbort(refused)
    },
    isTargetAtFault: () => isTargetFaulty,
    onAbort: listener => {
      onAbort = listener
      if (abortRefusal !== undefined) listener(abortRefusal)
    }
  }
}
