import { createHash } from 'node:crypto'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { sendWorkResponse } from './response.js'
import { nativeTargetDialect, type TargetDialect } from './dialect.js'
import { createFaults, type Fault, type FaultKind } from './faults.js'
import { TOKEN_HEADER } from './integrity.js'
import { createRandom, drawServiceTime } from './random.js'
import type { TargetSpec } from './spec.js'
import { createTally, type Tally } from './tally.js'

/** A target stand-in that runs in this process. */
export interface TargetStandIn {
  readonly spec: TargetSpec
  /** Port on which the target listens. */
  readonly port: number
  readonly setFault: (fault: Fault) => void
  readonly clearFault: (kind: FaultKind) => void
  readonly faults: () => readonly Fault[]
  readonly tally: () => Tally
  readonly resetTally: () => void
  /** Sets the leaving mark: from now on, arriving work is also counted in `afterLeaving`. */
  readonly markLeaving: () => void
  readonly close: () => Promise<void>
}

/** Process-level functions that a stand-in uses. */
export interface TargetHost {
  readonly clock: () => number
  /** Ends the process; called for the fault `crash-on` with `exit`. */
  readonly exit: () => void
}

const MS_PER_SECOND = 1000
const LISTEN_RETRY_MS = 50

/** Length of the request body prefix that is searched for the text of `crash-on`. */
const MAX_BODY_PREFIX_BYTES = 65_536

interface RequestBody {
  readonly prefix: Buffer
  readonly checksum: string
}

const defaultHost: TargetHost = { clock: () => performance.now(), exit: () => process.exit(1) }

const listen = (server: Server, address: string, port: number): Promise<number> => new Promise((resolve, reject) => {
  server.once('error', reject)
  server.listen(port, address, () => {
    server.off('error', reject)
    resolve((server.address() as AddressInfo).port)
  })
})

function firstHeaderValue (request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name]
  return Array.isArray(value) ? value[0] : value
}

/** Hashes the body as a stream and keeps only a prefix, because a body may be larger than the memory. */
async function readBody (request: IncomingMessage): Promise<RequestBody> {
  const hash = createHash('sha256')
  let prefix = Buffer.alloc(0)
  for await (const chunk of request) {
    hash.update(chunk as Buffer)
    if (prefix.length < MAX_BODY_PREFIX_BYTES) prefix = Buffer.concat([prefix, chunk as Buffer])
  }
  return { prefix, checksum: hash.digest('hex') }
}

/**
 * Starts a target stand-in.
 *
 * @example
 * const target = await createTargetStandIn({ id: 'a', address: '127.0.0.2', place: 'riga-a', slots: 4,
 *   time: { distribution: 'fixed', meanMs: 5 }, seed: 1 })
 * target.setFault({ kind: 'error-gray', share: 1 })
 * target.tally().failed
 * await target.close()
 */
