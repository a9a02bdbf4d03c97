/**
 * Baseline for an entry VM: a reverse proxy that does not coordinate with others. It selects
 * targets by round robin, retries a failed attempt immediately even if the request is not idempotent,
 * ejects a target after consecutive failures, and reuses connections regardless of their age.
 */
import { Agent, createServer, request as httpRequest, type IncomingHttpHeaders, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Endpoint } from '../../src/model/index.js'

/** Running proxy. */
export interface NaiveProxy {
  /** Endpoint that callers connect to. */
  readonly endpoint: Endpoint
  readonly close: () => Promise<void>
}

/** Options of {@link createNaiveProxy}. */
export interface NaiveProxyOptions {
  /** IP address to listen on. Example: `127.0.0.1`. */
  readonly address: string
  /** Port to listen on; 0 selects a free port. Default: 0. */
  readonly port?: number
  readonly targets: readonly Endpoint[]
  /** Proxies that an address response lists; read for each response. */
  readonly addresses: () => readonly Endpoint[]
  /** Timeout of an attempt until the response headers arrive, in ms. Default: 1000. */
  readonly timeoutMs?: number
  /** Monotonic time in ms. Default: `performance.now`. */
  readonly clock?: () => number
}

const MAX_ATTEMPTS = 3
const FAILURES_BEFORE_EJECTION = 5
const EJECTION_MS = 10_000
const DEFAULT_TIMEOUT_MS = 1000
const KEEP_ADDRESSES_MS = 5000
const SERVER_ERROR = 500
const BAD_GATEWAY = 502
const SERVICE_UNAVAILABLE = 503
/** Response bodies are forwarded chunked, so the target's `content-length` is dropped. */
const DROPPED_HEADERS = ['connection', 'keep-alive', 'transfer-encoding', 'content-length'] as const

interface TargetState extends Endpoint {
  consecutiveFailures: number
  ejectedUntil: number
}

/** Selects targets by round robin and skips ejected ones. */
interface RoundRobin {
  readonly next: () => TargetState | undefined
  readonly recordOutcome: (target: TargetState, isFailure: boolean) => void
}

function createRoundRobin (targets: readonly Endpoint[], clock: () => number): RoundRobin {
  const states = targets.map((target): TargetState => ({ ...target, consecutiveFailures: 0, ejectedUntil: -Infinity }))
  let nextIndex = 0
  return {
    next: () => {
      const now = clock()
      for (let tried = 0; tried < states.length; tried++) {
        const state = states[nextIndex++ % states.length]
        if (state !== undefined && state.ejectedUntil <= now) return state
      }
      return undefined
    },
    recordOutcome: (target, isFailure) => {
      target.consecutiveFailures = isFailure ? target.consecutiveFailures + 1 : 0
      if (target.consecutiveFailures < FAILURES_BEFORE_EJECTION) return
      target.consecutiveFailures = 0
      target.ejectedUntil = clock() + EJECTION_MS
    }
  }
}

function selectForwardedHeaders (headers: IncomingHttpHeaders): IncomingHttpHeaders {
  const forwarded = { ...headers }
  for (const name of DROPPED_HEADERS) delete forwarded[name]
  return forwarded
}

async function readBody (request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks)
}

function sendEmptyResponse (response: ServerResponse, status: number): void {
  response.writeHead(status, { 'content-length': 0 }).end()
}

/** Forwards the response until its body ends or fails, and ends the response to the caller in both cases. */
async function forwardResponse (targetResponse: IncomingMessage, response: ServerResponse): Promise<void> {
  response.writeHead(targetResponse.statusCode ?? BAD_GATEWAY, selectForwardedHeaders(targetResponse.headers))
  try {
    for await (const chunk of targetResponse) response.write(chunk)
  } finally {
    response.end()
  }
}

function sendRequest (agent: Agent, target: Endpoint, request: IncomingMessage, body: Buffer, timeoutMs: number): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    const outgoing = httpRequest({
      host: target.address,
      port: target.port,
      method: request.method,
      path: request.url,
      headers: { ...selectForwardedHeaders(request.headers), 'content-length': body.length },
      agent
    }, targetResponse => {
      clearTimeout(timeout)
      resolve(targetResponse)
    })
    const timeout = setTimeout(() => outgoing.destroy(new Error('timeout')), timeoutMs)
    outgoing.on('error', error => {
      clearTimeout(timeout)
      reject(error)
    })
    outgoing.end(body)
  })
}

/**
 * Starts a naive proxy.
 *
 * @throws Error when the proxy cannot listen on the address and port
 *
 * @example
 * const proxy = await createNaiveProxy({ address: '127.0.0.1', targets: [{ address: '127.0.0.2', port: 8000 }], addresses: () => [] })
 */
export async function createNaiveProxy (options: NaiveProxyOptions): Promise<NaiveProxy> {
  const { address, port = 0, targets, addresses, timeoutMs = DEFAULT_TIMEOUT_MS, clock = () => performance.now() } = options
  const roundRobin = createRoundRobin(targets, clock)
  const agent = new Agent({ keepAlive: true })

  const forwardRequest = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const body = await readBody(request)
    for (let attempt = 1; ; attempt++) {
      const target = roundRobin.next()
      if (target === undefined) return sendEmptyResponse(response, SERVICE_UNAVAILABLE)
      const targetResponse = await sendRequest(agent, target, request, body, timeoutMs).catch(() => undefined)
      const isFailure = targetResponse === undefined || (targetResponse.statusCode ?? 0) >= SERVER_ERROR
      roundRobin.recordOutcome(target, isFailure)
      if (!isFailure || attempt === MAX_ATTEMPTS) return targetResponse === undefined ? sendEmptyResponse(response, BAD_GATEWAY) : await forwardResponse(targetResponse, response)
      targetResponse?.resume().on('error', () => {})
    }
  }
  const server = createServer((request, response) => {
    if (request.url?.startsWith('/.camphorbay/addresses') === true) {
      response.end(JSON.stringify({ addresses: addresses(), keepForMs: KEEP_ADDRESSES_MS }))
      return
    }
    // The caller or the target may close its connection in the middle of a body.
    forwardRequest(request, response).catch(() => {})
  })
  await new Promise<void>((resolve, reject) => server.once('error', reject).listen(port, address, resolve))
  return {
    endpoint: { address, port: (server.address() as AddressInfo).port },
    close: () => new Promise(resolve => {
      agent.destroy()
      server.close(() => resolve())
      server.closeAllConnections()
    })
  }
}
