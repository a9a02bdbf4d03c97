/** Closes callers' connections without losing bytes that the caller has not received yet. */
import { Socket } from 'node:net'

/** Time for the caller to read the last response and close its side, in ms. */
const LINGER_TIMEOUT_MS = 2000

/**
 * Half-closes a connection after its last byte, and discards what the caller still sends until it closes its side.
 * A close with unread bytes, or bytes that arrive later, would reset the connection, and the system would drop what
 * it has not sent yet.
 *
 * @example
 * socket.end(response)
 * closeLingering(socket)
 */
export function closeLingering (socket: Socket): void {
  // The sockets of callers have another `destroySoon`, which calls this function.
  const close = (): void => Socket.prototype.destroySoon.call(socket)
  if (socket.readableEnded) return close()
  socket.end()
  const timeout = setTimeout(() => socket.destroy(), LINGER_TIMEOUT_MS)
  socket.once('end', close).once('close', () => clearTimeout(timeout))
  socket.resume()
}
