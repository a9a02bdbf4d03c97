/** One request of a caller and everything that is recorded about it. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Refusal, RunState } from '../errors/index.js'
import type { ResolvedRoute } from '../model/index.js'

/** Whose bytes an exchange waits for; undefined while it waits inside the VM or for its deadline. */
export type AwaitedParty = 'caller' | 'target' | undefined

/** One request and its answer on a caller's connection. */
export interface Exchange {
  readonly id: string
  readonly incoming: IncomingMessage
  readonly response: ServerResponse
  readonly callerKey: string
  /** When the head of the request had arrived, in ms on the entry's clock. */
  readonly arrivedAt: number
  /** Whether the caller waits for `100 Continue` before it sends the body. */
  readonly isContinueDue: () => boolean
  readonly sendContinue: () => void
  /** The route, once it is known. */
  readonly route: () => ResolvedRoute | undefined
  readonly setRoute: (route: ResolvedRoute) => void
  /** Number of attempts at targets, and the strongest run state of all of them. */
  readonly attempts: () => number
  readonly run: () => RunState
  readonly countAttempt: () => void
  readonly raiseRun: (run: RunState) => void
  /** While a request is on its way to a target, it may have run. */
  readonly setSending: (isSending: boolean) => void
  readonly awaited: () => AwaitedParty
  readonly setAwaited: (awaited: () => AwaitedParty) => void
  /** Ends the exchange early with a refusal, or by destroying a started answer. */
  readonly abort: (refused: Refusal, blamed: 'caller' | 'target') => void
  /** Whether the exchange was aborted because a target made no progress. */
  readonly isTargetBlamed: () => boolean
  /** Sets what an abort does; it is done at once when the exchange is aborted already. */
  readonly onAbort: (listener: (refused: Refusal) => void) => void
}

const STRENGTH: Readonly<Record<RunState, number>> = { 'not-run': 0, 'may-have-run': 1, ran: 2 }

/** The stronger of two run states. */
export function strongerRun (a: RunState, b: RunState): RunState {
  return STRENGTH[a] >= STRENGTH[b] ? a : b
}

/** Creates the record of a request whose head arrived at `now`. */
export function createExchange (
  id: string,
  callerKey: string,
  incoming: IncomingMessage,
  response: ServerResponse,
  expectsContinue: boolean,
  now: number
): Exchange {
  let isContinueDue = expectsContinue
  let route: ResolvedRoute | undefined
  let attempts = 0
  let run: RunState = 'not-run'
  let isSending = false
  let awaited: () => AwaitedParty = () => undefined
  let abortion: Refusal | undefined
  let isTargetBlamed = false
  let onAbort: (refused: Refusal) => void = () => {}
  return {
    id,
    incoming,
    response,
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
    run: () => isSending ? strongerRun(run, 'may-have-run') : run,
    countAttempt: () => { attempts++ },
    raiseRun: other => { run = strongerRun(run, other) },
    setSending: value => { isSending = value },
    awaited: () => awaited(),
    setAwaited: next => { awaited = next },
    abort: (refused, blamed) => {
      if (abortion !== undefined) return
      abortion = refused
      isTargetBlamed = blamed === 'target'
      onAbort(refused)
    },
    isTargetBlamed: () => isTargetBlamed,
    onAbort: listener => {
      onAbort = listener
      if (abortion !== undefined) listener(abortion)
    }
  }
}
