/** What is written to a caller's socket besides the responses of the HTTP server, and how the socket ends. */
import type { Socket } from 'node:net'
import type { Refusal } from '../errors/index.js'
import type { Exchange } from './exchange.js'
import { closeLingering } from './lingering-close.js'
import { sendRawRefusal } from './raw-refusal.js'
import type { ResponseOrder } from './response-order.js'

/** An interim (1xx) response of a target. */
export interface InterimResponse {
  readonly status: number
  readonly message: string
  readonly rawHeaders: readonly string[]
}

/** Why a connection ended. */
export type EndReason =
  | 'caller-left'   // the caller closed or reset it
  | 'announced'     // after a response that announced the close
  | 'refused'       // after the refusal of bytes that are no request
  | 'truncated'     // the rest of a response that was begun is missing
  | 'idle'          // no request was pending
  | 'too-slow'      // the caller neither read nor sent
  | 'cut-off'       // the time limit of the stop was reached
  | 'defect'        // an unexpected error

/** The only owner of the writing side of a caller's connection, and of its end. */
export interface CallerOutput {
  /** Relays an interim response unchanged. It is dropped while earlier responses are due, because it would get into them. */
  readonly sendInterim: (exchange: Exchange, interim: InterimResponse) => void
  /** Sends a refusal of input that is not a request, and closes the connection. */
  readonly refuse: (refused: Refusal) => void
  /** Half-closes the connection after what was written; the caller's remaining bytes are still read. */
  readonly end: () => void
  /** Closes the connection when the caller has received what was written. */
  readonly close: (reason: EndReason) => void
  /** Destroys the connection, so that an incomplete response does not look complete. */
  readonly destroy: (reason: EndReason) => void
  /** Why the connection ended; the first reason counts. */
  readonly endReason: () => EndReason
  /** Whether nothing more can be written. */
  readonly hasEnded: () => boolean
}

/**
 * Creates the output of a connection.
 *
 * @example
 * const output = createCallerOutput(socket, order)
 * output.sendInterim(exchange, { status: 103, message: 'Early Hints', rawHeaders: ['Link', '</style.css>'] })
 */
export function createCallerOutput (socket: Socket, order: ResponseOrder): CallerOutput {
  let endReason: EndReason | undefined
  const close = (reason: EndReason): void => {
    endReason ??= reason
    closeLingering(socket)
  }
  // Node.js calls this after the last response.
  socket.destroySoon = () => close('announced')
  return {
    sendInterim: (exchange, { status, message, rawHeaders }) => {
      // The entry handles expectations itself, and HTTP/1.0 has no interim responses.
      if (status === 100 || exchange.incoming.httpVersion !== '1.1') return
      if (exchange.response.headersSent || !order.hasTurn(exchange)) return
      const lines = rawHeaders.flatMap((name, index) => index % 2 === 0 ? [`${name}: ${rawHeaders[index + 1] ?? ''}\r\n`] : [])
      socket.write(`HTTP/1.1 ${status} ${message}\r\n${lines.join('')}\r\n`, 'latin1')
    },
    refuse: refused => {
      endReason ??= 'refused'
      sendRawRefusal(socket, refused)
    },
    end: () => { socket.end() },
    close,
    destroy: reason => {
      endReason ??= reason
      socket.destroy()
    },
    endReason: () => endReason ?? 'caller-left',
    hasEnded: () => socket.writableEnded
  }
}
