/** The callers' listener: accepts connections, enforces limits and shuts down gracefully. */
import { createServer as createHttpServer, type IncomingMessage, type ServerResponse } from 'node:http'
import { createServer as createNetServer, type AddressInfo, type Socket } from 'node:net'
import { Effect, Fiber } from 'effect'
import { refusal } from '../errors/index.js'
import type { Endpoint } from '../model/index.js'
import { createCallerConnection, type CallerConnection } from './connection.js'
import { createExchange } from './exchange.js'
import { nativeDialect } from './native-dialect.js'
import { isDisconnectError, isIgnorableParseError, refuseParseError } from './framing.js'
import type { EntryOptions } from './options.js'
import { createBodyMemory, NO_BODY_MEMORY } from './body-memory.js'
import { createPools } from './pool.js'
import { parseRequest } from './request.js'
import { sendRawRefusal } from './raw-refusal.js'
import { closeIntervalMs, isReleasing, type Shutdown } from './shutdown.js'

/** State of the entry, as shown to operators. */
export interface EntryState {
  readonly requestsInFlight: number
  readonly callerConnections: number
  readonly targetConnections: number
  /** Bytes of responses that the callers' connections have not accepted yet. */
  readonly unsentBytes: number
  readonly stopping: boolean
}

/** The listener of a VM for requests of callers. */
export interface Entry {
  /**
   * Starts to accept connections. Port 0 selects a free port.
   *
   * Errors: the system error when the endpoint cannot be bound.
   *
   * @returns the bound endpoint
   */
  readonly listen: (endpoint: Endpoint) => Effect.Effect<Endpoint, NodeJS.ErrnoException>
  /**
   * Graceful shutdown: stops accepting connections, closes idle ones, and
   * responds to requests that are in flight or still arrive on open connections
   * with `Connection: close`. Completes when no connection is left, at most
   * `stopLimitMs` after `now`. Requests that may not be answered by then are refused.
   *
   * @param now time at which the shutdown was requested, in ms
   */
  readonly stop: (now: number) => Effect.Effect<void>
  readonly state: () => EntryState
}

/** Timeouts are checked this many times within the shortest one. */
const CHECKS_PER_TIMEOUT = 4
const MIN_CHECK_INTERVAL_MS = 10
const MAX_CHECK_INTERVAL_MS = 1000

/** Length of the listen backlog, that is, established connections that wait to be accepted; the default of Node.js. */
const BACKLOG_LENGTH = 511
/**
 * Waits until the poll phase of the event loop has read pending input. After the event loop was
 * blocked, timers run before the poll phase, so a request that has arrived would not be seen yet.
 */
const afterPollPhase = Effect.callback<void>(resume => {
  const immediate = setImmediate(() => resume(Effect.void))
  return Effect.sync(() => clearImmediate(immediate))
})

/**
 * Creates the entry.
 *
 * @example
 * const entry = createEntry(options)
 * const { port } = yield* entry.listen({ address: '127.0.0.1', port: 0 })
 * yield* entry.stop(clock())
 */
