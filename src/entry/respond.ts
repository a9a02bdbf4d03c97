/** Sends answers to callers: refusals, JSON, recorded answers and answers of targets. */
import type { IncomingMessage } from 'node:http'
import { Effect } from 'effect'
import type { Refusal } from '../errors/index.js'
import type { RecordedAnswer } from '../model/index.js'
import { isWholeAnswer, type Collected } from './body-buffer.js'
import type { Dialect } from './dialect.js'
import type { Exchange } from './exchange.js'
import { fromRecord, REPLAYED, REQUEST_ID, trailerPairs } from './headers.js'

/** How the answers of a connection are sent. */
export interface Delivery {
  /** Whether the connection closes after the answer of this exchange. */
  readonly isClosing: (exchange: Exchange) => boolean
}

/** A body up to this size is read after a refusal, so that the connection can be kept. */
const DRAIN_BYTES = 64 * 1024
/**
 * Time for a caller to read a refusal while it still sends its body, in ms.
 * Closing at once would reset the connection, and the caller could lose the answer.
 */
const LINGER_MS = 1000

/** Resumes when the answer was handed to the system, or the caller is gone. */
function awaitSent (exchange: Exchange): Effect.Effect<void> {
  const { response } = exchange
  return Effect.callback(resume => {
    if (response.writableFinished || response.destroyed) return resume(Effect.void)
    const done = (): void => resume(Effect.void)
    response.once('finish', done).once('close', done)
    return Effect.sync(() => { response.off('finish', done).off('close', done) })
  })
}

/** Reads the rest of a request's body and drops it, for at most `limitMs` if that is given. */
function drain (exchange: Exchange, limitMs?: number): Effect.Effect<void> {
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
    const timeout = limitMs === undefined ? undefined : setTimeout(done, limitMs)
    const cleanUp = (): void => {
      clearTimeout(timeout)
      incoming.off('end', done).off('close', done)
    }
    incoming.on('end', done).on('close', done)
    incoming.resume()
    return Effect.sync(cleanUp)
  })
}

/** Whether the rest of the body is short enough to be read before the next request. */
function isBodyShort (exchange: Exchange): boolean {
  if (exchange.isContinueDue()) return false
  const length = exchange.incoming.headers['content-length']
  if (length === undefined) return exchange.incoming.headers['transfer-encoding'] === undefined
  return Number(length) <= DRAIN_BYTES
}

/** An answer whose body is in memory. */
interface WholeAnswer {
  readonly status: number
  readonly headers: readonly string[]
  readonly body: Uint8Array | string
  readonly close: boolean
}

/** Sends a whole answer and reads the rest of the request. */
const sendWhole = Effect.fnUntraced(function * (exchange: Exchange, delivery: Delivery, answer: WholeAnswer) {
  const { response, incoming } = exchange
  const canKeep = !answer.close && (incoming.complete || isBodyShort(exchange))
  const closes = !canKeep || delivery.isClosing(exchange)
  response.writeHead(answer.status, [...answer.headers, ...(closes ? ['Connection', 'close'] : [])])
  response.write(answer.body)
  exchange.setAwaited(() => 'caller')
  if (canKeep || incoming.complete) {
    yield * drain(exchange)
    response.end()
    return yield * awaitSent(exchange)
  }
  // The caller sees the whole answer and the end, while its own bytes are still read.
  incoming.socket.end()
  yield * drain(exchange, LINGER_MS)
  incoming.socket.destroySoon()
})

/** Answers with a refusal, or destroys the connection when an answer was started. */
export function sendRefusal (exchange: Exchange, dialect: Dialect, delivery: Delivery, refused: Refusal): Effect.Effect<void> {
  if (exchange.response.headersSent) return Effect.sync(() => { exchange.incoming.socket.destroy() })
  const { status, headers, body, close } = dialect.answerRefusal(refused, exchange.id)
  const { connection, ...others } = headers
  return sendWhole(exchange, delivery, { status, headers: fromRecord(others), body, close: close || connection !== undefined })
}

/** Answers with JSON. */
export function sendJson (exchange: Exchange, delivery: Delivery, value: object): Effect.Effect<void> {
  const body = JSON.stringify(value)
  const headers = [
    'Content-Type', 'application/json; charset=utf-8',
    'Content-Length', String(Buffer.byteLength(body)),
    'Camphorbay-Request-Id', exchange.id
  ]
  return sendWhole(exchange, delivery, { status: 200, headers, body, close: false })
}

