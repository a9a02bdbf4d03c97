/** A TCP relay that can drop the bytes of one direction, to simulate a one-way partition. */
import { connect, createServer, type Socket } from 'node:net'
import type { Endpoint } from '../../src/model/index.js'

/** A relay in front of one listener. */
export interface Relay {
  readonly endpoint: Endpoint
  /** Drops bytes from the connecting side; connections stay open. */
  readonly cutForward: () => void
  /** Drops bytes from the listener; connections stay open. */
  readonly cutBackward: () => void
  /** Forwards in both directions again. */
  readonly heal: () => void
  readonly close: () => Promise<void>
}

/** Opens a relay on a free port of the loopback interface. */
export async function openRelay (target: () => Endpoint): Promise<Relay> {
  let isForwardOpen = true
  let isBackwardOpen = true
  const sockets = new Set<Socket>()
  const track = (socket: Socket): void => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => sockets.delete(socket))
  }
  const server = createServer(inbound => {
    const { address, port } = target()
    const outbound = connect(port, address)
    track(inbound)
    track(outbound)
    inbound.on('data', data => { if (isForwardOpen) outbound.write(data) })
    outbound.on('data', data => { if (isBackwardOpen) inbound.write(data) })
    // A cut also hides the close of a connection.
    inbound.on('close', () => { if (isForwardOpen) outbound.destroy() })
    outbound.on('close', () => { if (isBackwardOpen) inbound.destroy() })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const bound = server.address()
  if (bound === null || typeof bound === 'string') throw new Error('the relay has no port')
  return {
    endpoint: { address: '127.0.0.1', port: bound.port },
    cutForward: () => { isForwardOpen = false },
    cutBackward: () => { isBackwardOpen = false },
    heal: () => {
      isForwardOpen = true
      isBackwardOpen = true
    },
    close: () => new Promise(resolve => {
      for (const socket of sockets) socket.destroy()
      server.close(() => resolve())
    })
  }
}
