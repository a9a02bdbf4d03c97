/** Sends responses that are in memory to callers: refusals, JSON and replayed responses. */
import { Effect } from 'effect'
import type { Refusal } from '../errors/index.js'
import type { RecordedResponse } from '../model/index.js'
import type { Dialect } from './dialect.js'
import type { Exchange } from './exchange.js'
import type { ResponseOrder } from './response-order.js'
import { headersFromRecord, REPLAYED_HEADER, REQUEST_ID_HEADER } from './headers.js'

/** A request body up to this size is drained after a refusal, so that the connection can be kept alive. */
const MAX_DRAIN_BYTES = 64 * 1024
/**
 * Time for a caller to read a refusal while it still sends its body, in ms.
 * Closing at once would reset the connection, and the caller could lose the response.
 */
const LINGER_TIMEOUT_MS = 1000

/** Waits until the response was written to the socket or the caller disconnected. */
export function waitUntilSent (exchange: Exchange): Effect.Effect<void> {
  const { response } = exchange
  return Effect.callback(resume => {
    if (response.writableFinished || response.destroyed) return resume(Effect.void)
    const done = (): void => resume(Effect.void)
    response.once('finish', done).once('close', done)
    return Effect.sync(() => { response.off('finish', done).off('close', done) })
  })
}

/** Reads and discards the rest of a request body, for at most `timeoutMs` if given. */
export function drain (exchange: Exchange, timeoutMs?: number): Effect.Effect<void> {
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
  yield * order.awaitTurn(exchange)
  const canKeepAlive = !buffered.close && (incoming.complete || canDrainBody(exchange))
  const isLast = order.closesAfter(exchange, !canKeepAlive)
  response.writeHead(buffered.status, [...buffered.headers, ...(isLast ? ['Connection', 'close'] : [])])
  response.write(buffered.body)
  exchange.setAwaited(() => 'caller')
  if (canKeepAlive || incoming.complete) {
    yield * drain(exchange)
    response.end()
    return yield * waitUntilSent(exchange)
  }
  // Half-closes the connection: the caller receives the complete response while its remaining bytes are still read.
  exchange.output.end()
  yield * drain(exchange, LINGER_TIMEOUT_MS)
  exchange.output.close('announced')
})

/** Responds with a refusal, or destroys the connection when a response was started. */
export function sendRefusal (exchange: Exchange, dialect: Dialect, order: ResponseOrder, refused: Refusal): Effect.Effect<void> {
  if (exchange.response.headersSent) return Effect.sync(() => exchange.output.destroy('truncated'))
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
