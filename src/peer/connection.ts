/** Wraps a WebSocket in effects that return one message at a time. */
import { Effect } from 'effect'
import type { WebSocket } from 'ws'
import { linkFailure, type LinkFailure } from './failure.js'
import type { Traffic } from './traffic.js'

/** Maximum number of messages queued for the link's fiber. At this number, reading from the socket is paused. */
const MAX_QUEUED_MESSAGES = 256

/** Timeout of the closing handshake, after which the connection is destroyed. */
const CLOSE_TIMEOUT_MS = 500

/** WebSocket reserves close codes from 4000 to 4999 for private use by applications. */
const CLOSE_CODE = 4000

/** Maximum number of characters of a close reason. A close frame holds at most 123 bytes of it. */
const MAX_CLOSE_REASON_LENGTH = 100

/** A connection to a peer. */
export interface Connection {
  /** Waits for the socket to open. */
  readonly awaitOpen: Effect.Effect<void, LinkFailure>
  /** Waits for the next message; fails when the connection has ended. Only one fiber may wait at a time. */
  readonly take: Effect.Effect<Uint8Array, LinkFailure>
  readonly send: (data: Uint8Array) => void
  /** Number of bytes passed to the socket that have not been sent yet because the peer does not read. */
  readonly unsentBytes: () => number
  /** Starts a closing handshake. Messages in transit still arrive. */
  readonly close: (reason: string) => void
  /** Closes the connection without a closing handshake. */
  readonly destroy: () => void
}

type Outcome = { readonly data: Uint8Array } | { readonly failure: LinkFailure }

/** Converts a socket error to a link failure. ws reports protocol errors of the peer with WS_ERR codes. */
function failureOf (error: Error & { readonly code?: string }, isOpen: boolean): LinkFailure {
  const code = error.code ?? ''
  if (code === 'WS_ERR_UNSUPPORTED_MESSAGE_LENGTH') return linkFailure('frame-too-large', error.message)
  if (code.startsWith('WS_ERR')) return linkFailure('frame-malformed', error.message)
  return linkFailure(isOpen ? 'closed-by-peer' : 'connect-failed', error.message)
}

/** Creates a connection from a socket. All listeners are attached synchronously, so no message is lost. */
export function createConnection (socket: WebSocket, traffic: Traffic): Connection {
  const queue: Uint8Array[] = []
  let ended: LinkFailure | undefined
  let pendingTake: ((outcome: Outcome) => void) | undefined
  let pendingOpen: ((failure: LinkFailure | undefined) => void) | undefined

  const end = (failure: LinkFailure): void => {
    ended ??= failure
    pendingOpen?.(ended)
    pendingOpen = undefined
    pendingTake?.({ failure: ended })
    pendingTake = undefined
  }
  const receive = (data: Uint8Array): void => {
    traffic.received(data.length)
    const resume = pendingTake
    if (resume !== undefined) {
      pendingTake = undefined
      resume({ data })
      return
    }
    if (queue.push(data) === MAX_QUEUED_MESSAGES) socket.pause()
  }
  const next = (): Outcome | undefined => {
    const data = queue.shift()
    if (data !== undefined) {
      if (queue.length === 0 && socket.isPaused) socket.resume()
      return { data }
    }
    return ended === undefined ? undefined : { failure: ended }
  }
  const toEffect = (outcome: Outcome): Effect.Effect<Uint8Array, LinkFailure> =>
    'data' in outcome ? Effect.succeed(outcome.data) : Effect.fail(outcome.failure)

  socket.on('open', () => {
    pendingOpen?.(undefined)
    pendingOpen = undefined
  })
  socket.on('message', (data, isBinary) => {
    if (isBinary && data instanceof Uint8Array) return receive(data)
    end(linkFailure('frame-malformed', 'not a binary frame'))
  })
  socket.on('error', error => end(failureOf(error, socket.readyState !== socket.CONNECTING)))
  socket.on('close', (code, reason) => end(linkFailure('closed-by-peer', `${code} ${reason.toString().slice(0, MAX_CLOSE_REASON_LENGTH)}`.trim())))

  return {
    awaitOpen: Effect.callback<void, LinkFailure>(resume => {
      if (ended !== undefined) return resume(Effect.fail(ended))
      if (socket.readyState === socket.OPEN) return resume(Effect.void)
      pendingOpen = failure => resume(failure === undefined ? Effect.void : Effect.fail(failure))
    }),
    take: Effect.suspend(() => {
      const outcome = next()
      if (outcome !== undefined) return toEffect(outcome)
      return Effect.callback<Uint8Array, LinkFailure>(resume => {
        pendingTake = outcome => resume(toEffect(outcome))
        return Effect.sync(() => { pendingTake = undefined })
      })
    }),
    send: data => {
      if (socket.readyState !== socket.OPEN) return
      traffic.sent(data.length)
      // With a callback, a failed write is not thrown; the 'close' event reports it.
      socket.send(data, () => {})
    },
    unsentBytes: () => socket.bufferedAmount,
    close: reason => {
      if (socket.readyState === socket.CONNECTING) return socket.terminate()
      socket.close(CLOSE_CODE, reason.slice(0, MAX_CLOSE_REASON_LENGTH))
      const timer = setTimeout(() => socket.terminate(), CLOSE_TIMEOUT_MS)
      socket.once('close', () => clearTimeout(timer))
    },
    destroy: () => socket.terminate()
  }
}
