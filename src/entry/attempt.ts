/** One attempt at a target: its slot, connection, request and outcome. */
import type { IncomingMessage } from 'node:http'
import { Effect } from 'effect'
import type { Refusal, RunState } from '../errors/index.js'
import type { Result, Slot } from '../model/index.js'
import type { Body } from './body.js'
import type { Exchange } from './exchange.js'
import { bufferBody, NOTHING_BUFFERED, type BufferedBody, type BufferFailure } from './body-buffer.js'
import type { Dialect, ForwardedRequest, Classification } from './dialect.js'
import { endToEndHeaders, parseKeepAliveMs, headerTokens } from './headers.js'
import type { Connection, AcquireFailure, Pools } from './pool.js'
import type { ParsedRequest } from './request.js'
import { send, type ReceivedResponse } from './send.js'

/** How an attempt failed, or the response whose head was received. */
export interface AttemptOutcome {
  readonly result: Result | 'exhausted'
  readonly run: RunState
  readonly detail: string
  /** Whether the attempt ended at the deadline. */
  readonly isTimedOut: boolean
  /** The response, if it may be delivered to the caller. */
  readonly targetResponse: IncomingMessage | undefined
  /** The part of the response body that was read already. */
  readonly buffered: BufferedBody
}

/** Context that all attempts of one request share. */
export interface AttemptContext {
  readonly exchange: Exchange
  readonly request: ParsedRequest
  readonly body: Body
  readonly service: string
  readonly class: string
  readonly deadlineAt: number
  /** A pooled connection is reused only if it became idle at this time or later. */
  readonly earliestIdleSince: (now: number) => number
  /** Undefined until the prefix of the body was read. */
  readonly fingerprint: () => string | undefined
  readonly hasTurn: () => boolean
  readonly stallTimeoutMs: (now: number) => number | undefined
  /** Runs after the connection is acquired and before the first byte is sent. */
  readonly beforeSend: Effect.Effect<void, Refusal>
  readonly pools: Pools
  readonly dialect: Dialect
  /** Bytes of a response body that are buffered before the response is relayed; 0 relays it at once. */
  readonly responseBufferBytes: number
  readonly clock: () => number
}

/** An attempt at the target of an acquired slot. */
export interface Attempt {
  readonly slot: Slot
  /** Whether the stall timeout elapsed and no byte was received since. */
  readonly isStalled: () => boolean
  /** Acquires a connection, runs `beforeSend`, sends the request, and waits for the head of the response. */
  readonly run: Effect.Effect<AttemptOutcome, Refusal>
  /** Ends the attempt: records its result, releases the slot, and keeps or destroys the connection. */
  readonly complete: (result: Result | undefined) => void
  /**
   * Ends a stalled attempt because another one was answered, and closes the older idle connections to its target, which
   * are likely to be dead too.
   */
  readonly supersede: (result: 'silent' | undefined) => void
  /** Ends the attempt without delivering its response, for example before a retry or when the caller disconnected. */
  readonly abandon: (result: Result | undefined) => void
}

/** An undelivered response up to this size is drained, so that its connection can be kept alive. */
const MAX_DISCARDED_BYTES = 16 * 1024

/** The connection is discarded when draining a response takes longer, in ms. */
const DISCARD_TIMEOUT_MS = 1000

/** Creates the outcome of an attempt without a response that may be delivered. */
function outcomeWithoutResponse (result: AttemptOutcome['result'], run: RunState, detail: string, isTimedOut = false): AttemptOutcome {
  return { result, run, detail, isTimedOut, targetResponse: undefined, buffered: NOTHING_BUFFERED }
}

/** For all other methods, Node.js uses chunked encoding unless a Content-Length is set. */
const BODYLESS_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'DELETE', 'OPTIONS', 'TRACE'])

/** Creates the headers of the request to the target. */
function requestHeadersFor ({ request, dialect }: AttemptContext, forwarded: ForwardedRequest): string[] {
  // The entry handles expectations itself, and it sets the Host header.
  const strippedHeaders = new Set(['expect', 'host', ...dialect.strippedRequestHeaders])
  const headers = ['Host', request.authority, ...endToEndHeaders(request.headers, strippedHeaders)]
  const isChunked = request.hasBody && request.contentLength === undefined
  if (isChunked) headers.push('Transfer-Encoding', 'chunked')
  const needsLength = !isChunked && request.contentLength === undefined && !BODYLESS_METHODS.has(request.method)
  if (needsLength) headers.push('Content-Length', '0')
  const acceptsTrailers = headerTokens(request.headers, 'te').includes('trailers')
  if (acceptsTrailers) headers.push('TE', 'trailers')
  headers.push('Connection', acceptsTrailers ? 'keep-alive, TE' : 'keep-alive')
  headers.push(...dialect.requestHeaders(forwarded))
  return headers
}

