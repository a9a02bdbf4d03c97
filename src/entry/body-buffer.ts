/** Reads the first part of a target's answer, so that an answer that breaks off early can be replaced. */
import type { ClientRequest, IncomingMessage } from 'node:http'
import { Effect } from 'effect'
import { wasClosedByPeer } from './peer-close.js'

/** What was read of an answer's body. */
export interface Collected {
  readonly chunks: readonly Buffer[]
  /** Whether this is the whole body; otherwise the answer is paused behind the chunks. */
  readonly isWhole: boolean
}

/** Why the first part could not be read. */
export type CollectFailure = 'truncated' | 'late'

/** Statuses of answers that never have a body. */
const BODILESS: ReadonlySet<number> = new Set([204, 304])

function hasNoBody (answer: IncomingMessage): boolean {
  const { req } = answer as { readonly req?: ClientRequest }
  return BODILESS.has(answer.statusCode ?? 0) || req?.method === 'HEAD'
}

/**
 * Whether an answer that ended is whole. One without length ends with its connection, and Node counts it
 * as complete also when that was reset on the way.
 */
export function isWholeAnswer (answer: IncomingMessage): boolean {
  const { 'content-length': length, 'transfer-encoding': encoding } = answer.headers
  const endsWithConnection = length === undefined && encoding === undefined
  return answer.complete && (!endsWithConnection || hasNoBody(answer) || wasClosedByPeer(answer.socket))
}

/** Nothing is read ahead. */
export const NOTHING_COLLECTED: Collected = { chunks: [], isWhole: false }

/**
 * Reads a body up to `limitBytes`.
 *
 * @param limitMs time for it, in ms
 */
export function collect (answer: IncomingMessage, limitBytes: number, limitMs: number): Effect.Effect<Collected, CollectFailure> {
  return Effect.callback(resume => {
    const chunks: Buffer[] = []
    let bytes = 0
    const cleanUp = (): void => {
      clearTimeout(timeout)
      answer.off('data', keep).off('end', finish).off('close', breakOff).off('error', breakOff)
    }
    const end = (outcome: Effect.Effect<Collected, CollectFailure>): void => {
      cleanUp()
      resume(outcome)
    }
    const breakOff = (): void => end(Effect.fail('truncated'))
    const finish = (): void => {
      if (isWholeAnswer(answer)) end(Effect.succeed({ chunks, isWhole: true }))
      else breakOff()
    }
    const keep = (chunk: Buffer): void => {
      chunks.push(chunk)
      bytes += chunk.byteLength
      if (bytes <= limitBytes) return
      answer.pause()
      end(Effect.succeed({ chunks, isWhole: false }))
    }
    const timeout = setTimeout(() => end(Effect.fail('late')), Math.ceil(Math.max(0, limitMs)))
    answer.on('data', keep).on('end', finish).on('close', breakOff).on('error', breakOff)
    return Effect.sync(cleanUp)
  })
}
