/** Sends responses to callers: refusals, JSON, replayed responses and responses of targets. */
import type { IncomingMessage } from 'node:http'
import { Effect } from 'effect'
import type { Refusal } from '../errors/index.js'
import type { RecordedResponse } from '../model/index.js'
import { isCompleteResponse, type BufferedBody } from './body-buffer.js'
import type { Dialect } from './dialect.js'
import type { Exchange } from './exchange.js'
import type { ResponseOrder } from './response-order.js'
import { headersFromRecord, REPLAYED_HEADER, REQUEST_ID_HEADER, trailerPairs } from './headers.js'

/** A request body up to this size is drained after a refusal, so that the connection can be kept alive. */
const MAX_DRAIN_BYTES = 64 * 1024
/**
 * Time for a caller to read a refusal while it still sends its body, in ms.
 * Closing at once would reset the connection, and the caller could lose the response.
 */
const LINGER_TIMEOUT_MS = 1000

/** Waits until the response was written to the socket or the caller disconnected. */
function waitUntilSent (exchange: Exchange): Effect.Effect<void> {
  const { response } = exchange
  return Effect.callback(resume => {
    if (response.writableFinished || response.destroyed) return resume(Effect.void)
    const done = (): void => resume(Effect.void)
    response.once('finish', done).once('close', done)
    return Effect.sync(() => { response.off('finish', done).off('close', done) })
  })
}

/** Reads and discards the rest of a request body, for at most `timeoutMs` if given. */
function drain (exchange: Exchange, timeoutMs?: number): Effect.Effect<void> {
  const { incoming } = exchange
  return Effect.callback(resume => {
    if (incoming.complete || incoming.destroyed) {
      incoming.resume()
      return resume(Effect.void)
    }
    const done = (): void => {
      cleanUp()
      resume(Effect.void)
    }
    const timeout = timeoutMs === undefined ? undefined : setTimeout(done, timeoutMs)
    const cleanUp = (): void => {
      clearTimeout(timeout)
      incoming.off('end', done).off('close', done)
    }
    incoming.on('end', done).on('close', done)
    incoming.resume()
    return Effect.sync(cleanUp)
  })
}

/** Whether the rest of the body is short enough to be drained before the next request. */
function canDrainBody (exchange: Exchange): boolean {
  if (exchange.isContinueDue()) return false
  const length = exchange.incoming.headers['content-length']
  if (length === undefined) return exchange.incoming.headers['transfer-encoding'] === undefined
  return Number(length) <= MAX_DRAIN_BYTES
}

/** A response whose body is in memory. */
interface BufferedResponse {
  readonly status: number
  readonly headers: readonly string[]
  readonly body: Uint8Array | string
  readonly close: boolean
}

/** Sends a buffered response and drains the rest of the request. */
const sendBuffered = Effect.fnUntraced(function * (exchange: Exchange, order: ResponseOrder, buffered: BufferedResponse) {
  const { response, incoming } = exchange
  const canKeepAlive = !buffered.close && (incoming.complete || canDrainBody(exchange))
  const isLast = !canKeepAlive || order.isLast(exchange)
  response.writeHead(buffered.status, [...buffered.headers, ...(isLast ? ['Connection', 'close'] : [])])
  response.write(buffered.body)
  exchange.setAwaited(() => 'caller')
  if (canKeepAlive || incoming.complete) {
    yield * drain(exchange)
    response.end()
    return yield * waitUntilSent(exchange)
  }
  // Half-closes the connection: the caller receives the complete response while its remaining bytes are still read.
  incoming.socket.end()
  yield * drain(exchange, LINGER_TIMEOUT_MS)
  incoming.socket.destroySoon()
})

/** Responds with a refusal, or destroys the connection when a response was started. */
export function sendRefusal (exchange: Exchange, dialect: Dialect, order: ResponseOrder, refused: Refusal): Effect.Effect<void> {
  if (exchange.response.headersSent) return Effect.sync(() => { exchange.incoming.socket.destroy() })
  const { status, headers, body, close } = dialect.refusalResponse(refused, exchange.id)
  const { connection, ...otherHeaders } = headers
  return sendBuffered(exchange, order, { status, headers: headersFromRecord(otherHeaders), body, close: close || connection !== undefined })
}

/** Responds with JSON. */
export function sendJson (exchange: Exchange, order: ResponseOrder, value: object): Effect.Effect<void> {
  const body = JSON.stringify(value)
  const headers = [
    'Content-Type', 'application/json; charset=utf-8',
    'Content-Length', String(Buffer.byteLength(body)),
    'Camphorbay-Request-Id', exchange.id
  ]
  return sendBuffered(exchange, order, { status: 200, headers, body, close: false })
}

