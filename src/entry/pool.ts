/** Connections to targets: one bounded pool with keep-alive for each target. */
import { connect, type Socket } from 'node:net'
import { Effect } from 'effect'
import type { Target } from '../model/index.js'
import { watchEnd } from './peer-close.js'

/** A connection to a target, in use by one exchange at a time. */
export interface Connection {
  readonly socket: Socket
  readonly openedAt: number
  /** Whether an exchange ended on it before. */
  readonly isReused: boolean
}

/** Why there is no connection. */
export type NoConnection =
  | { readonly kind: 'unreachable', readonly detail: string }
  /** The limit of connections was reached until the deadline. */
  | { readonly kind: 'exhausted', readonly detail: string }

/** What a request needs of its connection. */
export interface Wanted {
  readonly service: string
  readonly target: Target
  /** Oldest end of the last exchange, on the clock of `now`, that makes a reused connection suitable. */
  readonly idleSince: number
  readonly deadlineAt: number
}

/** The pools of all targets. */
export interface Pools {
  /** Takes an idle connection or opens one; waits while the limit is reached. */
  readonly acquire: (wanted: Wanted, now: number) => Effect.Effect<Connection, NoConnection>
  /**
   * Returns a connection whose exchange ended cleanly.
   *
   * @param keptForMs time for which the target said that it keeps the connection; undefined if it said nothing
   */
  readonly release: (connection: Connection, now: number, keptForMs?: number) => void
  /** Destroys a connection. */
  readonly discard: (connection: Connection) => void
  /** Destroys a connection that went silent, and the older idle ones to its target. */
  readonly discardSilent: (connection: Connection) => void
  /** Closes connections that were idle for long, and lets requests go on where a limit was raised. */
  readonly sweep: (now: number) => void
  /** Closes all idle connections, and keeps none that is released later. */
  readonly close: () => void
  readonly openConnections: () => number
}

export interface PoolOptions {
  readonly connectionLimit: (service: string, target: string, now: number) => number
  /** Time for a connection to be established, in ms. Default: 1500. */
  readonly connectTimeoutMs?: number
  readonly clock: () => number
}

/** A target on the same network accepts within a few ms; a lost SYN is repeated after 1 s. */
const CONNECT_TIMEOUT_MS = 1500
/** Shorter than the usual keep-alive limit of servers, so the target rarely closes first. */
const IDLE_CONNECTION_MS = 4000
/** Longest time for which an idle connection is kept, whatever its target says. */
const IDLE_CONNECTION_MAX_MS = 15_000
/** Part of the time stated by the target after which this VM closes first: a request must not cross the target's close. */
const KEPT_PART = 0.8

interface Idle {
  readonly connection: Connection
  readonly since: number
  /** End of the time in which the target will not close the connection. */
  readonly until: number
  /** Removes the listeners that watch the idle connection. */
  readonly unwatch: () => void
}

interface Waiter {
  readonly wake: () => void
}

/** The connections to one target. */
interface Pool {
  readonly service: string
  readonly target: Target
  /** Newest last. */
  idle: Idle[]
  /** Idle, in use and being opened. */
  count: number
  waiters: Waiter[]
}

/** How long a connection is kept without a request, in ms. */
function idleMs (keptForMs: number | undefined): number {
  return keptForMs === undefined ? IDLE_CONNECTION_MS : Math.min(IDLE_CONNECTION_MAX_MS, keptForMs * KEPT_PART)
}

function keyOf (service: string, target: Target): string {
  // A target may return under its old id at another address.
  return `${service}/${target.id}/${target.address}:${target.port}`
}

