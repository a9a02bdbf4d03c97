/** Tests whether a process listens at the address of a target. */
import { connect } from 'node:net'
import { Effect } from 'effect'
import type { ConnectOutcome } from '../allocation/index.js'
import type { Endpoint } from '../model/index.js'

/** Longer than establishing a connection between two zones takes. After a lost packet, the attempt times out. */
const CONNECT_TIMEOUT_MS = 900

/**
 * Opens a TCP connection and closes it immediately, without sending a request.
 *
 * @example
 * yield * tryConnect({ address: '10.1.0.7', port: 8080 }) // 'accepted'
 */
export function tryConnect ({ address, port }: Endpoint): Effect.Effect<ConnectOutcome> {
  return Effect.callback(resume => {
    const socket = connect({ host: address, port, timeout: CONNECT_TIMEOUT_MS })
    const finish = (outcome: ConnectOutcome): void => {
      socket.destroy()
      resume(Effect.succeed(outcome))
    }
    socket.once('connect', () => finish('accepted'))
    socket.once('timeout', () => finish('unknown'))
    socket.on('error', (error: NodeJS.ErrnoException) => finish(error.code === 'ECONNREFUSED' ? 'refused' : 'unknown'))
    return Effect.sync(() => { socket.destroy() })
  })
}