/** Relays an interim (1xx) response. It is dropped while another attempt may still deliver the response. */
function relayInterimResponse ({ exchange, hasTurn }: AttemptContext, status: number, message: string, rawHeaders: readonly string[]): void {
  if (hasTurn()) exchange.output.sendInterim(exchange, { status, message, rawHeaders })
}

/** Returns the connection to the pool if the request was sent, the response was read, and it can be kept alive; otherwise discards it. */
function keepConnection ({ pools, clock }: AttemptContext, connection: Connection, { targetResponse, outgoing }: ReceivedResponse): void {
  const isRead = targetResponse.complete && targetResponse.readableEnded
  if (!isRead || !outgoing.writableFinished || !outgoing.shouldKeepAlive) return pools.discard(connection)
  const keepAliveMs = parseKeepAliveMs(targetResponse.headers['keep-alive'])
  // Node.js detaches from the connection before the 'close' event, which may come after the response was read.
  if (outgoing.closed) return pools.release(connection, clock(), keepAliveMs)
  outgoing.once('close', () => pools.release(connection, clock(), keepAliveMs))
}

/** Reads the rest of a short response that is not delivered. */
function drainResponse (context: AttemptContext, connection: Connection, received: ReceivedResponse): void {
  const { targetResponse } = received
  const length = Number(targetResponse.headers['content-length'] ?? 0)
  if (length > MAX_DISCARDED_BYTES) return context.pools.discard(connection)
  const timeout = setTimeout(() => context.pools.discard(connection), DISCARD_TIMEOUT_MS)
  let bytes = 0
  targetResponse.on('data', (chunk: Buffer) => {
    bytes += chunk.byteLength
    if (bytes > MAX_DISCARDED_BYTES) context.pools.discard(connection)
  })
  targetResponse.once('close', () => clearTimeout(timeout))
  targetResponse.once('end', () => keepConnection(context, connection, received))
}

/** Without a request that was sent, another target may be tried, as if this one could not be reached. */
function withdrawnOutcome (): AttemptOutcome {
  return outcomeWithoutResponse('unreachable', 'not-run', 'the target announced meanwhile that it takes no more requests')
}

const runAttempt = Effect.fnUntraced(function * (
  { exchange, beforeSend }: AttemptContext,
  connect: Effect.Effect<Connection, AcquireFailure>,
  isUsable: () => boolean,
  sendRequest: (acquired: Connection) => Effect.Effect<AttemptOutcome>
) {
  exchange.countAttempt()
  const acquired = yield * Effect.result(connect)
  if (acquired._tag === 'Failure') {
    const { kind, detail } = acquired.failure
    return kind === 'withdrawn' ? withdrawnOutcome() : outcomeWithoutResponse(kind, 'not-run', detail)
  }
  yield * beforeSend
  if (!isUsable()) return withdrawnOutcome()
  const outcome = yield * sendRequest(acquired.success)
  exchange.endSend(outcome.run)
  return outcome
})

/**
 * Creates an attempt at the target of a slot.
 *
 * @param onStalled called once if no byte of the response is received on a reused connection within the stall timeout
 */
