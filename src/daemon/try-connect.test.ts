/** Tests the connection attempts that detect whether a process listens at the address of a target. */
import { createServer, type AddressInfo } from 'node:net'
import { Effect } from 'effect'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { tryConnect } from './try-connect.js'

const connections = suite('connection attempts to draining targets')

/** Used by no other test, so that a closed port is not reused. */
const ADDRESS = '127.63.0.1'

// Guards against a drain that ends while the target still runs, or that never ends.
connections('a connection is accepted while the target listens and refused after it stopped', async () => {
  const server = createServer(socket => socket.on('error', () => {}))
  await new Promise<void>(resolve => { server.listen(0, ADDRESS, resolve) })
  const endpoint = { address: ADDRESS, port: (server.address() as AddressInfo).port }
  assert.is(await Effect.runPromise(tryConnect(endpoint)), 'accepted')
  await new Promise(resolve => { server.close(resolve) })
  assert.is(await Effect.runPromise(tryConnect(endpoint)), 'refused')
})

connections.run()
