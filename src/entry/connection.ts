/** One connection of a caller: its requests are served one after another by one fiber. */
import type { Socket } from 'node:net'
import { Cause, Effect, Exit, Fiber, Queue } from 'effect'
import { refusal, type Kind, type Refusal } from '../errors/index.js'
import { sendRefusal } from './respond.js'
import type { Dialect } from './dialect.js'
import type { Exchange } from './exchange.js'
import { handleRequest, type Handling } from './request-handler.js'
import type { Ending, EntryOptions, Limits } from './options.js'
import type { Pools } from './pool.js'
import { refuseRaw } from './raw-refusal.js'

/** A connection of a caller. */
export interface CallerConnection {
  readonly socket: Socket
  /** Adds a request, also one that the caller pipelined. */
  readonly accept: (exchange: Exchange) => void
  /** Refuses what cannot be parsed: ends the exchange it belongs to, or follows the answers that are due. */
  readonly fail: (refused: Refusal) => void
  /** Enforces the time limits. */
  readonly check: (now: number) => void
  /** Closes the connection when the caller waits for nothing and nothing arrived since the last call. */
  readonly closeIfIdle: (now: number) => void
  /** Requests that arrived and are not answered. */
  readonly inFlight: () => number
}

/** A caller that pipelines more waits for none of the answers. */
const PIPELINED_MAX = 64

/** Time for the answer to an aborted request, in ms. Longer than a refusal lingers. */
const ABORT_LIMIT_MS = 2000

/** When a request last made progress. */
interface Progress {
  /** Bytes that the connection had carried at that time. */
  readonly marker: number
  readonly at: number
  readonly abortedAt: number | undefined
}

/** Outcome of an exchange, for the metrics. */
interface Finished {
  readonly ending: Ending
  readonly refused: Refusal | undefined
}

function reportFinished ({ options }: Handling, exchange: Exchange, { ending, refused }: Finished): void {
  const route = exchange.route()
  const isAnswered = exchange.response.headersSent
  options.observe({
    requestId: exchange.id,
    service: route?.service.name,
    class: route?.class.name,
    caller: exchange.callerKey,
    ending,
    kind: refused?.kind,
    detail: refused?.detail,
    status: isAnswered ? exchange.response.statusCode : undefined,
    run: refused?.run ?? exchange.run(),
    durationMs: options.clock() - exchange.arrivedAt,
    attempts: exchange.attempts()
  })
}

/** A refusal that does not know of the attempts gets their run state. */
function withRun (exchange: Exchange, refused: Refusal): Refusal {
  return exchange.run() === 'not-run' ? refused : { ...refused, run: exchange.run() }
}

/** Runs the way of a request in a fiber that an abort of the exchange ends. */
function runAbortable (way: Effect.Effect<Ending, Refusal>, exchange: Exchange): Effect.Effect<Ending, Refusal> {
  return Effect.callback(resume => {
    const fiber = Effect.runFork(way)
    exchange.onAbort(refused => resume(Fiber.interrupt(fiber).pipe(Effect.andThen(Effect.fail(refused)))))
    fiber.addObserver(resume)
    return Fiber.interrupt(fiber)
  })
}

/** Serves one request; its failures become a refusal or a destroyed connection. */
function serve (handling: Handling, exchange: Exchange): Effect.Effect<void> {
  const { options, dialect, delivery } = handling
  let finished: Finished = { ending: 'cancelled', refused: undefined }
  const refuse = (refused: Refusal): Effect.Effect<void> => Effect.suspend(() => {
    const stated = withRun(exchange, refused)
    finished = { ending: exchange.response.headersSent ? 'truncated' : 'refused', refused: stated }
    return sendRefusal(exchange, dialect, delivery, stated)
  })
  const onDefect = (defect: unknown): Effect.Effect<void> => {
    options.log.error('request.defect', { requestId: exchange.id, detail: String(defect) })
    return refuse(refusal('internal', 'an unexpected error', { run: exchange.attempts() === 0 ? 'not-run' : 'may-have-run' }))
  }
  return runAbortable(handleRequest(handling, exchange), exchange).pipe(
    Effect.tap(ending => Effect.sync(() => { finished = { ending, refused: undefined } })),
    Effect.asVoid,
    Effect.catch(refuse),
    Effect.catchDefect(onDefect),
    Effect.onExit(() => Effect.sync(() => {
      // An answer that ended early must never look complete to the caller.
      if (finished.ending !== 'answered' && finished.ending !== 'refused') exchange.incoming.socket.destroy()
      reportFinished(handling, exchange, finished)
    }))
  )
}

/** Watches a connection between its requests. */
function createIdleWatch (socket: Socket, limits: Limits, now: number): {
  readonly restart: (now: number) => void
  readonly verdict: (now: number) => 'idle' | 'late' | 'fine'
  readonly isPartial: () => boolean
} {
  let startedAt = now
  let bytesBefore = 0
  let partialSince: number | undefined
  const isPartial = (): boolean => socket.bytesRead > bytesBefore
  return {
    restart: time => {
      startedAt = time
      bytesBefore = socket.bytesRead
      partialSince = undefined
    },
    isPartial,
    verdict: time => {
      if (!isPartial()) return time - startedAt >= limits.idleTimeMs ? 'idle' : 'fine'
      partialSince ??= time
      return time - partialSince >= limits.headerTimeMs ? 'late' : 'fine'
    }
  }
}

/** Whether a request may be served while earlier ones of its connection are: it has no body to wait for. */
function hasNoBody ({ incoming }: Exchange): boolean {
  const { 'content-length': length = '0', 'transfer-encoding': encoding } = incoming.headers
  return length === '0' && encoding === undefined
}

