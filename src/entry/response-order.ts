/**
 * The order of the responses on a caller's connection.
 *
 * A response that is ready before its turn is not written to the HTTP server's queue: Node.js would stop reading a
 * connection with more than 16 KB in that queue, and the VM would not notice that the caller closed it.
 */
import { Effect } from 'effect'
import type { Exchange } from './exchange.js'

/** Maximum number of requests of a connection without a complete response; the others are not begun. */
const MAX_PIPELINED = 64

/** The requests of one connection without a complete response, in the order of their arrival. */
export interface ResponseOrder {
  /**
   * Adds a request that has arrived. Returns false, without adding it, if the connection closes after the response
   * to an earlier request; the caller then counts the request as not received.
   *
   * @param isLast whether the connection closes after the response to this request
   */
  readonly add: (exchange: Exchange, isLast: boolean) => boolean
  /** Waits until the responses to all earlier requests were sent. Only then may anything be written for this request. */
  readonly awaitTurn: (exchange: Exchange) => Effect.Effect<void>
  readonly hasTurn: (exchange: Exchange) => boolean
  /** Removes a request whose response was sent. */
  readonly remove: (exchange: Exchange) => void
  /**
   * Decides whether the connection closes after the response to this request, whose head is about to be written.
   * Requests behind it may have run, so their responses are still sent: the connection closes after the last of them.
   * `wantsClose`: no further request is added, for example because the rest of this one cannot be read.
   */
  readonly closesAfter: (exchange: Exchange, wantsClose: boolean) => boolean
  /** Whether a further request may be begun. */
  readonly hasRoom: () => boolean
  /** The requests without a complete response, in their order. */
  readonly pending: () => readonly Exchange[]
  /** Number of requests without a complete response. */
  readonly size: () => number
}

/**
 * Creates the order of a connection without requests.
 *
 * While the connection ends, for example because the VM stops, the newest request whose response can still announce
 * the close is the last one. All requests that were added are served, so a caller that always sends the next request
 * early does not delay the stop.
 *
 * @example
 * const order = createResponseOrder(() => isStopping)
 * if (order.add(exchange, false)) serve(exchange)
 * yield* order.awaitTurn(exchange)
 * exchange.response.end('...')
 */
export function createResponseOrder (isEnding: () => boolean): ResponseOrder {
  const pending: Exchange[] = []
  let isClosing = false
  const waiting = new Map<Exchange, () => void>()
  const canAnnounceClose = (): boolean => pending.some(({ response }) => !response.headersSent)
  const hasTurn = (exchange: Exchange): boolean => pending[0] === exchange
  return {
    add: (exchange, isLast) => {
      if (isClosing || (isEnding() && canAnnounceClose())) return false
      isClosing = isLast
      pending.push(exchange)
      return true
    },
    awaitTurn: exchange => Effect.callback(resume => {
      if (hasTurn(exchange)) return resume(Effect.void)
      waiting.set(exchange, () => resume(Effect.void))
      return Effect.sync(() => { waiting.delete(exchange) })
    }),
    hasTurn,
    remove: exchange => {
      const index = pending.indexOf(exchange)
      if (index >= 0) pending.splice(index, 1)
      const [next] = pending
      if (next === undefined) return
      waiting.get(next)?.()
      waiting.delete(next)
    },
    closesAfter: (exchange, wantsClose) => {
      const isLast = exchange === pending.at(-1)
      isClosing ||= wantsClose || (isEnding() && isLast)
      return isClosing && isLast
    },
    hasRoom: () => pending.length < MAX_PIPELINED,
    pending: () => [...pending],
    size: () => pending.length
  }
}
