/** One attempt at a target: slot, connection, request, and what became of them. */
import type { IncomingMessage } from 'node:http'
import { Effect } from 'effect'
import type { Refusal, RunState } from '../errors/index.js'
import type { Result, Slot } from '../model/index.js'
import type { Body } from './body.js'
import type { Exchange } from './exchange.js'
import { collect, NOTHING_COLLECTED, type Collected, type CollectFailure } from './body-buffer.js'
import type { Dialect, ForwardedRequest, Judgement } from './dialect.js'
import { endToEnd, keptForMsOf, tokensOf } from './headers.js'
import type { Connection, NoConnection, Pools } from './pool.js'
import type { ParsedRequest } from './request.js'
import { send, type Answered } from './send.js'

/** How an attempt ended, or that the head of its answer is there. */
export interface Outcome {
  readonly result: Result | 'exhausted'
  readonly run: RunState
  readonly detail: string
  /** Whether the attempt lasted until the deadline. */
  readonly isLate: boolean
  /** The answer that may be delivered. */
  readonly answer: IncomingMessage | undefined
  /** What was read of the answer's body; the rest is still to come. */
  readonly collected: Collected
}

/** What all attempts of one request share. */
export interface Attempted {
  readonly exchange: Exchange
  readonly request: ParsedRequest
  readonly body: Body
  readonly service: string
  readonly class: string
  readonly deadlineAt: number
  /** Oldest end of the last exchange of a suitable reused connection. */
  readonly idleSince: (now: number) => number
  /** Undefined until the body's prefix was read. */
  readonly fingerprint: () => string | undefined
  readonly stallMs: (now: number) => number | undefined
  readonly mayGiveUp: (target: string) => boolean
  /** Runs once there is a connection, before the first byte is sent. */
  readonly prepare: Effect.Effect<void, Refusal>
  readonly pools: Pools
  readonly dialect: Dialect
  /** Part of an answer's body that is read before the answer is sent on, in bytes; 0 sends it on at once. */
  readonly collectBytes: number
  readonly clock: () => number
}

/** An attempt at the target of a slot. */
export interface Attempt {
  readonly slot: Slot
  /** Connects, prepares, sends, and waits for the head of the answer. */
  readonly run: Effect.Effect<Outcome, Refusal>
  /** Ends the attempt: records its result, returns the slot, keeps or destroys the connection. */
  readonly settle: (result: Result | undefined) => void
  /** Ends the attempt without its answer, for example before a retry or when the caller is gone. */
  readonly drop: (result: Result | undefined) => void
}

/** A shed answer of at most this size is read to its end, so that its connection can be kept. */
const DISCARDED_ANSWER_BYTES = 16 * 1024

/** A target that sends such an answer slowly loses its connection, in ms. */
const DISCARD_LIMIT_MS = 1000

/** The outcome of an attempt without an answer that may be delivered. */
function withoutAnswer (result: Outcome['result'], run: RunState, detail: string, isLate = false): Outcome {
  return { result, run, detail, isLate, answer: undefined, collected: NOTHING_COLLECTED }
}

/** For all other methods, Node announces a chunked body unless a length is given. */
const BODILESS_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'DELETE', 'OPTIONS', 'TRACE'])

/** Fields of the request to the target. */
function fieldsFor ({ request, dialect }: Attempted, forwarded: ForwardedRequest): string[] {
  // The entry answers an expectation itself, and it sets the host.
  const replaced = new Set(['expect', 'host', ...dialect.replacedInRequest])
  const fields = ['Host', request.authority, ...endToEnd(request.headers, replaced)]
  const isChunked = request.hasBody && request.contentLength === undefined
  if (isChunked) fields.push('Transfer-Encoding', 'chunked')
  const needsLength = !isChunked && request.contentLength === undefined && !BODILESS_METHODS.has(request.method)
  if (needsLength) fields.push('Content-Length', '0')
  const takesTrailers = tokensOf(request.headers, 'te').includes('trailers')
  if (takesTrailers) fields.push('TE', 'trailers')
  fields.push('Connection', takesTrailers ? 'keep-alive, TE' : 'keep-alive')
  fields.push(...dialect.requestFields(forwarded))
  return fields
}

