/** Buffers the start of a target's response, so that a response that is truncated early can be retried. */
import type { ClientRequest, IncomingMessage } from 'node:http'
import { Effect } from 'effect'
import { wasClosedByPeer } from './peer-close.js'

/** The buffered start of a response body. */
export interface BufferedBody {
  readonly chunks: readonly Buffer[]
  /** Whether this is the whole body; otherwise the response is paused after the chunks. */
  readonly isComplete: boolean
}

/** Why the body could not be buffered: it ended early, or the timeout elapsed. */
export type BufferFailure = 'truncated' | 'late'

/** Statuses of responses that never have a body. */
const BODYLESS_STATUSES: ReadonlySet<number> = new Set([204, 304])

function hasNoBody (targetResponse: IncomingMessage): boolean {
  const { req } = targetResponse as { readonly req?: ClientRequest }
  return BODYLESS_STATUSES.has(targetResponse.statusCode ?? 0) || req?.method === 'HEAD'
}

/**
 * Whether a response that ended is complete. The end of a response without framing headers is the close
 * of its connection, and Node.js counts it as complete even when the connection was reset.
 */
export function isCompleteResponse (targetResponse: IncomingMessage): boolean {
  const { 'content-length': length, 'transfer-encoding': encoding } = targetResponse.headers
  const isCloseDelimited = length === undefined && encoding === undefined
  return targetResponse.complete && (!isCloseDelimited || hasNoBody(targetResponse) || wasClosedByPeer(targetResponse.socket))
}

/** A body of which nothing is buffered. */
export const NOTHING_BUFFERED: BufferedBody = { chunks: [], isComplete: false }

/**
 * Buffers a body until it ends or exceeds `maxBytes`.
 *
 * Errors: `truncated`, and `late` when this takes longer than `timeoutMs`.
 */
export function bufferBody (targetResponse: IncomingMessage, maxBytes: number, timeoutMs: number): Effect.Effect<BufferedBody, BufferFailure> {
  return Effect.callback(resume => {
    const chunks: Buffer[] = []
    let bytes = 0
    const cleanUp = (): void => {
      clearTimeout(timeout)
      targetResponse.off('data', onData).off('end', onEnd).off('close', onTruncated).off('error', onTruncated)
    }
    const resumeWith = (result: Effect.Effect<BufferedBody, BufferFailure>): void => {
      cleanUp()
      resume(result)
    }
    const onTruncated = (): void => resumeWith(Effect.fail('truncated'))
    const onEnd = (): void => {
      if (isCompleteResponse(targetResponse)) resumeWith(Effect.succeed({ chunks, isComplete: true }))
      else onTruncated()
    }
    const onData = (chunk: Buffer): void => {
      chunks.push(chunk)
      bytes += chunk.byteLength
      if (bytes <= maxBytes) return
      targetResponse.pause()
      resumeWith(Effect.succeed({ chunks, isComplete: false }))
    }
    const timeout = setTimeout(() => resumeWith(Effect.fail('late')), Math.ceil(Math.max(0, timeoutMs)))
    targetResponse.on('data', onData).on('end', onEnd).on('close', onTruncated).on('error', onTruncated)
    return Effect.sync(cleanUp)
  })
}
