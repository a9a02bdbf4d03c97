/**
 * Program that runs the platform stand-in.
 *
 * @example
 * node dist/stand-ins/platform/main.js --port 7000 --address 127.0.0.1
 */
import { parseArgs } from 'node:util'
import { createLog } from '../../src/log/index.js'
import { createPlatformStandIn } from './server.js'

const DEFAULT_PORT = '7000'

const { values } = parseArgs({
  options: {
    /** Port to listen on; 0 selects any free port. Default: 7000. */
    port: { type: 'string', default: DEFAULT_PORT },
    /** IP address to listen on. Default: 127.0.0.1. */
    address: { type: 'string', default: '127.0.0.1' }
  }
})

const log = createLog({ program: 'platform' }, line => process.stdout.write(line + '\n'))
const standIn = await createPlatformStandIn({ address: values.address, port: Number(values.port) })
log.info('platform.listening', { address: standIn.address, port: standIn.port })

for (const signal of ['SIGTERM', 'SIGINT'] as const) {
  process.once(signal, () => {
    standIn.close().then(() => log.info('platform.stopped'), error => log.error('platform.stop-failed', { detail: String(error) }))
  })
}