/** Sends an interim answer on, as it is. */
function relayInformation ({ exchange }: Attempted, status: number, message: string, rawHeaders: readonly string[]): void {
  // The entry answers expectations itself, and HTTP/1.0 has no interim answers.
  if (status === 100 || exchange.incoming.httpVersion !== '1.1' || exchange.response.headersSent) return
  const lines = rawHeaders.flatMap((name, index) => index % 2 === 0 ? [`${name}: ${rawHeaders[index + 1] ?? ''}\r\n`] : [])
  exchange.incoming.socket.write(`HTTP/1.1 ${status} ${message}\r\n${lines.join('')}\r\n`, 'latin1')
}

/** Keeps the connection of an exchange that ended cleanly in both directions. */
function keepConnection ({ pools, clock }: Attempted, connection: Connection, { answer, outgoing }: Answered): void {
  if (!answer.complete || !outgoing.writableFinished || !outgoing.shouldKeepAlive) return pools.discard(connection)
  const keptForMs = keptForMsOf(answer.headers['keep-alive'])
  // Node detaches from the connection before this event, which may lie behind an answer that was read ahead.
  if (outgoing.closed) return pools.release(connection, clock(), keptForMs)
  outgoing.once('close', () => pools.release(connection, clock(), keptForMs))
}

/** Reads the rest of a short answer that nobody receives. */
function discardAnswer (shared: Attempted, connection: Connection, answered: Answered): void {
  const { answer } = answered
  const length = Number(answer.headers['content-length'] ?? 0)
  if (length > DISCARDED_ANSWER_BYTES) return shared.pools.discard(connection)
  const timeout = setTimeout(() => shared.pools.discard(connection), DISCARD_LIMIT_MS)
  let bytes = 0
  answer.on('data', (chunk: Buffer) => {
    bytes += chunk.byteLength
    if (bytes > DISCARDED_ANSWER_BYTES) shared.pools.discard(connection)
  })
  answer.once('close', () => clearTimeout(timeout))
  answer.once('end', () => keepConnection(shared, connection, answered))
}

const runAttempt = Effect.fnUntraced(function * (
  { exchange, prepare }: Attempted,
  connect: Effect.Effect<Connection, NoConnection>,
  exchangeWith: (opened: Connection) => Effect.Effect<Outcome>
) {
  exchange.countAttempt()
  const opened = yield * Effect.result(connect)
  if (opened._tag === 'Failure') {
    const { kind, detail } = opened.failure
    return withoutAnswer(kind, 'not-run', detail)
  }
  yield * prepare
  const outcome = yield * exchangeWith(opened.success)
  exchange.setSending(false)
  exchange.raiseRun(outcome.run)
  return outcome
})

