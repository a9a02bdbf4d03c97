/** Connections to targets: one bounded keep-alive pool per target. */
import { connect, type Socket } from 'node:net'
import { Effect } from 'effect'
import type { Target } from '../model/index.js'
import { trackPeerClose } from './peer-close.js'

/** A connection to a target, used by one exchange at a time. */
export interface Connection {
  readonly socket: Socket
  readonly openedAt: number
  /** Whether the connection served an earlier exchange. */
  readonly isReused: boolean
}

/** Why no connection could be acquired. */
export type AcquireFailure =
  | { readonly kind: 'unreachable', readonly detail: string }
  /** The connection limit was reached until the deadline. */
  | { readonly kind: 'exhausted', readonly detail: string }
  /** The target announced meanwhile that it takes no more requests. */
  | { readonly kind: 'withdrawn', readonly detail: string }

/** Requirements for a connection. */
export interface ConnectionRequest {
  readonly service: string
  readonly target: Target
  /** A pooled connection is reused only if it became idle at this time or later, on the clock of `now`. */
  readonly earliestIdleSince: number
  readonly deadlineAt: number
  /** Whether the target may still get the request; when it may not, the request does not wait any longer. Default: true. */
  readonly isUsable?: (now: number) => boolean
}

/** The connection pools of all targets. */
export interface Pools {
  /** Takes an idle connection or opens one; waits while the connection limit is reached. */
  readonly acquire: (request: ConnectionRequest, now: number) => Effect.Effect<Connection, AcquireFailure>
  /**
   * Returns a connection to its pool after its exchange ended cleanly.
   *
   * @param keepAliveMs idle timeout that the target stated for the connection; undefined if it stated none
   */
  readonly release: (connection: Connection, now: number, keepAliveMs?: number) => void
  /** Destroys a connection. */
  readonly discard: (connection: Connection) => void
  /**
   * Stops counting a connection against the limit, as its exchange made no progress: if it is dead, another one may be
   * opened in its place. It counts again when it is released.
   */
  readonly exempt: (connection: Connection) => void
  /** Destroys an unresponsive connection, and the idle connections to its target that are older. */
  readonly discardSilent: (connection: Connection) => void
  /** Closes expired idle connections, and wakes waiting requests where a limit was raised or the target takes no more requests. */
  readonly sweep: (now: number) => void
  /** Closes all idle connections; connections that are released later are closed too. */
  readonly close: () => void
  readonly openConnections: () => number
}

export interface PoolOptions {
  readonly connectionLimit: (service: string, target: string, now: number) => number
  /** Timeout for establishing a connection, in ms. Default: 1500. */
  readonly connectTimeoutMs?: number
  readonly clock: () => number
}

/** A target on the same network accepts within a few ms, and a lost SYN is retransmitted after 1 s. */
const CONNECT_TIMEOUT_MS = 1500
/** Shorter than the usual keep-alive timeout of servers, so that the target rarely closes first. */
const DEFAULT_IDLE_TIMEOUT_MS = 4000
/** Upper bound of the idle timeout, whatever the target states. */
const MAX_IDLE_TIMEOUT_MS = 15_000
/** Fraction of the stated idle timeout after which this VM closes first, so that no request is sent while the target closes the connection. */
const KEEP_ALIVE_FRACTION = 0.8

interface IdleConnection {
  readonly connection: Connection
  readonly since: number
  /** Time until which the target is expected to keep the connection open. */
  readonly until: number
  /** Removes the event listeners of the idle connection. */
  readonly stopWatching: () => void
}

interface Waiter {
  readonly isUsable: (now: number) => boolean
  readonly wake: () => void
}

/** The connection pool of one target. */
interface Pool {
  readonly service: string
  readonly target: Target
  /** Most recently used last. */
  idle: IdleConnection[]
  /** Number of connections that are idle, in use or being opened. */
  count: number
  /** Connections that do not count because their exchange made no progress. */
  readonly exempted: Set<Socket>
  waiters: Waiter[]
}