/** Replays the recorded response of an earlier run. */
export function sendReplay (exchange: Exchange, order: ResponseOrder, recorded: RecordedResponse): Effect.Effect<void> {
  const { 'content-length': length, trailer, ...headers } = recorded.headers
  const body = recorded.body ?? new Uint8Array()
  // A response without body keeps the Content-Length of the target, for example for HEAD.
  const contentLength = body.byteLength > 0 || length === undefined ? String(body.byteLength) : String(length)
  const canHaveLength = recorded.status !== 204 && recorded.status !== 304
  return sendBuffered(exchange, order, {
    status: recorded.status,
    headers: [
      ...headersFromRecord(headers),
      ...(canHaveLength ? ['Content-Length', contentLength] : []),
      REPLAYED_HEADER, 'true', REQUEST_ID_HEADER, exchange.id
    ],
    body,
    close: false
  })
}

/** Head and buffered start of a response to relay, with its callbacks. */
export interface RelayOptions {
  readonly status: number
  readonly headers: readonly string[]
  /** The part of the body that was read already. */
  readonly buffered: BufferedBody
  /** Time within which the target must have sent the complete response, in ms; undefined for no limit. */
  readonly timeoutMs: number | undefined
  /** Receives each chunk of the body. */
  readonly onChunk: ((chunk: Buffer) => void) | undefined
  /** Called when the target has sent the complete response, before the caller has received it. */
  readonly onComplete: () => void
}

/** Removes headers that do not fit the framing of this response. */
function filterFramingHeaders (exchange: Exchange, targetResponse: IncomingMessage, headers: readonly string[]): string[] {
  const isChunked = targetResponse.headers['transfer-encoding'] !== undefined && exchange.incoming.httpVersion === '1.1'
  return headers.filter((_, index) => {
    const name = headers[index - index % 2]?.toLowerCase()
    if (name === 'trailer') return isChunked
    return name !== 'content-length' || targetResponse.statusCode !== 204
  })
}

/**
 * Streams a target's response and its trailers to the caller with backpressure.
 *
 * @returns whether the response was complete; otherwise it must not look complete to the caller
 */
export function relayResponse (
  exchange: Exchange,
  order: ResponseOrder,
  targetResponse: IncomingMessage,
  relay: RelayOptions
): Effect.Effect<boolean> {
  const { response } = exchange
  return Effect.callback<boolean>(resume => {
    const closeHeader = order.isLast(exchange) ? ['Connection', 'close'] : []
    response.writeHead(relay.status, targetResponse.statusMessage ?? '', [...filterFramingHeaders(exchange, targetResponse, relay.headers), ...closeHeader])
    exchange.setAwaited(() => response.writableNeedDrain ? 'caller' : 'target')
    // Flushes the head if the target pauses after it; otherwise, head and body leave in one write.
    const flush = setImmediate(() => response.flushHeaders())
    const cleanUp = (): void => {
      clearImmediate(flush)
      clearTimeout(timeout)
      targetResponse.unpipe(response)
      targetResponse.off('end', onEnd).off('close', onTruncated).off('error', onTruncated)
      if (relay.onChunk !== undefined) targetResponse.off('data', relay.onChunk)
    }
    const onTruncated = (): void => {
      cleanUp()
      resume(Effect.succeed(false))
    }
    const timeout = relay.timeoutMs === undefined ? undefined : setTimeout(onTruncated, Math.ceil(Math.max(0, relay.timeoutMs)))
    const onEnd = (): void => {
      if (!isCompleteResponse(targetResponse)) return onTruncated()
      cleanUp()
      exchange.setAwaited(() => 'caller')
      relay.onComplete()
      const trailers = trailerPairs(targetResponse.rawTrailers)
      if (trailers.length > 0 && response.chunkedEncoding) response.addTrailers(trailers)
      response.end()
      resume(waitUntilSent(exchange).pipe(Effect.as(true)))
    }
    targetResponse.on('end', onEnd).on('close', onTruncated).on('error', onTruncated)
    for (const chunk of relay.buffered.chunks) {
      relay.onChunk?.(chunk)
      response.write(chunk)
    }
    if (relay.buffered.isComplete) return onEnd()
    if (relay.onChunk !== undefined) targetResponse.on('data', relay.onChunk)
    targetResponse.pipe(response, { end: false })
    return Effect.sync(cleanUp)
  }).pipe(
    // After an early response, the rest of the request body has to be drained before the next request.
    Effect.tap(isComplete => isComplete ? drain(exchange) : Effect.void)
  )
}
