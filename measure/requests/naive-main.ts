/**
 * Runs a naive proxy in front of the given targets.
 *
 * @example
 * node dist/measure/requests/naive-main.js 127.0.0.2:8000 127.0.0.3:8000
 */
import type { Endpoint } from '../../src/model/index.js'
import { createNaiveProxy } from './naive-proxy.js'

const ADDRESS = '127.0.0.1'

const targets = process.argv.slice(2).map((text): Endpoint => {
  const [address = '', port] = text.split(':')
  return { address, port: Number(port) }
})
const proxy = await createNaiveProxy({ address: ADDRESS, targets, addresses: () => [proxy.endpoint] })
console.log(JSON.stringify({ event: 'proxy.listening', ...proxy.endpoint }))