/** Idle timeout of a connection, in ms. */
function idleTimeoutMs (keepAliveMs: number | undefined): number {
  return keepAliveMs === undefined ? DEFAULT_IDLE_TIMEOUT_MS : Math.min(MAX_IDLE_TIMEOUT_MS, keepAliveMs * KEEP_ALIVE_FRACTION)
}

function keyOf (service: string, target: Target): string {
  // A target may restart with the same id at another address.
  return `${service}/${target.id}/${target.address}:${target.port}`
}

/** Opens a connection. */
function open (target: Target, timeoutMs: number): Effect.Effect<Socket, AcquireFailure> {
  return Effect.callback(resume => {
    const socket = connect({ host: target.address, port: target.port, noDelay: true })
    trackPeerClose(socket)
    // An unhandled error between two exchanges would end the process; the next exchange finds the socket destroyed.
    socket.on('error', () => {})
    const fail = (detail: string): void => {
      cleanUp()
      socket.destroy()
      resume(Effect.fail({ kind: 'unreachable', detail }))
    }
    const timeout = setTimeout(() => fail(`no connection within ${timeoutMs} ms`), timeoutMs)
    const onError = (error: Error): void => fail(error.message)
    const onConnect = (): void => {
      cleanUp()
      resume(Effect.succeed(socket))
    }
    const cleanUp = (): void => {
      clearTimeout(timeout)
      socket.off('error', onError).off('connect', onConnect)
    }
    socket.on('error', onError).on('connect', onConnect)
    return Effect.sync(() => {
      cleanUp()
      socket.destroy()
    })
  })
}

/**
 * Creates the connection pools.
 *
 * @example
 * const connection = yield* pools.acquire({ service, target, earliestIdleSince: -Infinity, deadlineAt }, now)
 */
