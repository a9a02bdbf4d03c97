/** The native dialect of the fleet, with headers whose names begin with `Camphorbay-`. */
import { randomUUID } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import { err, ok, type Result as Outcome } from 'neverthrow'
import { toErrorResponse, refusal, type Refusal } from '../errors/index.js'
import type { AwaitedResponse, CallerOptions, Dialect, Classification } from './dialect.js'
import { CALLER_HEADER, DEADLINE_HEADER, REPLAYED_HEADER, REQUEST_ID_HEADER, RUN_HEADER, STATE_HEADER, headerTokens, headerValues, type RawHeaders } from './headers.js'

/** Longer keys do not fit into the platform's table. */
const IDEMPOTENCY_KEY_MAX_LENGTH = 256

/** Parses a deadline; undefined when the value is not a positive integer in ms. */
function parseDeadline (value: string): number | undefined {
  return /^\d{1,9}$/.test(value) && Number(value) > 0 ? Number(value) : undefined
}

function parseCallerOptions (headers: RawHeaders): Outcome<CallerOptions, Refusal> {
  const keys = headerValues(headers, 'idempotency-key')
  if (keys.length > 1 || (keys[0]?.length ?? 0) > IDEMPOTENCY_KEY_MAX_LENGTH) {
    return err(refusal('bad-request', `more than one Idempotency-Key, or one longer than ${IDEMPOTENCY_KEY_MAX_LENGTH} characters`))
  }
  const deadlines = headerValues(headers, DEADLINE_HEADER)
  const deadlineMs = deadlines[0] === undefined ? undefined : parseDeadline(deadlines[0])
  if (deadlines.length > 1 || (deadlines.length === 1 && deadlineMs === undefined)) {
    return err(refusal('bad-request', 'Camphorbay-Deadline-Ms is not a single positive integer'))
  }
  return ok({ deadlineMs, idempotencyKey: keys[0] === '' ? undefined : keys[0] })
}

/** The value of the header `Camphorbay-Caller`, or else the caller's address. */
function callerKeyOf (incoming: IncomingMessage): string {
  const callerHeader = incoming.headers[CALLER_HEADER]
  if (typeof callerHeader === 'string' && callerHeader !== '') return callerHeader
  return incoming.socket.remoteAddress ?? ''
}

/** Whether the target shed the request, that is, states that it did not run it. */
function isShedResponse (targetResponse: IncomingMessage): boolean {
  return targetResponse.statusCode === 503 && headerValues(targetResponse.rawHeaders, RUN_HEADER).join() === 'not-run'
}

/** Whether a response states the id of another request. Targets need not state one. */
function belongsToOther (targetResponse: IncomingMessage, { requestId }: AwaitedResponse): boolean {
  const ids = headerValues(targetResponse.rawHeaders, REQUEST_ID_HEADER)
  return ids.length > 0 && ids.join() !== requestId
}

function classify (targetResponse: IncomingMessage, awaited: AwaitedResponse): Classification {
  if (belongsToOther(targetResponse, awaited)) {
    return { result: 'failed', run: 'may-have-run', detail: 'the response belongs to another request', isDeliverable: false, isCorrelated: false }
  }
  const isNotRun = isShedResponse(targetResponse)
  const run = isNotRun ? 'not-run' : 'ran'
  const isDraining = headerTokens(targetResponse.rawHeaders, STATE_HEADER).includes('draining')
  const isFailure = (targetResponse.statusCode ?? 0) >= 500
  const result = isDraining ? 'draining' : isNotRun ? 'shed' : isFailure ? 'failed' : 'answered'
  return { result, run, detail: `the target answered ${targetResponse.statusCode}`, isDeliverable: true, isCorrelated: true }
}

/** The dialect of callers and targets that use the `Camphorbay-` headers. */
export const nativeDialect: Dialect = {
  requestId: () => randomUUID(),
  caller: callerKeyOf,
  parseCallerOptions,
  strippedRequestHeaders: new Set([DEADLINE_HEADER, REQUEST_ID_HEADER]),
  requestHeaders: ({ requestId, remainingMs }) => [REQUEST_ID_HEADER, requestId, DEADLINE_HEADER, String(remainingMs)],
  classify,
  // The entry validates the run state of a target and sets the header itself.
  strippedResponseHeaders: new Set(['camphorbay-kind', REPLAYED_HEADER, REQUEST_ID_HEADER, RUN_HEADER]),
  responseHeaders: ({ requestId, attemptRun, requestRun }) => [REQUEST_ID_HEADER, requestId, ...(attemptRun === 'not-run' ? [RUN_HEADER, requestRun] : [])],
  refusalResponse: toErrorResponse
}
