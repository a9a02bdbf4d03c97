/** HTTP server of the platform stand-in. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Clock, ListedVM } from '../../src/model/index.js'
import { NO_FAULTS, type Faults } from './faults.js'
import { createCounters, handleRequest, sendResponse, type IncomingRequest, type Stats, type PlatformState } from './operations.js'
import { createStore, type Store } from './store.js'

/** Maximum size of a request body; a batch of 100 notes is below it. */
const MAX_BODY_BYTES = 32 * 1024 * 1024

/** A running platform stand-in. */
export interface PlatformStandIn {
  readonly address: string
  readonly port: number
  readonly store: Store
  /** Replaces the active faults; omitted ones are cleared. */
  readonly setFaults: (faults: Partial<Faults>) => void
  readonly setVMs: (vms: readonly ListedVM[]) => void
  readonly stats: () => Stats
  readonly resetStats: () => void
  /** Stops listening and closes the open connections. */
  readonly close: () => Promise<void>
}

/** Options of {@link createPlatformStandIn}. */
export interface PlatformStandInOptions {
  /** IP address to listen on. Default: `127.0.0.1`. */
  readonly address?: string
  /** Port to listen on; 0 selects any free port. Default: 0. */
  readonly port?: number
  /** Store to serve. Default: an empty store. */
  readonly store?: Store
  /** Monotonic time in ms. Default: `performance.now`. */
  readonly clock?: Clock
}

/** Reads a request body. Returns undefined if the connection is closed early or the body is too large. */
async function readBody (request: IncomingMessage): Promise<Buffer | undefined> {
  const chunks: Buffer[] = []
  let size = 0
  try {
    for await (const chunk of request) {
      size += (chunk as Buffer).length
      if (size > MAX_BODY_BYTES) return undefined
      chunks.push(chunk as Buffer)
    }
  } catch {
    return undefined
  }
  return Buffer.concat(chunks)
}

const sleep = (ms: number): Promise<void> => new Promise(resolve => { setTimeout(resolve, ms) })

/** Handles one request with the active faults. `isAcknowledgementLost` is called once per processed write. */
async function serveWithFaults (state: PlatformState, incoming: IncomingRequest, response: ServerResponse, isAcknowledgementLost: () => boolean): Promise<void> {
  if (incoming.path.startsWith('/control/')) return sendResponse(response, handleRequest(state, incoming))
  const { outage, delayMs } = state.faults
  if (outage === 'hang') return
  if (outage === 'close') { response.destroy(); return }
  if (outage === 'refuse') return sendResponse(response, { status: 503, body: { detail: 'outage' }, hasWritten: false })
  if (delayMs > 0) await sleep(delayMs / 2)
  const result = handleRequest(state, incoming)
  if (result.hasWritten && isAcknowledgementLost()) { response.destroy(); return }
  if (delayMs > 0) await sleep(delayMs / 2)
  if (!response.destroyed) sendResponse(response, result)
}

/** Creates a function that counts writes and returns true for every n-th, whose acknowledgement is dropped. */
function createAcknowledgementLossCounter (state: PlatformState): () => boolean {
  let writes = 0
  return () => {
    const every = state.faults.loseAcknowledgementEvery
    if (every === 0) return false
    writes += 1
    return writes % every === 0
  }
}

/**
 * Starts a platform stand-in.
 *
 * @throws when listening on the address and port fails
 *
 * @example
 * const standIn = await createPlatformStandIn()
 * standIn.setFaults({ outage: 'refuse' })
 * await standIn.close()
 */
export async function createPlatformStandIn (options: PlatformStandInOptions = {}): Promise<PlatformStandIn> {
  const { address = '127.0.0.1', port = 0, store = createStore(), clock = () => performance.now() } = options
  const state: PlatformState = { store, counters: createCounters(), faults: NO_FAULTS, clock }
  const isAcknowledgementLost = createAcknowledgementLossCounter(state)
  const server = createServer((request, response) => {
    readBody(request).then(body => {
      if (body === undefined) { response.destroy(); return }
      const incoming = { method: request.method ?? '', path: decodeURIComponent(request.url ?? ''), body }
      return serveWithFaults(state, incoming, response, isAcknowledgementLost)
    }).catch(() => { response.destroy() })
  })
  // Longer than the client's idle timeout, so that the client closes idle connections first.
  server.keepAliveTimeout = 60_000
  await new Promise<void>((resolve, reject) => server.once('error', reject).listen(port, address, resolve))
  return {
    address,
    port: (server.address() as AddressInfo).port,
    store,
    setFaults: faults => { state.faults = { ...NO_FAULTS, ...faults } },
    setVMs: vms => store.setVMs(vms, clock()),
    stats: () => ({ ...state.counters }),
    resetStats: () => { Object.assign(state.counters, createCounters()) },
    close: () => new Promise(resolve => {
      server.close(() => resolve())
      server.closeAllConnections()
    })
  }
}
