import { Agent } from 'node:http'
import { Effect, Semaphore } from 'effect'
import type { Clock, Platform, PlatformFailure } from '../model/index.js'
import { createCircuitBreaker, type CircuitBreaker, type CallOutcome, type Permit } from './circuit-breaker.js'
import { decodeCommit, decodeRows, decodeVMs } from './response-decoder.js'
import { exchange, type ExchangeRequest, type ExchangeProgress, type ExchangeResponse, type Server } from './exchange.js'

/** Allows for a slow platform and still leaves time for two attempts within the deadline of most classes. */
const DEFAULT_TIMEOUT_MS = 1500
/** 48 VMs with 16 concurrent calls each stay below the roughly 1000 calls that the platform serves per second. */
const DEFAULT_CONCURRENCY = 16
/** Maximum number of queued calls. Further calls would time out in the queue. */
const DEFAULT_QUEUE_LENGTH = 256
/** Shorter than the usual keep-alive timeout of servers, 5 s, so that the platform does not close a connection under a request. */
const IDLE_CONNECTION_TIMEOUT_MS = 4000

const OK = 200
const NOT_FOUND = 404
/** Statuses with which an overloaded platform rejects a call without effect. After other 5xx statuses the effect is unknown. */
const OVERLOAD_STATUSES: ReadonlySet<number> = new Set([429, 503])
const MIN_SERVER_ERROR = 500

/** Options of {@link createPlatform}. */
export interface PlatformOptions {
  /** IP address of the platform. Example: `'10.0.0.5'`. */
  readonly address: string
  /** Port of the platform. Example: `7000`. */
  readonly port: number
  /** Timeout of a call including its time in the queue, in ms. Default: 1500. */
  readonly timeoutMs?: number
  /** Maximum number of concurrent calls. Default: 16. */
  readonly concurrency?: number
  /** Maximum number of queued calls; further calls fail immediately with `unavailable`. Default: 256. */
  readonly queueLength?: number
  /** Monotonic time in ms. Default: `performance.now`. */
  readonly clock?: Clock
  /** Uniform random number in [0, 1), for jitter. Default: `Math.random`. */
  readonly random?: () => number
}

/** A platform client with a connection pool. */
export interface PlatformClient extends Platform {
  /** Closes all connections; calls in flight fail. */
  readonly close: () => void
}

interface ClientState {
  readonly server: Server
  readonly breaker: CircuitBreaker
  readonly semaphore: Semaphore.Semaphore
  readonly timeoutMs: number
  readonly queueLength: number
  readonly clock: Clock
  queuedCalls: number
}

const unavailable = (detail: string): PlatformFailure => ({ kind: 'unavailable', detail })
const unknown = (detail: string): PlatformFailure => ({ kind: 'unknown', detail })

/** Classifies a failure without a complete response: the call certainly had no effect only if no byte of it was sent. */
function classifyFailure (progress: ExchangeProgress, detail: string): PlatformFailure {
  return progress.mayHaveBeenSent ? unknown(detail) : unavailable(detail)
}

/** Classifies a response with an error status. */
function classifyErrorStatus (status: number): PlatformFailure {
  const detail = `the platform responded with status ${status}`
  return status < MIN_SERVER_ERROR || OVERLOAD_STATUSES.has(status) ? unavailable(detail) : unknown(detail)
}

/** Sends a request. A call without writes is retried once when the platform had closed the pooled connection. */
function send (client: ClientState, request: ExchangeRequest, isRetryable: boolean, progress: ExchangeProgress): Effect.Effect<ExchangeResponse, PlatformFailure> {
  const attempt = exchange(client.server, request, progress)
  const retried = attempt.pipe(Effect.catch(failure => isRetryable && failure.isConnectionReused ? attempt : Effect.fail(failure)))
  return retried.pipe(Effect.mapError(({ detail }) => classifyFailure(progress, detail)))
}

/** Records the outcome of a call, and resizes the semaphore when the breaker's concurrency limit changes. */
function recordOutcome (client: ClientState, permit: Permit, outcome: CallOutcome): Effect.Effect<void> {
  return Effect.suspend(() => {
    const before = client.breaker.concurrencyLimit()
    client.breaker.record(permit, outcome, client.clock())
    const limit = client.breaker.concurrencyLimit()
    return limit === before ? Effect.void : client.semaphore.resize(limit)
  })
}

/** Queues for the semaphore, then runs the effect. `client.queuedCalls` counts the queued calls. */
function runQueued<Value> (client: ClientState, run: Effect.Effect<Value, PlatformFailure>): Effect.Effect<Value, PlatformFailure> {
  return Effect.suspend(() => {
    let isQueued = true
    client.queuedCalls += 1
    const leaveQueue = Effect.sync(() => {
      if (isQueued) client.queuedCalls -= 1
      isQueued = false
    })
    return client.semaphore.withPermit(leaveQueue.pipe(Effect.andThen(run))).pipe(Effect.ensuring(leaveQueue))
  })
}

const classifyResponse = ({ status }: ExchangeResponse): CallOutcome =>
  OVERLOAD_STATUSES.has(status) || status >= MIN_SERVER_ERROR ? 'failed' : 'answered'