/** Repeats the recorded answer of an earlier run. */
export function sendReplay (exchange: Exchange, delivery: Delivery, answer: RecordedAnswer): Effect.Effect<void> {
  const { 'content-length': length, trailer, ...headers } = answer.headers
  const body = answer.body ?? new Uint8Array()
  // An answer without body keeps the length that the target stated, for example to HEAD.
  const stated = body.byteLength > 0 || length === undefined ? String(body.byteLength) : String(length)
  const mayHaveLength = answer.status !== 204 && answer.status !== 304
  return sendWhole(exchange, delivery, {
    status: answer.status,
    headers: [
      ...fromRecord(headers),
      ...(mayHaveLength ? ['Content-Length', stated] : []),
      REPLAYED, 'true', REQUEST_ID, exchange.id
    ],
    body,
    close: false
  })
}

/** Streams an answer's body to the caller. */
export interface Relay {
  readonly status: number
  readonly headers: readonly string[]
  /** What was read of the body already. */
  readonly collected: Collected
  /** Sees each part of the body. */
  readonly onChunk: ((chunk: Buffer) => void) | undefined
  /** Called as soon as the target sent the whole answer, before the caller received it. */
  readonly onWhole: () => void
}

/** Removes fields that cannot be sent in the framing of this answer. */
function fitFraming (exchange: Exchange, answer: IncomingMessage, headers: readonly string[]): string[] {
  const isChunked = answer.headers['transfer-encoding'] !== undefined && exchange.incoming.httpVersion === '1.1'
  return headers.filter((_, index) => {
    const name = headers[index - index % 2]?.toLowerCase()
    if (name === 'trailer') return isChunked
    return name !== 'content-length' || answer.statusCode !== 204
  })
}

/**
 * Streams a target's answer to the caller with backpressure, then its trailers.
 *
 * @returns whether the answer was whole; otherwise it must not look complete to the caller
 */
export function relayAnswer (
  exchange: Exchange,
  delivery: Delivery,
  answer: IncomingMessage,
  relay: Relay
): Effect.Effect<boolean> {
  const { response } = exchange
  return Effect.callback<boolean>(resume => {
    const closing = delivery.isClosing(exchange) ? ['Connection', 'close'] : []
    response.writeHead(relay.status, answer.statusMessage ?? '', [...fitFraming(exchange, answer, relay.headers), ...closing])
    exchange.setAwaited(() => response.writableNeedDrain ? 'caller' : 'target')
    // A target that pauses after the head does not hold it back; without a pause, head and body leave in one write.
    const flush = setImmediate(() => response.flushHeaders())
    const cleanUp = (): void => {
      clearImmediate(flush)
      answer.unpipe(response)
      answer.off('end', onEnd).off('close', onEarlyEnd).off('error', onEarlyEnd)
      if (relay.onChunk !== undefined) answer.off('data', relay.onChunk)
    }
    const onEarlyEnd = (): void => {
      cleanUp()
      resume(Effect.succeed(false))
    }
    const onEnd = (): void => {
      if (!isWholeAnswer(answer)) return onEarlyEnd()
      cleanUp()
      exchange.setAwaited(() => 'caller')
      relay.onWhole()
      const trailers = trailerPairs(answer.rawTrailers)
      if (trailers.length > 0 && response.chunkedEncoding) response.addTrailers(trailers)
      response.end()
      resume(awaitSent(exchange).pipe(Effect.as(true)))
    }
    answer.on('end', onEnd).on('close', onEarlyEnd).on('error', onEarlyEnd)
    for (const chunk of relay.collected.chunks) {
      relay.onChunk?.(chunk)
      response.write(chunk)
    }
    if (relay.collected.isWhole) return onEnd()
    if (relay.onChunk !== undefined) answer.on('data', relay.onChunk)
    answer.pipe(response, { end: false })
    return Effect.sync(cleanUp)
  }).pipe(
    // An early answer leaves a body behind that the next request on the connection comes after.
    Effect.tap(isWhole => isWhole ? drain(exchange) : Effect.void)
  )
}