/** Begins an attempt at the target of a slot. */
export function beginAttempt (shared: Attempted, slot: Slot): Attempt {
  const { exchange, pools, clock } = shared
  const startedAt = clock()
  let sentAt: number | undefined
  let headAt: number | undefined
  let connection: Connection | undefined
  let answered: Answered | undefined
  let isSettled = false

  const connect = Effect.uninterruptibleMask(restore => restore(Effect.suspend(() => pools.acquire({
    service: shared.service,
    target: slot.target,
    idleSince: shared.idleSince(clock()),
    deadlineAt: shared.deadlineAt
  }, clock()))).pipe(Effect.tap(opened => Effect.sync(() => { connection = opened }))))

  const takeBody = (answer: IncomingMessage, { result, run, detail }: Judgement): Effect.Effect<Outcome> => {
    const limitMs = shared.deadlineAt - clock()
    return collect(answer, shared.collectBytes, limitMs).pipe(Effect.match({
      onSuccess: collected => ({ result, run, detail, isLate: false, answer, collected }),
      onFailure: (failure: CollectFailure) => {
        answered = undefined
        return failure === 'late'
          ? withoutAnswer('timeout', run, 'the answer did not end before the deadline', true)
          : withoutAnswer('truncated', run, 'the answer broke off')
      }
    }))
  }

  const takeHead = (head: Answered): Effect.Effect<Outcome> => Effect.suspend(() => {
    headAt = clock()
    const judged = shared.dialect.judge(head.answer, exchange.id)
    const { result, run, detail } = judged
    // The connection of an answer to another request is out of step and is not used again.
    if (judged.isMatched) answered = head
    if (!judged.isDeliverable) return Effect.succeed(withoutAnswer(result, run, detail))
    if (shared.collectBytes > 0) return takeBody(head.answer, judged)
    return Effect.succeed({ result, run, detail, isLate: false, answer: head.answer, collected: NOTHING_COLLECTED })
  })

  const exchangeWith = (opened: Connection): Effect.Effect<Outcome> => Effect.suspend(() => {
    sentAt = clock()
    const remainingMs = shared.deadlineAt - sentAt
    exchange.setSending(true)
    return send(opened, {
      method: shared.request.method,
      path: shared.request.pathAndQuery,
      headers: fieldsFor(shared, { requestId: exchange.id, target: slot.target, remainingMs: Math.max(1, Math.floor(remainingMs)) }),
      sendBody: outgoing => {
        exchange.setAwaited(() => shared.body.isStreaming() && !outgoing.writableNeedDrain ? 'caller' : undefined)
        shared.body.sendTo(outgoing)
      },
      onInformation: ({ statusCode, statusMessage, rawHeaders }) => relayInformation(shared, statusCode, statusMessage, rawHeaders),
      limitMs: Math.max(0, remainingMs),
      stallMs: shared.stallMs(sentAt),
      mayGiveUp: () => shared.mayGiveUp(slot.target.id)
    }).pipe(Effect.matchEffect({
      onSuccess: takeHead,
      onFailure: ({ result, wasSent, detail, isLate }) => Effect.succeed(wasSent
        ? withoutAnswer(result, 'may-have-run', detail, isLate)
        : withoutAnswer('unreachable', 'not-run', detail, isLate))
    }))
  })

  const record = (result: Result | undefined): void => {
    const now = clock()
    const since = sentAt ?? startedAt
    slot.release(result === undefined
      ? undefined
      : {
          requestId: exchange.id,
          service: shared.service,
          target: slot.target.id,
          class: shared.class,
          result,
          latencyMs: Math.max(0, (headAt ?? now) - since),
          fingerprint: shared.fingerprint() ?? ''
        }, now)
  }

  const end = (result: Result | undefined, finish: () => void): void => {
    if (isSettled) return
    isSettled = true
    shared.body.detach()
    finish()
    record(result)
  }

  const freeConnection = (result: Result | undefined): void => {
    if (connection === undefined) return
    if (result === 'silent') return pools.discardSilent(connection)
    if (sentAt === undefined) return pools.release(connection, clock())
    if (answered === undefined || result === 'truncated') return pools.discard(connection)
    keepConnection(shared, connection, answered)
  }

  const dropConnection = (result: Result | undefined): void => {
    const isUnderWay = result === 'cancelled' || result === 'truncated'
    if (connection === undefined || answered === undefined || isUnderWay) return freeConnection(result)
    if (answered.answer.readableEnded) return keepConnection(shared, connection, answered)
    discardAnswer(shared, connection, answered)
  }

  return {
    slot,
    run: Effect.suspend(() => runAttempt(shared, connect, exchangeWith)),
    settle: result => end(result, () => freeConnection(result)),
    drop: result => end(sentAt === undefined && result === 'cancelled' ? undefined : result, () => dropConnection(result))
  }
}