export function createEntry (options: EntryOptions): Entry {
  const { limits, clock, log, dialect = nativeDialect } = options
  const connections = new Map<Socket, CallerConnection>()
  const pools = createPools(options)
  const bodyMemory = createBodyMemory(options.bodyMemory ?? NO_BODY_MEMORY)
  let shutdown: Shutdown | undefined
  let acceptedCount = 0
  let checkLoop: Fiber.Fiber<unknown> | undefined

  const context = { options, dialect, pools, bodyMemory, shutdown: () => shutdown }

  // The HTTP server gets its connections from the TCP listener below, because its own `close`
  // would destroy idle connections whose next request has already arrived.
  const http = createHttpServer({
    maxHeaderSize: limits.headerBytes,
    // The periodic checks enforce the timeouts, because their refusals state an error kind.
    headersTimeout: 0,
    requestTimeout: 0,
    keepAliveTimeout: 0,
    requireHostHeader: false,
    insecureHTTPParser: false
  })
  // `maxHeaderSize` bounds the head; with a limit on their number, Node.js would drop further headers silently.
  http.maxHeadersCount = 0

  const accept = (expectsContinue: boolean) => (incoming: IncomingMessage, response: ServerResponse): void => {
    // The fiber of the connection handles its end.
    incoming.on('error', () => {})
    response.on('error', () => {})
    const connection = connections.get(incoming.socket)
    if (connection === undefined) return
    const id = dialect.requestId(incoming.rawHeaders)
    const request = parseRequest(incoming, limits.bodyBytes, dialect)
    connection.accept(createExchange(id, dialect.caller(incoming), incoming, request, response, connection.output, expectsContinue, clock()))
  }
  http.on('request', accept(false))
  http.on('checkContinue', accept(true))
  // Unsupported expectations are refused when the headers are checked.
  http.on('checkExpectation', accept(false))
  http.on('connect', (incoming: IncomingMessage) => {
    connections.get(incoming.socket)?.fail(refusal('bad-request', 'CONNECT is not supported'))
  })
  http.on('clientError', (error: NodeJS.ErrnoException & { reason?: string }, socket: Socket) => {
    if (isIgnorableParseError(error)) return
    const connection = connections.get(socket)
    if (connection === undefined) socket.destroy()
    else if (isDisconnectError(error) || !socket.writable) connection.output.destroy('caller-left')
    else connection.fail(refuseParseError(error))
  })

  const refuseConnection = (socket: Socket): void => {
    socket.on('error', () => {})
    sendRawRefusal(socket, refusal('overloaded', 'this VM has too many connections'))
  }

  const listener = createNetServer({ allowHalfOpen: true, noDelay: true }, socket => {
    acceptedCount++
    if (connections.size >= limits.connections) return refuseConnection(socket)
    const connection = createCallerConnection(context, socket, () => connections.delete(socket))
    connections.set(socket, connection)
    http.emit('connection', socket)
    // The check precedes the parser, so that a request is not served before its last line was checked.
    socket.prependListener('data', connection.inspect)
  })

  const shortestTimeoutMs = Math.min(limits.headerTimeMs, limits.idleTimeMs, limits.requestLimitMs)
  const checkIntervalMs = Math.min(MAX_CHECK_INTERVAL_MS, Math.max(MIN_CHECK_INTERVAL_MS, shortestTimeoutMs / CHECKS_PER_TIMEOUT))
  const checkPeriodically = Effect.forever(Effect.sleep(checkIntervalMs).pipe(Effect.andThen(Effect.sync(() => {
    const now = clock()
    for (const connection of connections.values()) connection.check(now)
    pools.sweep(now)
  }))))

  const listen = (endpoint: Endpoint): Effect.Effect<Endpoint, NodeJS.ErrnoException> => Effect.callback(resume => {
    const onError = (error: NodeJS.ErrnoException): void => resume(Effect.fail(error))
    listener.once('error', onError)
    listener.listen(endpoint.port, endpoint.address, () => {
      listener.off('error', onError)
      listener.on('error', error => log.error('callers.failed', { detail: error.message }))
      checkLoop = Effect.runFork(checkPeriodically)
      const { address, port } = listener.address() as AddressInfo
      log.info('callers.listening', { address, port })
      resume(Effect.succeed({ address, port }))
    })
  })

  const closeIdle = (now: number): void => {
    for (const connection of connections.values()) connection.closeIfIdle(now)
  }

  const releaseResponses = (now: number): void => {
    for (const connection of connections.values()) connection.releaseResponses(now)
  }

  const destroyRemaining = (): void => {
    if (connections.size > 0) log.warn('callers.cut-off', { connections: connections.size })
    for (const { output } of connections.values()) output.destroy('cut-off')
  }

  /**
   * Accepts the connections in the backlog: closing the listener would reset them together with the
   * requests that they carry. Node.js accepts one connection per event loop iteration, and an iteration
   * may have begun before a connection arrived, so the wait ends after two iterations without one.
   * It takes at most as many iterations as the backlog is long, even if new connections keep arriving.
   */
  const acceptPending = Effect.gen(function * () {
    let idleIterations = 0
    for (let iteration = 0; iteration < BACKLOG_LENGTH && idleIterations < 2; iteration++) {
      const acceptedBefore = acceptedCount
      yield * afterPollPhase
      idleIterations = acceptedCount === acceptedBefore ? idleIterations + 1 : 0
    }
  })

  const stop = (now: number): Effect.Effect<void> => Effect.gen(function * () {
    const isFirst = shutdown === undefined
    // Responses that start from now on close their connection.
    const current = shutdown ??= { requestedAt: now, startedAt: clock(), endsAt: now + limits.stopLimitMs }
    yield * acceptPending
    if (isFirst) listener.close()
    log.info('callers.stopping', { connections: connections.size })
    while (connections.size > 0 && clock() < current.endsAt) {
      closeIdle(clock())
      if (isReleasing(current, clock())) releaseResponses(clock())
      yield * Effect.sleep(closeIntervalMs(current, clock()))
      yield * afterPollPhase
    }
    destroyRemaining()
    pools.close()
    if (checkLoop !== undefined) yield * Fiber.interrupt(checkLoop)
    log.info('callers.stopped')
  })

  const countRequestsInFlight = (): number => [...connections.values()].reduce((sum, connection) => sum + connection.inFlight(), 0)

  return {
    listen,
    stop,
    state: () => ({
      requestsInFlight: countRequestsInFlight(),
      callerConnections: connections.size,
      targetConnections: pools.openConnections(),
      unsentBytes: [...connections.keys()].reduce((sum, socket) => sum + socket.writableLength, 0),
      stopping: shutdown !== undefined
    })
  }
}