export function createPools (options: PoolOptions): Pools {
  const { connectTimeoutMs = CONNECT_TIMEOUT_MS } = options
  const pools = new Map<string, Pool>()
  let isClosed = false
  const poolOf = new WeakMap<Socket, Pool>()

  const decrementCount = (pool: Pool): void => {
    pool.count--
    pool.waiters.shift()?.wake()
  }

  const findPool = (service: string, target: Target): Pool => {
    const key = keyOf(service, target)
    const pool = pools.get(key) ?? { service, target, idle: [], count: 0, exempted: new Set<Socket>(), waiters: [] }
    pools.set(key, pool)
    return pool
  }

  const discardIdle = (pool: Pool, entry: IdleConnection): void => {
    pool.idle = pool.idle.filter(other => other !== entry)
    entry.stopWatching()
    discard(entry.connection)
  }

  const discard = ({ socket }: Connection): void => {
    const pool = poolOf.get(socket)
    socket.destroy()
    if (pool === undefined) return
    poolOf.delete(socket)
    if (!pool.exempted.delete(socket)) decrementCount(pool)
  }

  const exempt = ({ socket }: Connection): void => {
    const pool = poolOf.get(socket)
    if (pool === undefined || pool.exempted.has(socket)) return
    pool.exempted.add(socket)
    decrementCount(pool)
  }

  /** Discards an idle connection that ends, fails or receives unsolicited bytes. */
  const watchIdle = (pool: Pool, connection: Connection, now: number, keepAliveMs: number | undefined): IdleConnection => {
    const { socket } = connection
    const drop = (): void => discardIdle(pool, entry)
    const events = ['data', 'end', 'error', 'close'] as const
    for (const event of events) socket.on(event, drop)
    socket.resume()
    const stopWatching = (): void => { for (const event of events) socket.off(event, drop) }
    const entry: IdleConnection = { connection, since: now, until: now + idleTimeoutMs(keepAliveMs), stopWatching }
    return entry
  }

  const takeIdle = (pool: Pool, earliestIdleSince: number, now: number): Connection | undefined => {
    // The target is least likely to close the most recently used connection.
    const entry = pool.idle.at(-1)
    if (entry === undefined || entry.since < earliestIdleSince || entry.until < now) return undefined
    pool.idle.pop()
    entry.stopWatching()
    return { ...entry.connection, isReused: true }
  }

  const isBelowLimit = (pool: Pool, now: number): boolean =>
    pool.count < options.connectionLimit(pool.service, pool.target.id, now)

  const openInPool = (pool: Pool, deadlineAt: number): Effect.Effect<Connection, AcquireFailure> => Effect.suspend(() => {
    const now = options.clock()
    pool.count++
    return open(pool.target, Math.min(connectTimeoutMs, Math.max(1, deadlineAt - now))).pipe(
      Effect.map(socket => {
        poolOf.set(socket, pool)
        return { socket, openedAt: now, isReused: false }
      }),
      Effect.onExit(exit => Effect.sync(() => { if (exit._tag === 'Failure') decrementCount(pool) }))
    )
  })

  const waitForCapacity = (pool: Pool, isUsable: Waiter['isUsable'], timeoutMs: number): Effect.Effect<void, AcquireFailure> => Effect.callback(resume => {
    const waiter: Waiter = {
      isUsable,
      wake: () => {
        clearTimeout(timeout)
        resume(Effect.void)
      }
    }
    const removeWaiter = (): void => { pool.waiters = pool.waiters.filter(other => other !== waiter) }
    const timeout = setTimeout(() => {
      removeWaiter()
      resume(Effect.fail({ kind: 'exhausted', detail: 'the connection limit of the target is reached' }))
    }, timeoutMs)
    pool.waiters.push(waiter)
    return Effect.sync(() => {
      clearTimeout(timeout)
      removeWaiter()
    })
  })

  const acquire = (request: ConnectionRequest, now: number): Effect.Effect<Connection, AcquireFailure> => Effect.suspend(() => {
    const pool = findPool(request.service, request.target)
    const { isUsable = () => true } = request
    if (!isUsable(now)) {
      // The request may have been woken in place of another one that waits for the same target.
      pool.waiters.shift()?.wake()
      return Effect.fail({ kind: 'withdrawn', detail: 'the target announced meanwhile that it takes no more requests' })
    }
    const idle = takeIdle(pool, request.earliestIdleSince, now)
    if (idle !== undefined) return Effect.succeed(idle)
    // At the limit, an idle connection that cannot be reused is replaced by a new one.
    const oldest = pool.idle[0]
    if (!isBelowLimit(pool, now) && oldest !== undefined) discardIdle(pool, oldest)
    if (isBelowLimit(pool, now)) return openInPool(pool, request.deadlineAt)
    return waitForCapacity(pool, isUsable, Math.max(0, request.deadlineAt - now)).pipe(
      Effect.andThen(() => acquire(request, options.clock()))
    )
  })

  const release: Pools['release'] = (connection, now, keepAliveMs) => {
    const pool = poolOf.get(connection.socket)
    const { socket } = connection
    if (pool === undefined) return
    if (pool.exempted.delete(socket)) pool.count++
    const isUsable = !socket.destroyed && socket.writable && socket.readable
    if (isClosed || !isUsable || pool.count > options.connectionLimit(pool.service, pool.target.id, now)) return discard(connection)
    pool.idle.push(watchIdle(pool, connection, now, keepAliveMs))
    pool.waiters.shift()?.wake()
  }

  const discardSilent = (connection: Connection): void => {
    const pool = poolOf.get(connection.socket)
    discard(connection)
    const older = pool?.idle.filter(entry => entry.connection.openedAt <= connection.openedAt) ?? []
    for (const entry of older) discardIdle(pool as Pool, entry)
  }

  const discardIdleExpiringBefore = (time: number): void => {
    for (const [key, pool] of pools) {
      for (const entry of pool.idle.filter(({ until }) => until < time)) discardIdle(pool, entry)
      if (pool.count + pool.exempted.size + pool.waiters.length === 0) pools.delete(key)
    }
  }

  return {
    acquire,
    release,
    discard,
    exempt,
    discardSilent,
    sweep: now => {
      discardIdleExpiringBefore(now)
      for (const pool of pools.values()) {
        if (isBelowLimit(pool, now) || pool.waiters[0]?.isUsable(now) === false) pool.waiters.shift()?.wake()
      }
    },
    close: () => {
      isClosed = true
      discardIdleExpiringBefore(Infinity)
    },
    openConnections: () => [...pools.values()].reduce((sum, pool) => sum + pool.count + pool.exempted.size, 0)
  }
}
