/** The fleet's own dialect, with fields whose names begin with `Camphorbay-`. */
import { randomUUID } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import { err, ok, type Result as Outcome } from 'neverthrow'
import { answerTo, refusal, type Refusal } from '../errors/index.js'
import type { CallerWish, Dialect, Judgement } from './dialect.js'
import { CALLER, DEADLINE_MS, REPLAYED, REQUEST_ID, RUN, STATE, tokensOf, valuesOf, type RawHeaders } from './headers.js'

/** Longer keys would not fit the platform's table. */
const IDEMPOTENCY_KEY_MAX_LENGTH = 256

/** A caller's deadline; undefined when the value is not a whole positive number of ms. */
function parseDeadline (value: string): number | undefined {
  return /^\d{1,9}$/.test(value) && Number(value) > 0 ? Number(value) : undefined
}

function readWish (headers: RawHeaders): Outcome<CallerWish, Refusal> {
  const keys = valuesOf(headers, 'idempotency-key')
  if (keys.length > 1 || (keys[0]?.length ?? 0) > IDEMPOTENCY_KEY_MAX_LENGTH) {
    return err(refusal('bad-request', `there is one Idempotency-Key of at most ${IDEMPOTENCY_KEY_MAX_LENGTH} characters`))
  }
  const deadlines = valuesOf(headers, DEADLINE_MS)
  const deadlineMs = deadlines[0] === undefined ? undefined : parseDeadline(deadlines[0])
  if (deadlines.length > 1 || (deadlines.length === 1 && deadlineMs === undefined)) {
    return err(refusal('bad-request', 'Camphorbay-Deadline-Ms is not a whole positive number of ms'))
  }
  return ok({ deadlineMs, idempotencyKey: keys[0] === '' ? undefined : keys[0] })
}

/** The header `Camphorbay-Caller`, or else the caller's address. */
function callerOf (incoming: IncomingMessage): string {
  const named = incoming.headers[CALLER]
  if (typeof named === 'string' && named !== '') return named
  return incoming.socket.remoteAddress ?? ''
}

/** A target that sheds states that it did not run the request. */
function saysNotRun (answer: IncomingMessage): boolean {
  return answer.statusCode === 503 && valuesOf(answer.rawHeaders, RUN).join() === 'not-run'
}

function judge (answer: IncomingMessage): Judgement {
  const isNotRun = saysNotRun(answer)
  const run = isNotRun ? 'not-run' : 'ran'
  const isDraining = tokensOf(answer.rawHeaders, STATE).includes('draining')
  const isFailure = (answer.statusCode ?? 0) >= 500
  const result = isDraining ? 'draining' : isNotRun ? 'shed' : isFailure ? 'failed' : 'answered'
  return { result, run, detail: `the target answered ${answer.statusCode}`, isDeliverable: true, isMatched: true }
}

/** The dialect that the fleet's own callers and targets use. */
export const ownDialect: Dialect = {
  requestId: () => randomUUID(),
  caller: callerOf,
  readWish,
  replacedInRequest: new Set([DEADLINE_MS, REQUEST_ID]),
  requestFields: ({ requestId, remainingMs }) => [REQUEST_ID, requestId, DEADLINE_MS, String(remainingMs)],
  judge,
  // What a target says about the run state is checked and set by the entry.
  replacedInAnswer: new Set(['camphorbay-kind', REPLAYED, REQUEST_ID, RUN]),
  answerFields: ({ requestId, attempt, request }) => [REQUEST_ID, requestId, ...(attempt === 'not-run' ? [RUN, request] : [])],
  answerRefusal: answerTo
}
