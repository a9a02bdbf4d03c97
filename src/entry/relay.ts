/** Relays responses of targets to callers. */
import type { IncomingMessage } from 'node:http'
import { Effect } from 'effect'
import { refusal, type Refusal } from '../errors/index.js'
import { isCompleteResponse, type BufferedBody } from './body-buffer.js'
import type { Exchange } from './exchange.js'
import { trailerPairs } from './headers.js'
import { drain, waitUntilSent } from './respond.js'
import type { ResponseOrder } from './response-order.js'

/** Head and buffered start of a response to relay, with its callbacks. */
export interface RelayOptions {
  readonly status: number
  readonly headers: readonly string[]
  /** The part of the body that was read already. */
  readonly buffered: BufferedBody
  /** Time within which the target must send the rest of the response, in ms; undefined for no limit. */
  readonly remainingMs: () => number | undefined
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

function writeHead (exchange: Exchange, order: ResponseOrder, targetResponse: IncomingMessage, { status, headers }: RelayOptions): void {
  const closeHeader = order.closesAfter(exchange, false) ? ['Connection', 'close'] : []
  exchange.response.writeHead(status, targetResponse.statusMessage ?? '', [...filterFramingHeaders(exchange, targetResponse, headers), ...closeHeader])
}

/** Ends a response whose body was written, with the target's trailers. */
function endResponse ({ response }: Exchange, targetResponse: IncomingMessage): void {
  const trailers = trailerPairs(targetResponse.rawTrailers)
  if (trailers.length > 0 && response.chunkedEncoding) response.addTrailers(trailers)
  response.end()
}

/** Relays a response that was read completely. Its target is released before the response has its turn. */
const relayBuffered = Effect.fnUntraced(function * (exchange: Exchange, order: ResponseOrder, targetResponse: IncomingMessage, relay: RelayOptions) {
  for (const chunk of relay.buffered.chunks) relay.onChunk?.(chunk)
  exchange.setAwaited(() => undefined)
  relay.onComplete()
  yield * order.awaitTurn(exchange)
  writeHead(exchange, order, targetResponse, relay)
  exchange.setAwaited(() => 'caller')
  for (const chunk of relay.buffered.chunks) exchange.response.write(chunk)
  endResponse(exchange, targetResponse)
  yield * waitUntilSent(exchange)
  return true
})

/** Waits for the turn of a response that was read in part. Until then, a truncated or late response becomes a refusal. */
function awaitTurnOfStream (exchange: Exchange, order: ResponseOrder, targetResponse: IncomingMessage, timeoutMs: number | undefined): Effect.Effect<void, Refusal> {
  const isOver = Effect.callback<never, Refusal>(resume => {
    const fail = (refused: Refusal): void => resume(Effect.fail(refused))
    const onTruncated = (): void => fail(refusal('target-failed', 'the response ended before it was complete', { run: exchange.run() }))
    const onLate = (): void => fail(refusal('deadline-exceeded', 'the response waited for earlier ones until the deadline', { run: exchange.run() }))
    if (targetResponse.destroyed) return onTruncated()
    const timeout = timeoutMs === undefined ? undefined : setTimeout(onLate, Math.ceil(Math.max(0, timeoutMs)))
    targetResponse.on('close', onTruncated).on('error', onTruncated)
    return Effect.sync(() => {
      clearTimeout(timeout)
      targetResponse.off('close', onTruncated).off('error', onTruncated)
    })
  })
  if (order.hasTurn(exchange)) return Effect.void
  exchange.setAwaited(() => undefined)
  return Effect.raceFirst(order.awaitTurn(exchange), isOver)
}

/** Streams the rest of a response, with backpressure. False if it was truncated. */
function relayStream (exchange: Exchange, order: ResponseOrder, targetResponse: IncomingMessage, relay: RelayOptions): Effect.Effect<boolean> {
  const { response } = exchange
  return Effect.callback<boolean>(resume => {
    writeHead(exchange, order, targetResponse, relay)
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
    const timeoutMs = relay.remainingMs()
    const timeout = timeoutMs === undefined ? undefined : setTimeout(onTruncated, Math.ceil(Math.max(0, timeoutMs)))
    const onEnd = (): void => {
      if (!isCompleteResponse(targetResponse)) return onTruncated()
      cleanUp()
      exchange.setAwaited(() => 'caller')
      relay.onComplete()
      endResponse(exchange, targetResponse)
      resume(waitUntilSent(exchange).pipe(Effect.as(true)))
    }
    targetResponse.on('end', onEnd).on('close', onTruncated).on('error', onTruncated)
    for (const chunk of relay.buffered.chunks) {
      relay.onChunk?.(chunk)
      response.write(chunk)
    }
    if (relay.onChunk !== undefined) targetResponse.on('data', relay.onChunk)
    targetResponse.pipe(response, { end: false })
    return Effect.sync(cleanUp)
  })
}

/**
 * Relays a target's response and its trailers to the caller when the response has its turn.
 *
 * Errors: `target-failed` and `deadline-exceeded`, if the target's response ended too early or too late before its
 * turn, so that nothing of it was sent.
 *
 * @returns whether the response was complete; otherwise it must not look complete to the caller
 */
export function relayResponse (
  exchange: Exchange,
  order: ResponseOrder,
  targetResponse: IncomingMessage,
  relay: RelayOptions
): Effect.Effect<boolean, Refusal> {
  const relayed = relay.buffered.isComplete
    ? relayBuffered(exchange, order, targetResponse, relay)
    : awaitTurnOfStream(exchange, order, targetResponse, relay.remainingMs()).pipe(
      Effect.andThen(Effect.suspend(() => relayStream(exchange, order, targetResponse, relay))))
  // After an early response, the rest of the request body has to be drained before the next request.
  return relayed.pipe(Effect.tap(isComplete => isComplete ? drain(exchange) : Effect.void))
}
