/**
 * The body of a caller's request: its start, or the whole body if there is memory for it, is buffered before
 * the request is forwarded, and the rest is streamed with backpressure.
 */
import type { ClientRequest, IncomingMessage } from 'node:http'
import { Effect } from 'effect'
import { refusal, type Refusal } from '../errors/index.js'
import type { BodyMemory } from './body-memory.js'
import { BODY_PREFIX_BYTES } from './fingerprint.js'
import { trailerPairs } from './headers.js'

/** A request body that is forwarded to a target. */
export interface Body {
  /**
   * Buffers the first 64 KB, and what follows while there is memory for it.
   *
   * @returns whether it stopped after `timeoutMs` before that
   */
  readonly readPrefix: (timeoutMs: number) => Effect.Effect<boolean>
  readonly prefix: () => readonly Uint8Array[]
  /** Whether the body can be sent again: it is empty or buffered completely. */
  readonly isReplayable: () => boolean
  /** Whether the caller has not sent the whole body yet. */
  readonly isStreaming: () => boolean
  /** Streams the body and its trailers to a target and ends the request to it. */
  readonly sendTo: (outgoing: ClientRequest) => void
  /** Stops streaming, for example because the target's connection ended. */
  readonly detach: () => void
  /** Releases the memory of the body when the request has ended. */
  readonly release: () => void
}

/**
 * Creates the body of a request.
 *
 * @param onTooLarge called once when a chunked body exceeds `maxBytes`
 */
export function createBody (
  incoming: IncomingMessage,
  hasBody: boolean,
  maxBytes: number,
  memory: BodyMemory,
  onTooLarge: (refused: Refusal) => void
): Body {
  let chunks: Buffer[] = []
  let receivedBytes = 0
  let reservedBytes = 0
  let isComplete = !hasBody
  let wasForwarded = false
  let detach = (): void => {}

  const countBytes = (chunk: Buffer): void => {
    const wasWithinLimit = receivedBytes <= maxBytes
    receivedBytes += chunk.byteLength
    if (wasWithinLimit && receivedBytes > maxBytes) {
      onTooLarge(refusal('body-too-large', `the body exceeds ${maxBytes} bytes`))
    }
  }

  /** Whether the chunk that was received last can stay in memory, with more to follow. */
  const hasMemoryFor = (chunk: Buffer): boolean => {
    if (receivedBytes <= BODY_PREFIX_BYTES) return true
    if (receivedBytes > memory.perRequest || !memory.reserve(chunk.byteLength)) return false
    reservedBytes += chunk.byteLength
    return true
  }

  const release = (): void => {
    memory.release(reservedBytes)
    reservedBytes = 0
  }

  const readPrefix = (timeoutMs: number): Effect.Effect<boolean> => Effect.callback(resume => {
    if (isComplete) return resume(Effect.succeed(false))
    const stop = (): void => {
      clearTimeout(timeout)
      incoming.off('data', onData).off('end', finish)
      incoming.pause()
    }
    const onData = (chunk: Buffer): void => {
      countBytes(chunk)
      chunks.push(chunk)
      if (hasMemoryFor(chunk)) return
      stop()
      resume(Effect.succeed(false))
    }
    const finish = (): void => {
      isComplete = true
      stop()
      resume(Effect.succeed(false))
    }
    const onTimeout = (): void => {
      stop()
      resume(Effect.succeed(true))
    }
    const timeout = setTimeout(onTimeout, Math.ceil(timeoutMs))
    incoming.on('data', onData).on('end', finish)
    return Effect.sync(stop)
  })

  const isReplayable = (): boolean => isComplete && !wasForwarded

  const finishRequest = (outgoing: ClientRequest): void => {
    const trailers = trailerPairs(incoming.rawTrailers)
    if (trailers.length > 0) outgoing.addTrailers(trailers)
    outgoing.end()
  }

  const sendTo = (outgoing: ClientRequest): void => {
    if (isComplete) {
      for (const chunk of chunks) outgoing.write(chunk)
      return finishRequest(outgoing)
    }
    wasForwarded = true
    for (const chunk of chunks) outgoing.write(chunk)
    chunks = []
    release()
    const finish = (): void => {
      isComplete = true
      finishRequest(outgoing)
    }
    incoming.on('data', countBytes).on('end', finish)
    incoming.pipe(outgoing, { end: false })
    detach = () => {
      incoming.off('end', finish)
      incoming.unpipe(outgoing)
    }
  }

  return {
    readPrefix,
    prefix: () => chunks,
    isReplayable,
    isStreaming: () => !isComplete,
    sendTo,
    detach: () => detach(),
    release
  }
}
