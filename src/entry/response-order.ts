/** The order of the responses on a caller's connection. */
import type { Exchange } from './exchange.js'

/** The requests of one connection without a complete response, in the order of their arrival. */
export interface ResponseOrder {
  /**
   * Adds a request that has arrived. Returns false, without adding it, if the connection closes after the response
   * to an earlier request; the caller then counts the request as not received.
   */
  readonly add: (exchange: Exchange) => boolean
  /** Removes a request whose response was sent. */
  readonly remove: (exchange: Exchange) => void
  /** Whether the connection closes after the response to this request, whose head is about to be written. */
  readonly isLast: (exchange: Exchange) => boolean
  /** Number of requests without a complete response. */
  readonly size: () => number
}

/**
 * Creates the order of a connection without requests.
 *
 * While the VM stops, the newest request whose response can still announce the close is the last one. All requests
 * that were added are served, so a caller that always sends the next request early does not delay the stop.
 *
 * @example
 * const order = createResponseOrder(() => isStopping)
 * if (order.add(exchange)) serve(exchange)
 */
export function createResponseOrder (isStopping: () => boolean): ResponseOrder {
  const pending: Exchange[] = []
  const canAnnounceClose = (): boolean => pending.some(({ response }) => !response.headersSent)
  return {
    add: exchange => {
      if (isStopping() && canAnnounceClose()) return false
      pending.push(exchange)
      return true
    },
    remove: exchange => {
      const index = pending.indexOf(exchange)
      if (index >= 0) pending.splice(index, 1)
    },
    isLast: exchange => isStopping() && exchange === pending.at(-1),
    size: () => pending.length
  }
}
