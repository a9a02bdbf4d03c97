/**
 * Tells how the peer ended a connection.
 *
 * The event loop's library reports the end of a connection that was reset like one that was closed when
 * the reset arrives together with data. The system knows better: a connection that was reset has no peer.
 */
import type { Socket } from 'node:net'

const closedByPeer = new WeakSet<Socket>()

/** Watches how the connection ends. To be called before its first byte is read. */
export function watchEnd (socket: Socket): void {
  // Node asks the system at the first use of the address only, so nothing may use it before.
  socket.prependOnceListener('end', () => { if (socket.remoteAddress !== undefined) closedByPeer.add(socket) })
}

/** Whether the peer closed the connection, and did not reset it. */
export function wasClosedByPeer (socket: Socket): boolean {
  return closedByPeer.has(socket)
}