/**
 * Serves the requests of one connection. Node sends the answers in the order of the requests, so
 * pipelined requests without a body run at the same time; one with a body waits for those before it.
 */
const serveAll = Effect.fnUntraced(function * (
  queue: Queue.Queue<Exchange>,
  serveNext: (exchange: Exchange) => Effect.Effect<void>
) {
  let running: Array<Fiber.Fiber<void>> = []
  for (;;) {
    const exchange = yield * Queue.take(queue)
    if (hasNoBody(exchange)) {
      running = running.filter(fiber => fiber.pollUnsafe() === undefined)
      running.push(yield * Effect.forkChild(serveNext(exchange)))
      continue
    }
    yield * Fiber.awaitAll(running)
    yield * serveNext(exchange)
  }
})

/** What the connections of all callers share. */
export interface Shared {
  readonly options: EntryOptions
  readonly dialect: Dialect
  readonly pools: Pools
  readonly isStopping: () => boolean
}

/** Creates the connection and starts its fiber, which ends with the connection. */
export function createCallerConnection (shared: Shared, socket: Socket, onClose: () => void): CallerConnection {
  const { options, dialect, pools, isStopping } = shared
  const { limits, clock } = options
  const queue = Effect.runSync(Queue.unbounded<Exchange>())
  const idle = createIdleWatch(socket, limits, clock())
  let waiting = 0
  let last: Exchange | undefined
  let failure: Refusal | undefined
  const active = new Map<Exchange, Progress>()
  // A pipelined request that has arrived is answered too, so only the last answer closes the connection.
  const isClosing = (exchange: Exchange): boolean => isStopping() && exchange === last
  const handling: Handling = { options, dialect, pools, delivery: { isClosing } }
  let bytesAtLastLook = -1

  const refuse = (refused: Refusal): void => {
    options.log.info('connection.refused', { kind: refused.kind, detail: refused.detail })
    refuseRaw(socket, refused)
  }

  const finishExchange = (exchange: Exchange): void => {
    active.delete(exchange)
    waiting--
    idle.restart(clock())
    if (waiting === 0 && failure !== undefined) refuse(failure)
  }

  const serveNext = (exchange: Exchange): Effect.Effect<void> => Effect.suspend(() => {
    active.set(exchange, { marker: -1, at: clock(), abortedAt: undefined })
    if (failure !== undefined && !exchange.incoming.complete) exchange.abort(failure, 'caller')
    return serve(handling, exchange).pipe(Effect.tap(() => Effect.sync(() => finishExchange(exchange))))
  })
  const fiber = Effect.runFork(serveAll(queue, serveNext))
  fiber.addObserver(exit => {
    if (Exit.isFailure(exit) && !Cause.hasInterruptsOnly(exit.cause)) {
      options.log.error('connection.defect', { detail: Cause.pretty(exit.cause) })
      socket.destroy()
    }
  })

  socket.on('close', () => {
    Effect.runFork(Fiber.interrupt(fiber))
    onClose()
  })

  const fail = (refused: Refusal): void => {
    if (failure !== undefined) return
    failure = refused
    if (waiting === 0) return refuse(refused)
    // The failure lies in the body of the current request, or in a later one whose turn comes after it.
    for (const exchange of active.keys()) if (!exchange.incoming.complete) exchange.abort(refused, 'caller')
  }

  const abort = (exchange: Exchange, kind: Kind, detail: string, blamed: 'caller' | 'target', now: number): void => {
    active.set(exchange, { marker: -1, at: now, abortedAt: now })
    exchange.abort(refusal(kind, detail, { run: exchange.run() }), blamed)
  }

  const checkExchange = (exchange: Exchange, progress: Progress, now: number): void => {
    const { abortedAt } = progress
    if (abortedAt !== undefined) {
      // The answer itself makes no progress: the caller neither reads it nor ends its request.
      if (now - abortedAt >= ABORT_LIMIT_MS) socket.destroy()
      return
    }
    if (now - exchange.arrivedAt >= limits.requestLimitMs) {
      return abort(exchange, 'deadline-exceeded', `the request took more than ${limits.requestLimitMs} ms`, 'caller', now)
    }
    const awaited = exchange.awaited()
    const marker = socket.bytesRead + socket.bytesWritten
    if (awaited === undefined || marker !== progress.marker) {
      active.set(exchange, { marker, at: now, abortedAt })
      return
    }
    if (now - progress.at < limits.idleTimeMs) return
    const kind = awaited === 'caller' ? 'caller-too-slow' : 'target-failed'
    abort(exchange, kind, `no progress for ${limits.idleTimeMs} ms`, awaited, now)
  }

  return {
    socket,
    accept: exchange => {
      // Nothing is served after a request that could not be parsed.
      if (failure !== undefined) return
      if (waiting >= PIPELINED_MAX) return fail(refusal('bad-request', `more than ${PIPELINED_MAX} pipelined requests`))
      waiting++
      last = exchange
      Queue.offerUnsafe(queue, exchange)
    },
    fail,
    check: now => {
      for (const [exchange, progress] of [...active]) checkExchange(exchange, progress, now)
      if (waiting > 0 || failure !== undefined) return
      const verdict = idle.verdict(now)
      if (verdict === 'idle') socket.destroySoon()
      if (verdict === 'late') fail(refusal('caller-too-slow', `the head did not arrive within ${limits.headerTimeMs} ms`))
    },
    closeIfIdle: now => {
      if (waiting > 0 || failure !== undefined) return
      const isQuiet = socket.bytesRead === bytesAtLastLook
      bytesAtLastLook = socket.bytesRead
      if (isQuiet && !idle.isPartial()) socket.destroySoon()
      if (idle.verdict(now) === 'late') socket.destroy()
    },
    inFlight: () => waiting
  }
}