export function createAttempt (context: AttemptContext, slot: Slot, onStalled: (afterMs: number) => void): Attempt {
  const { exchange, pools, clock } = context
  const startedAt = clock()
  let sentAt: number | undefined
  let headReceivedAt: number | undefined
  let connection: Connection | undefined
  let received: ReceivedResponse | undefined
  let hasEnded = false
  /** Whether the request was not sent because the target takes no more requests, which is no evidence about its health. */
  let isWithdrawn = false
  /** Bytes received on the connection when the attempt stalled. */
  let stalledAtByte: number | undefined

  const isStalled = (): boolean => stalledAtByte !== undefined && connection?.socket.bytesRead === stalledAtByte

  const isUsable = (): boolean => {
    isWithdrawn ||= slot.isUsable?.(clock()) === false
    return !isWithdrawn
  }

  const connect = Effect.uninterruptibleMask(restore => restore(Effect.suspend(() => pools.acquire({
    service: context.service,
    target: slot.target,
    earliestIdleSince: context.earliestIdleSince(clock()),
    deadlineAt: context.deadlineAt,
    isUsable
  }, clock()))).pipe(Effect.tap(acquired => Effect.sync(() => { connection = acquired }))))

  const bufferResponse = (targetResponse: IncomingMessage, { result, run, detail }: Classification): Effect.Effect<AttemptOutcome> => {
    const timeoutMs = context.deadlineAt - clock()
    return bufferBody(targetResponse, context.responseBufferBytes, timeoutMs).pipe(Effect.match({
      onSuccess: buffered => ({ result, run, detail, isTimedOut: false, targetResponse, buffered }),
      onFailure: (failure: BufferFailure) => {
        received = undefined
        return failure === 'late'
          ? outcomeWithoutResponse('timeout', run, 'the response was not complete before the deadline', true)
          : outcomeWithoutResponse('truncated', run, 'the response ended before it was complete')
      }
    }))
  }

  const handleHead = (head: ReceivedResponse): Effect.Effect<AttemptOutcome> => Effect.suspend(() => {
    headReceivedAt = clock()
    const classification = context.dialect.classify(head.targetResponse, { requestId: exchange.id, isConnectionReused: connection?.isReused ?? false })
    const { result, run, detail } = classification
    // A response to another request shows that the connection is out of sync, so it is not reused.
    if (classification.isCorrelated) received = head
    if (classification.announcement !== undefined) slot.announce?.(classification.announcement, headReceivedAt)
    if (!classification.isDeliverable) return Effect.succeed(outcomeWithoutResponse(result, run, detail))
    if (context.responseBufferBytes > 0) return bufferResponse(head.targetResponse, classification)
    return Effect.succeed({ result, run, detail, isTimedOut: false, targetResponse: head.targetResponse, buffered: NOTHING_BUFFERED })
  })

  const sendRequest = (acquired: Connection): Effect.Effect<AttemptOutcome> => Effect.suspend(() => {
    sentAt = clock()
    const remainingMs = context.deadlineAt - sentAt
    exchange.beginSend()
    return send(acquired, {
      method: context.request.method,
      path: context.request.pathAndQuery,
      headers: requestHeadersFor(context, { requestId: exchange.id, target: slot.target, remainingMs: Math.max(1, Math.floor(remainingMs)) }),
      sendBody: outgoing => {
        exchange.setAwaited(() => context.body.isStreaming() && !outgoing.writableNeedDrain ? 'caller' : undefined)
        context.body.sendTo(outgoing)
      },
      onInformation: ({ statusCode, statusMessage, rawHeaders }) => relayInterimResponse(context, statusCode, statusMessage, rawHeaders),
      headTimeoutMs: Math.max(0, remainingMs),
      stallTimeoutMs: context.stallTimeoutMs(sentAt),
      onStalled: () => {
        stalledAtByte = acquired.socket.bytesRead
        pools.exempt(acquired)
        onStalled(clock() - (sentAt ?? startedAt))
      }
    }).pipe(Effect.matchEffect({
      onSuccess: handleHead,
      onFailure: ({ result, wasSent, detail, isTimedOut }) => Effect.succeed(wasSent
        ? outcomeWithoutResponse(result, 'may-have-run', detail, isTimedOut)
        : outcomeWithoutResponse('unreachable', 'not-run', detail, isTimedOut))
    }))
  })

  const recordObservation = (result: Result | undefined): void => {
    const now = clock()
    const since = sentAt ?? startedAt
    slot.release(result === undefined
      ? undefined
      : {
          requestId: exchange.id,
          service: context.service,
          target: slot.target.id,
          class: context.class,
          result,
          latencyMs: Math.max(0, (headReceivedAt ?? now) - since),
          fingerprint: context.fingerprint() ?? ''
        }, now)
  }

  const end = (result: Result | undefined, finish: () => void): void => {
    if (hasEnded) return
    hasEnded = true
    context.body.detach()
    finish()
    recordObservation(result)
  }

  const releaseConnection = (result: Result | undefined): void => {
    if (connection === undefined) return
    if (result === 'silent') return pools.discardSilent(connection)
    if (sentAt === undefined) return pools.release(connection, clock())
    if (received === undefined || result === 'truncated') return pools.discard(connection)
    keepConnection(context, connection, received)
  }

  const abandonConnection = (result: Result | undefined): void => {
    const isStreaming = result === 'cancelled' || result === 'truncated'
    if (connection === undefined || received === undefined || isStreaming) return releaseConnection(result)
    if (received.targetResponse.readableEnded) return keepConnection(context, connection, received)
    drainResponse(context, connection, received)
  }

  return {
    slot,
    isStalled,
    run: Effect.suspend(() => runAttempt(context, connect, isUsable, sendRequest)),
    complete: result => end(result, () => releaseConnection(result)),
    supersede: result => end(result, () => { if (connection !== undefined) pools.discardSilent(connection) }),
    abandon: result => end(sentAt === undefined && (isWithdrawn || result === 'cancelled') ? undefined : result, () => abandonConnection(result))
  }
}
