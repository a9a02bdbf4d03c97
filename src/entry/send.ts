/** Sends a request over a connection to a target and waits for the head of the response. */
import { request as startRequest, type ClientRequest, type IncomingMessage, type InformationEvent } from 'node:http'
import { Effect } from 'effect'
import { createMessageLines, responseFramingOf } from './message-lines.js'
import type { Connection } from './pool.js'
import { describeInvalidHead } from './response-head.js'

/** A request to a target. */
export interface OutboundRequest {
  readonly method: string
  readonly path: string
  readonly headers: readonly string[]
  /** Streams the body and ends the request. */
  readonly sendBody: (outgoing: ClientRequest) => void
  readonly onInformation: (information: InformationEvent) => void
  /** Timeout for the head of the response, in ms. */
  readonly headTimeoutMs: number
  /** Timeout for the first byte of the response on a reused connection, in ms. */
  readonly stallTimeoutMs: number | undefined
  /** Called once after `stallTimeoutMs` without a byte; the request goes on. */
  readonly onStalled: () => void
}

/** A response whose head was received, with its request. */
export interface ReceivedResponse {
  readonly targetResponse: IncomingMessage
  readonly outgoing: ClientRequest
}

/** Why no head of a response was received. */
export interface SendFailure {
  readonly result: 'silent' | 'timeout' | 'reset' | 'failed'
  /** Whether any byte of the request may have reached the target. */
  readonly wasSent: boolean
  /** Whether `headTimeoutMs` elapsed. */
  readonly isTimedOut: boolean
  readonly detail: string
}

/** Maximum size of a response head. Targets are trusted more than callers, but their heads are limited too. */
const MAX_RESPONSE_HEADER_BYTES = 64 * 1024

function createRequest ({ socket }: Connection, outbound: OutboundRequest): ClientRequest {
  const outgoing = startRequest({
    method: outbound.method,
    path: outbound.path,
    headers: outbound.headers,
    maxHeaderSize: MAX_RESPONSE_HEADER_BYTES,
    createConnection: () => socket
  })
  // Without an agent, Node.js uses a connection for a single exchange unless this is set.
  outgoing.shouldKeepAlive = true
  // `maxHeaderSize` bounds the head; with a limit on their number, Node.js would drop further headers silently.
  outgoing.maxHeadersCount = 0
  return outgoing
}

/**
 * Sends a request. After an interruption, the state of the connection is undefined,
 * so the connection has to be discarded.
 */
export function send (connection: Connection, outbound: OutboundRequest): Effect.Effect<ReceivedResponse, SendFailure> {
  return Effect.callback(resume => {
    const { socket } = connection
    const writtenBefore = socket.bytesWritten
    const readBefore = socket.bytesRead
    const outgoing = createRequest(connection, outbound)
    const timers: NodeJS.Timeout[] = []
    const cleanUp = (): void => {
      for (const timer of timers) clearTimeout(timer)
      outgoing.off('response', onResponse).off('information', outbound.onInformation).off('close', onClose)
    }
    const fail = (result: SendFailure['result'], detail: string, isTimedOut = false): void => {
      cleanUp()
      const wasSent = socket.bytesWritten > writtenBefore
      outgoing.destroy()
      resume(Effect.fail({ result, wasSent, isTimedOut, detail }))
    }
    const lines = createMessageLines(responseFramingOf(outbound.method))
    let received: IncomingMessage | undefined
    /** Checks bytes before the parser reads them. A response that was received in part is truncated. */
    const inspect = (chunk: Buffer): void => {
      lines.push(chunk)
      const violation = lines.violation()
      if (violation === undefined) return
      if (received === undefined) fail('failed', violation.detail)
      else received.destroy()
    }
    socket.prependListener('data', inspect)
    outgoing.once('close', () => socket.off('data', inspect))
    const isSilent = (): boolean => connection.isReused && socket.bytesRead === readBefore
    const onResponse = (targetResponse: IncomingMessage): void => {
      // An error also ends the response early, and the relay detects that.
      targetResponse.on('error', () => {})
      const invalidity = describeInvalidHead(targetResponse)
      if (invalidity !== undefined) return fail('failed', invalidity)
      cleanUp()
      received = targetResponse
      resume(Effect.succeed({ targetResponse, outgoing }))
    }
    let failure: NodeJS.ErrnoException | undefined
    const onClose = (): void => {
      const isInvalid = failure?.code?.startsWith('HPE_') ?? false
      fail(isInvalid ? 'failed' : 'reset', failure?.message ?? 'the target closed the connection')
    }
    outgoing.on('error', error => { failure ??= error })
    outgoing.on('response', onResponse).on('information', outbound.onInformation).on('close', onClose)
    const onDeadline = (): void => fail(isSilent() ? 'silent' : 'timeout', 'no response before the deadline', true)
    // Node.js truncates fractions of a millisecond, and the timer must not fire before the deadline.
    timers.push(setTimeout(onDeadline, Math.ceil(outbound.headTimeoutMs)))
    if (outbound.stallTimeoutMs !== undefined && connection.isReused) {
      timers.push(setTimeout(() => {
        if (isSilent()) outbound.onStalled()
      }, outbound.stallTimeoutMs))
    }
    outbound.sendBody(outgoing)
    return Effect.sync(cleanUp)
  })
}
