/**
 * Distinguishes a connection that the peer closed gracefully from one that it reset.
 *
 * When a reset arrives together with data, libuv reports it as a normal end of stream. The peer address
 * shows the difference: the kernel returns none for a socket that was reset.
 */
import type { Socket } from 'node:net'

const gracefullyClosed = new WeakSet<Socket>()

/** Records whether the peer closes the connection gracefully. Must be called before its first byte is read. */
export function trackPeerClose (socket: Socket): void {
  // Node.js caches the address at its first use, so nothing may read it earlier.
  socket.prependOnceListener('end', () => { if (socket.remoteAddress !== undefined) gracefullyClosed.add(socket) })
}

/** Whether the peer closed the connection gracefully, without a reset. */
export function wasClosedByPeer (socket: Socket): boolean {
  return gracefullyClosed.has(socket)
}
