/** The callers' listener: accepts connections, enforces limits, stops gracefully. */
import { createServer as createHttpServer, type IncomingMessage, type ServerResponse } from 'node:http'
import { createServer as createNetServer, type AddressInfo, type Socket } from 'node:net'
import { Effect, Fiber } from 'effect'
import { refusal } from '../errors/index.js'
import type { Endpoint } from '../model/index.js'
import { createCallerConnection, type CallerConnection } from './connection.js'
import { createExchange } from './exchange.js'
import { ownDialect } from './native-dialect.js'
import { isCallerGone, isHarmlessParseError, refuseParseError } from './framing.js'
import type { EntryOptions } from './options.js'
import { createPools } from './pool.js'
import { refuseRaw } from './raw-refusal.js'

/** What operators see of the entry. */
export interface EntryState {
  readonly requestsInFlight: number
  readonly callerConnections: number
  readonly targetConnections: number
  readonly stopping: boolean
}

/** The callers' listener of a VM. */
export interface Entry {
  /**
   * Starts to accept callers. Port 0 picks a free one.
   *
   * Errors: the system's error when the endpoint is not available.
   *
   * @returns the endpoint that is listened on
   */
  readonly listen: (endpoint: Endpoint) => Effect.Effect<Endpoint, NodeJS.ErrnoException>
  /**
   * Graceful shutdown: accepts no more connections, closes idle ones, and
   * answers what is in flight or still arrives, with `Connection: close`.
   * Ends when no connection is left, at most `stopLimitMs` after `now`.
   *
   * @param now when the shutdown was asked for, in ms
   */
  readonly stop: (now: number) => Effect.Effect<void>
  readonly state: () => EntryState
}

/** Limits of time are checked in steps of a part of the shortest one. */
const CHECKS_PER_LIMIT = 4
const CHECK_MIN_MS = 10
const CHECK_MAX_MS = 1000

/** Connections that the system keeps for the listener until they are accepted; Node's default. */
const BACKLOG_LENGTH = 511
/**
 * Step of the shutdown, in ms. A connection is closed when a whole step
 * passed without a byte, so that a request that had reached the system is served.
 */
const STOP_STEP_MS = 50
/**
 * Lets Node read the input that has arrived. When the process was busy, a timer
 * runs before that input, and a request in it would look as if it had not arrived.
 */
const afterInput = Effect.callback<void>(resume => {
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
  const { limits, clock, log, dialect = ownDialect } = options
  const connections = new Map<Socket, CallerConnection>()
  const pools = createPools(options)
  let isStopping = false
  let accepted = 0
  let checks: Fiber.Fiber<unknown> | undefined

  const shared = { options, dialect, pools, isStopping: () => isStopping }

  // The HTTP server gets its connections from the listener below: its own `close`
  // would destroy idle connections whose next request has already arrived.
  const http = createHttpServer({
    maxHeaderSize: limits.headerBytes,
    // The limits of time are enforced by the checks, whose refusals name their kind.
    headersTimeout: 0,
    requestTimeout: 0,
    keepAliveTimeout: 0,
    requireHostHeader: false,
    insecureHTTPParser: false
  })
  // The bytes of the head are bounded; a bound on the number of fields would drop some silently.
  http.maxHeadersCount = 0

  const accept = (expectsContinue: boolean) => (incoming: IncomingMessage, response: ServerResponse): void => {
    // The end of a caller's connection is handled by its fiber.
    incoming.on('error', () => {})
    response.on('error', () => {})
    const id = dialect.requestId(incoming.rawHeaders)
    const exchange = createExchange(id, dialect.caller(incoming), incoming, response, expectsContinue, clock())
    connections.get(incoming.socket)?.accept(exchange)
  }
  http.on('request', accept(false))
  http.on('checkContinue', accept(true))
  // Another expectation is refused where the fields are checked.
  http.on('checkExpectation', accept(false))
  http.on('connect', (incoming: IncomingMessage) => {
    connections.get(incoming.socket)?.fail(refusal('bad-request', 'CONNECT is not supported'))
  })
  http.on('clientError', (error: NodeJS.ErrnoException & { reason?: string }, socket: Socket) => {
    if (isHarmlessParseError(error)) return
    const connection = connections.get(socket)
    if (connection === undefined || isCallerGone(error) || !socket.writable) socket.destroy()
    else connection.fail(refuseParseError(error))
  })

  const refuseConnection = (socket: Socket): void => {
    socket.on('error', () => {})
    refuseRaw(socket, refusal('overloaded', 'this VM has too many connections'))
  }

  const listener = createNetServer({ allowHalfOpen: true, noDelay: true }, socket => {
    accepted++
    if (connections.size >= limits.connections) return refuseConnection(socket)
    connections.set(socket, createCallerConnection(shared, socket, () => connections.delete(socket)))
    http.emit('connection', socket)
  })

  const shortestMs = Math.min(limits.headerTimeMs, limits.idleTimeMs, limits.requestLimitMs)
  const checkMs = Math.min(CHECK_MAX_MS, Math.max(CHECK_MIN_MS, shortestMs / CHECKS_PER_LIMIT))
  const runChecks = Effect.forever(Effect.sleep(checkMs).pipe(Effect.andThen(Effect.sync(() => {
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
      checks = Effect.runFork(runChecks)
      const { address, port } = listener.address() as AddressInfo
      log.info('callers.listening', { address, port })
      resume(Effect.succeed({ address, port }))
    })
  })

  const closeIdle = (now: number): void => {
    for (const connection of connections.values()) connection.closeIfIdle(now)
  }

  const destroyRest = (): void => {
    if (connections.size > 0) log.warn('callers.cut-off', { connections: connections.size })
    for (const socket of connections.keys()) socket.destroy()
  }

  /**
   * Takes over the connections that the system has established: closing the listener would reset
   * them, with the requests that they carry. Node accepts one of them in each turn of its loop,
   * and a turn may have begun before a connection was there, so two turns without one end the wait.
   * New connections that keep arriving do not delay the stop for more turns than the backlog is long.
   */
  const acceptArrived = Effect.gen(function * () {
    let idleTurns = 0
    for (let turn = 0; turn < BACKLOG_LENGTH && idleTurns < 2; turn++) {
      const before = accepted
      yield * afterInput
      idleTurns = accepted === before ? idleTurns + 1 : 0
    }
  })

  const stop = (now: number): Effect.Effect<void> => Effect.gen(function * () {
    const isFirst = !isStopping
    // Answers that begin from now on close their connection.
    isStopping = true
    yield * acceptArrived
    if (isFirst) listener.close()
    log.info('callers.stopping', { connections: connections.size })
    while (connections.size > 0 && clock() - now < limits.stopLimitMs) {
      closeIdle(clock())
      yield * Effect.sleep(STOP_STEP_MS)
      yield * afterInput
    }
    destroyRest()
    pools.close()
    if (checks !== undefined) yield * Fiber.interrupt(checks)
    log.info('callers.stopped')
  })

  const countInFlight = (): number => [...connections.values()].reduce((sum, connection) => sum + connection.inFlight(), 0)

  return {
    listen,
    stop,
    state: () => ({
      requestsInFlight: countInFlight(),
      callerConnections: connections.size,
      targetConnections: pools.openConnections(),
      stopping: isStopping
    })
  }
}
