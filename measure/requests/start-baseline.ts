/** Baseline of the measurements: naive proxies. */
import type { Endpoint } from '../../src/model/index.js'
import { createNaiveProxy } from './naive-proxy.js'
import { PROXY_COUNT, type StartSystem } from './system-under-test.js'

const ADDRESS = '127.0.0.1'

/** Starts naive proxies that share the targets and do not communicate with each other. */
export const startBaseline: StartSystem = async (_service, targets) => {
  const endpoints = targets.map(({ spec, port }): Endpoint => ({ address: spec.address, port }))
  const contacts: Endpoint[] = []
  const proxies = await Promise.all(Array.from({ length: PROXY_COUNT }, () =>
    createNaiveProxy({ address: ADDRESS, targets: endpoints, addresses: () => contacts })))
  contacts.push(...proxies.map(({ endpoint }) => endpoint))
  return {
    contacts,
    setPlatformFaults: () => {},
    close: async () => { await Promise.all(proxies.map(proxy => proxy.close())) }
  }
}