/** Runs an admitted call with the queue and the timeout, and records its outcome. */
function callAdmitted (client: ClientState, permit: Permit, request: ExchangeRequest, isRetryable: boolean): Effect.Effect<ExchangeResponse, PlatformFailure> {
  const progress: ExchangeProgress = { mayHaveBeenSent: false }
  const timedOut = Effect.suspend(() => Effect.fail(classifyFailure(progress, `the platform did not respond within ${client.timeoutMs} ms`)))
  return runQueued(client, send(client, request, isRetryable, progress)).pipe(
    Effect.timeoutOrElse({ duration: client.timeoutMs, orElse: () => timedOut }),
    Effect.tapError(() => recordOutcome(client, permit, 'failed')),
    Effect.onInterrupt(() => recordOutcome(client, permit, 'given-up')),
    Effect.tap(response => recordOutcome(client, permit, classifyResponse(response)))
  )
}

/** Makes a call if the queue has capacity and the breaker admits it. */
function call (client: ClientState, request: ExchangeRequest, isRetryable: boolean): Effect.Effect<ExchangeResponse, PlatformFailure> {
  return Effect.suspend(() => {
    const now = client.clock()
    if (client.queuedCalls >= client.queueLength) return Effect.fail(unavailable('the queue for calls to the platform is full'))
    const permit = client.breaker.admit(now)
    if (permit !== undefined) return callAdmitted(client, permit, request, isRetryable)
    return Effect.fail(unavailable(`circuit breaker of the platform is open; next probe in ${Math.ceil(client.breaker.backoffLeftMs(now))} ms`))
  })
}

/** Decodes a successful response. After a malformed response it is unknown whether the call took effect. */
function decodeResponse<Value> (response: ExchangeResponse, decode: (body: Buffer) => Value | undefined): Effect.Effect<Value, PlatformFailure> {
  if (response.status !== OK) return Effect.fail(classifyErrorStatus(response.status))
  const value = decode(response.body)
  return value === undefined ? Effect.fail(unknown('the platform sent a malformed response')) : Effect.succeed(value)
}

const encodeJSON = (value: unknown): Uint8Array => Buffer.from(JSON.stringify(value))

/** Slashes in an object key separate path segments, so they are not encoded. */
const objectPath = (key: string): string => `/objects/${key.split('/').map(encodeURIComponent).join('/')}`

function createClient (options: PlatformOptions): ClientState {
  const { address, port, timeoutMs = DEFAULT_TIMEOUT_MS, concurrency = DEFAULT_CONCURRENCY } = options
  return {
    server: { address, port, agent: new Agent({ keepAlive: true, maxSockets: concurrency, timeout: IDLE_CONNECTION_TIMEOUT_MS }) },
    breaker: createCircuitBreaker({ concurrency, ...(options.random === undefined ? {} : { random: options.random }) }),
    semaphore: Semaphore.makeUnsafe(concurrency),
    timeoutMs,
    queueLength: options.queueLength ?? DEFAULT_QUEUE_LENGTH,
    clock: options.clock ?? (() => performance.now()),
    queuedCalls: 0
  }
}

/**
 * Creates a client of the platform's HTTP API.
 *
 * A call fails with `unavailable` when it certainly had no effect: no byte of it was sent, or the
 * platform rejected it (4xx, 503). Every other failure is `unknown`. Writes are never retried.
 *
 * @example
 * const platform = createPlatform({ address: '127.0.0.1', port: 7000 })
 * await Effect.runPromise(platform.read('config/head')) // { key, value, version } or undefined
 * platform.close()
 */
export function createPlatform (options: PlatformOptions): PlatformClient {
  const client = createClient(options)
  const readMany: Platform['readMany'] = keys =>
    call(client, { method: 'POST', path: '/table/read', body: encodeJSON({ keys }) }, true).pipe(
      Effect.flatMap(response => decodeResponse(response, body => decodeRows(body, keys))))
  return {
    readMany,
    read: key => readMany([key]).pipe(Effect.map(([row]) => row)),
    transact: (writes, conditions = []) => {
      const body = encodeJSON({ writes: writes.map(write => ({ ...write, value: write.value ?? null })), conditions })
      // A transaction without writes has no effect, so it can be retried like a read.
      return call(client, { method: 'POST', path: '/table/transact', body }, writes.length === 0).pipe(
        Effect.flatMap(response => decodeResponse(response, decodeCommit)))
    },
    getObject: key => call(client, { method: 'GET', path: objectPath(key) }, true).pipe(
      Effect.flatMap(response => response.status === NOT_FOUND ? Effect.succeed(undefined) : decodeResponse(response, body => body))),
    putObject: (key, value) => call(client, { method: 'PUT', path: objectPath(key), body: value }, false).pipe(
      Effect.flatMap(response => decodeResponse(response, () => true)), Effect.asVoid),
    listVMs: () => call(client, { method: 'GET', path: '/vms' }, true).pipe(
      Effect.flatMap(response => decodeResponse(response, decodeVMs))),
    close: () => client.server.agent.destroy()
  }
}