/** Opens a connection; the result is resumed once. */
function open (target: Target, timeoutMs: number): Effect.Effect<Socket, NoConnection> {
  return Effect.callback(resume => {
    const socket = connect({ host: target.address, port: target.port, noDelay: true })
    watchEnd(socket)
    // A failure between two exchanges must not end the process; the next user sees a destroyed socket.
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
 * Creates the pools.
 *
 * @example
 * const connection = yield* pools.acquire({ service, target, idleSince: -Infinity, deadlineAt }, now)
 */
export function createPools (options: PoolOptions): Pools {
  const { connectTimeoutMs = CONNECT_TIMEOUT_MS } = options
  const pools = new Map<string, Pool>()
  let isClosed = false
  const poolOf = new WeakMap<Socket, Pool>()

  const removeConnection = (pool: Pool): void => {
    pool.count--
    pool.waiters.shift()?.wake()
  }

  const findPool = (service: string, target: Target): Pool => {
    const key = keyOf(service, target)
    const pool = pools.get(key) ?? { service, target, idle: [], count: 0, waiters: [] }
    pools.set(key, pool)
    return pool
  }

  const discardIdle = (pool: Pool, entry: Idle): void => {
    pool.idle = pool.idle.filter(other => other !== entry)
    entry.unwatch()
    discard(entry.connection)
  }

  const discard = ({ socket }: Connection): void => {
    const pool = poolOf.get(socket)
    socket.destroy()
    if (pool === undefined) return
    poolOf.delete(socket)
    removeConnection(pool)
  }

  /** An idle connection that ends, fails or sends bytes without a request is not used again. */
  const watch = (pool: Pool, connection: Connection, now: number, keptForMs: number | undefined): Idle => {
    const { socket } = connection
    const drop = (): void => discardIdle(pool, entry)
    const events = ['data', 'end', 'error', 'close'] as const
    for (const event of events) socket.on(event, drop)
    socket.resume()
    const unwatch = (): void => { for (const event of events) socket.off(event, drop) }
    const entry: Idle = { connection, since: now, until: now + idleMs(keptForMs), unwatch }
    return entry
  }

  const takeIdle = (pool: Pool, idleSince: number, now: number): Connection | undefined => {
    // The most recently used one is the least likely to be closed by the target.
    const entry = pool.idle.at(-1)
    if (entry === undefined || entry.since < idleSince || entry.until < now) return undefined
    pool.idle.pop()
    entry.unwatch()
    return { ...entry.connection, isReused: true }
  }

  const hasRoom = (pool: Pool, now: number): boolean =>
    pool.count < options.connectionLimit(pool.service, pool.target.id, now)

  const openIn = (pool: Pool, deadlineAt: number): Effect.Effect<Connection, NoConnection> => Effect.suspend(() => {
    const now = options.clock()
    pool.count++
    return open(pool.target, Math.min(connectTimeoutMs, Math.max(1, deadlineAt - now))).pipe(
      Effect.map(socket => {
        poolOf.set(socket, pool)
        return { socket, openedAt: now, isReused: false }
      }),
      Effect.onExit(exit => Effect.sync(() => { if (exit._tag === 'Failure') removeConnection(pool) }))
    )
  })

  const waitForRoom = (pool: Pool, waitMs: number): Effect.Effect<void, NoConnection> => Effect.callback(resume => {
    const waiter: Waiter = {
      wake: () => {
        clearTimeout(timeout)
        resume(Effect.void)
      }
    }
    const leave = (): void => { pool.waiters = pool.waiters.filter(other => other !== waiter) }
    const timeout = setTimeout(() => {
      leave()
      resume(Effect.fail({ kind: 'exhausted', detail: 'the limit of connections to the target is reached' }))
    }, waitMs)
    pool.waiters.push(waiter)
    return Effect.sync(() => {
      clearTimeout(timeout)
      leave()
    })
  })

  const acquire = (wanted: Wanted, now: number): Effect.Effect<Connection, NoConnection> => Effect.suspend(() => {
    const pool = findPool(wanted.service, wanted.target)
    const idle = takeIdle(pool, wanted.idleSince, now)
    if (idle !== undefined) return Effect.succeed(idle)
    // An unsuitable idle connection makes room for a new one.
    const oldest = pool.idle[0]
    if (!hasRoom(pool, now) && oldest !== undefined) discardIdle(pool, oldest)
    if (hasRoom(pool, now)) return openIn(pool, wanted.deadlineAt)
    return waitForRoom(pool, Math.max(0, wanted.deadlineAt - now)).pipe(
      Effect.andThen(() => acquire(wanted, options.clock()))
    )
  })

  const release: Pools['release'] = (connection, now, keptForMs) => {
    const pool = poolOf.get(connection.socket)
    const { socket } = connection
    if (pool === undefined) return
    const isUsable = !socket.destroyed && socket.writable && socket.readable
    if (isClosed || !isUsable || pool.count > options.connectionLimit(pool.service, pool.target.id, now)) return discard(connection)
    pool.idle.push(watch(pool, connection, now, keptForMs))
    pool.waiters.shift()?.wake()
  }

  const discardSilent = (connection: Connection): void => {
    const pool = poolOf.get(connection.socket)
    discard(connection)
    const older = pool?.idle.filter(entry => entry.connection.openedAt <= connection.openedAt) ?? []
    for (const entry of older) discardIdle(pool as Pool, entry)
  }

  const discardIdleUntil = (time: number): void => {
    for (const [key, pool] of pools) {
      for (const entry of pool.idle.filter(({ until }) => until < time)) discardIdle(pool, entry)
      if (pool.count === 0 && pool.waiters.length === 0) pools.delete(key)
    }
  }

  return {
    acquire,
    release,
    discard,
    discardSilent,
    sweep: now => {
      discardIdleUntil(now)
      for (const pool of pools.values()) if (hasRoom(pool, now)) pool.waiters.shift()?.wake()
    },
    close: () => {
      isClosed = true
      discardIdleUntil(Infinity)
    },
    openConnections: () => [...pools.values()].reduce((sum, pool) => sum + pool.count, 0)
  }
}
