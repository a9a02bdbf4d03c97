/**
 * Tells whether the peer closed a connection regularly or reset it.
 *
 * When a reset arrives together with data, libuv reports it as a regular end of stream. The kernel
 * still knows the difference: a socket that was reset has no peer address.
 */
import type { Socket } from 'node:net'

const gracefullyClosed = new WeakSet<Socket>()

/** Tracks how the connection ends. Must be called before its first byte is read. */
export function trackPeerClose (socket: Socket): void {
  // Node.js caches the address at its first use, so nothing may read it earlier.
  socket.prependOnceListener('end', () => { if (socket.remoteAddress !== undefined) gracefullyClosed.add(socket) })
}

/** Whether the peer closed the connection regularly, without a reset. */
export function wasClosedByPeer (socket: Socket): boolean {
  return gracefullyClosed.has(socket)
}