export async function createTargetStandIn (spec: TargetSpec, host: TargetHost = defaultHost, dialect: TargetDialect = nativeTargetDialect): Promise<TargetStandIn> {
  const { clock } = host
  const random = createRandom(spec.seed)
  const faults = createFaults()
  const tally = createTally()
  const sockets = new Set<Socket>()
  const silentSockets = new WeakSet<Socket>()
  const server = createServer({ keepAliveTimeout: 0, requestTimeout: 0 })
  let runningWork = 0
  let restartTimer: NodeJS.Timeout | undefined

  const warmUp = (): void => { if (spec.coldStart !== undefined) faults.set({ kind: 'cold', ...spec.coldStart }, clock()) }
  const crash = (downMs: number): void => {
    tally.increment('crashes')
    server.close()
    for (const socket of sockets) socket.resetAndDestroy()
    clearTimeout(restartTimer)
    restartTimer = setTimeout(() => {
      warmUp()
      // Retries while the port is still in use.
      server.once('error', () => crash(LISTEN_RETRY_MS))
      server.listen(port, spec.address)
    }, downMs)
  }
  const crashIfTriggered = (path: string, prefix: Buffer): boolean => {
    const fault = faults.get('crash-on')
    if (fault === undefined || !(path.includes(fault.text) || prefix.includes(fault.text))) return false
    if (fault.exit) host.exit()
    else crash(fault.downMs)
    return true
  }
  const refuse = (response: ServerResponse, headers: Readonly<Record<string, string>>): void => {
    tally.increment('shed')
    response.writeHead(503, { ...headers, ...dialect.notRun, 'content-length': 0 }).end()
  }
  const handleWork = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const now = clock()
    const sender = request.socket.remoteAddress ?? ''
    const draining = faults.get('draining')
    const headers = { ...dialect.responseHeaders(request), ...draining === undefined ? {} : dialect.leaving }
    tally.recordArrival(sender, now)
    if (draining?.refuse === true) return refuse(response, { ...headers, connection: 'close' })
    const pauseMs = faults.pauseMs(now)
    if (pauseMs !== undefined) {
      tally.beginPause(sender, pauseMs, now)
      return refuse(response, { ...headers, 'retry-after': String(pauseMs / MS_PER_SECOND) })
    }
    if (runningWork >= spec.slots) return refuse(response, headers)
    runningWork += 1
    try {
      await runWork(request, response, headers)
    } finally {
      runningWork -= 1
    }
  }
  const runWork = async (request: IncomingMessage, response: ServerResponse, headers: Readonly<Record<string, string>>): Promise<void> => {
    const body = await readBody(request)
    const token = firstHeaderValue(request, TOKEN_HEADER) ?? ''
    tally.recordRun(firstHeaderValue(request, 'idempotency-key') ?? (token || firstHeaderValue(request, 'camphorbay-request-id')) ?? 'unknown', runningWork)
    if (crashIfTriggered(request.url ?? '', body.prefix)) return
    const isCompleted = await sleepUnlessClosed(response, drawServiceTime(spec.time, random) * faults.slowdown(clock()))
    if (!isCompleted) return tally.increment('cancelled')
    const failed = faults.failsWork(clock(), random)
    if (failed) tally.increment('failed')
    tally.increment('finished')
    // Does not wait for the response to be sent, so that a slow or late response does not occupy the slot.
    const workResponse = { request, requestChecksum: body.checksum, token, headers, status: failed ? 500 : 200 }
    if (!silentSockets.has(request.socket)) sendWorkResponse(response, workResponse, faults, random)
  }
  const handleProbe = (response: ServerResponse): void => {
    const healthy = faults.get('lying-probe') === undefined
    const load = healthy ? runningWork / spec.slots : 0
    response.writeHead(healthy ? 200 : 503, { 'content-type': 'application/json' }).end(JSON.stringify({ healthy, load }))
  }

  server.on('connection', socket => {
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
    socket.on('error', () => {})
  })
  server.on('request', (request, response) => {
    if (silentSockets.has(request.socket)) return tally.increment('swallowed')
    if (request.url === '/health' || request.url === '/load') return handleProbe(response)
    // Reading the body fails when the caller disconnects before its end.
    handleWork(request, response).catch(() => response.destroy())
  })
  const port = await listen(server, spec.address, spec.port ?? 0)
  warmUp()
  return {
    spec,
    port,
    setFault: fault => {
      if (fault.kind === 'crash') return crash(fault.downMs)
      if (fault.kind === 'silent') for (const socket of sockets) silentSockets.add(socket)
      else faults.set(fault, clock())
    },
    clearFault: faults.clear,
    faults: faults.list,
    tally: tally.snapshot,
    resetTally: tally.reset,
    markLeaving: () => tally.markLeaving(clock()),
    close: () => new Promise(resolve => {
      clearTimeout(restartTimer)
      server.close(() => resolve())
      for (const socket of sockets) socket.destroy()
    })
  }
}

/** Resolves with true after the duration, or with false as soon as the caller disconnects. */
function sleepUnlessClosed (response: ServerResponse, durationMs: number): Promise<boolean> {
  return new Promise(resolve => {
    const onClose = (): void => {
      clearTimeout(timeout)
      resolve(false)
    }
    const timeout = setTimeout(() => {
      response.off('close', onClose)
      resolve(true)
    }, durationMs)
    response.once('close', onClose)
  })
}
