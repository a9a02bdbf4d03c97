/** A caller's connection, whose requests are taken in order by one fiber. */
import type { Socket } from 'node:net'
import { Cause, Effect, Exit, Fiber, Queue } from 'effect'
import { refusal, type ErrorKind, type Refusal } from '../errors/index.js'
import { sendRefusal } from './respond.js'
import type { BodyMemory } from './body-memory.js'
import { createCallerInput } from './caller-input.js'
import { createCallerOutput, type CallerOutput } from './caller-output.js'
import type { Dialect } from './dialect.js'
import type { Exchange } from './exchange.js'
import { handleRequest, type HandlerContext } from './request-handler.js'
import { createMessageLines, framingOf } from './message-lines.js'
import type { Ending, EntryOptions, Limits } from './options.js'
import type { Pools } from './pool.js'
import { createResponseOrder } from './response-order.js'
import type { Shutdown } from './shutdown.js'

/** A connection from a caller. */
export interface CallerConnection {
  readonly output: CallerOutput
  /** Checks the bytes that the parser is about to read. */
  readonly inspect: () => void
  /** Queues a request; the caller may pipeline requests. */
  readonly accept: (exchange: Exchange) => void
  /** Handles input that cannot be parsed: aborts the exchange it belongs to, or sends the refusal after the pending responses. */
  readonly fail: (refused: Refusal) => void
  /** Enforces the timeouts. */
  readonly check: (now: number) => void
  /** Closes the connection when no request is pending and nothing arrived since the last call. */
  readonly closeIfIdle: (now: number) => void
  /**
   * Refuses the first pending request if others are pending behind it, and it had its turn since the last call without
   * a response: the connection is about to be cut off, and their responses may be ready.
   */
  readonly releaseResponses: (now: number) => void
  /** Number of requests without a complete response. */
  readonly inFlight: () => number
}

/** Timeout for the response to an aborted request, in ms. Longer than the linger timeout of a refusal. */
const ABORT_TIMEOUT_MS = 2000

/** Maximum number of request ids in a log line. */
const MAX_LOGGED_IDS = 8

/** Time at which a request last made progress. */
interface Progress {
  /** Bytes read and written on the connection at that time. */
  readonly byteCount: number
  readonly at: number
  readonly abortedAt: number | undefined
}

/** Outcome of an exchange, reported to the metrics. */
interface Finished {
  readonly ending: Ending
  readonly refused: Refusal | undefined
}

function reportFinished ({ options }: HandlerContext, exchange: Exchange, { ending, refused }: Finished): void {
  const route = exchange.route()
  const hasResponse = exchange.response.headersSent
  options.observe({
    requestId: exchange.id,
    service: route?.service.name,
    class: route?.class.name,
    caller: exchange.callerKey,
    ending,
    kind: refused?.kind,
    detail: refused?.detail,
    status: hasResponse ? exchange.response.statusCode : undefined,
    run: refused?.run ?? exchange.run(),
    durationMs: options.clock() - exchange.arrivedAt,
    attempts: exchange.attempts()
  })
}

/** Adds the run state of the attempts to a refusal that was created without it. */
function withRunState (exchange: Exchange, refused: Refusal): Refusal {
  return exchange.run() === 'not-run' ? refused : { ...refused, run: exchange.run() }
}

/** Runs the program of a request in a fiber that is interrupted when the exchange is aborted. */
function runAbortable (program: Effect.Effect<Ending, Refusal>, exchange: Exchange): Effect.Effect<Ending, Refusal> {
  return Effect.callback(resume => {
    const fiber = Effect.runFork(program)
    exchange.onAbort(refused => resume(Fiber.interrupt(fiber).pipe(Effect.andThen(Effect.fail(refused)))))
    fiber.addObserver(resume)
    return Fiber.interrupt(fiber)
  })
}

/** Serves one request; a failure becomes a refusal, or destroys the connection when a response was started. */
function serve (context: HandlerContext, exchange: Exchange): Effect.Effect<void> {
  const { options, dialect, order } = context
  let finished: Finished = { ending: 'cancelled', refused: undefined }
  const refuse = (refused: Refusal): Effect.Effect<void> => Effect.suspend(() => {
    const refusalWithRun = withRunState(exchange, refused)
    finished = { ending: exchange.response.headersSent ? 'truncated' : 'refused', refused: refusalWithRun }
    return sendRefusal(exchange, dialect, order, refusalWithRun)
  })
  const onDefect = (defect: unknown): Effect.Effect<void> => {
    options.log.error('request.defect', { requestId: exchange.id, detail: String(defect) })
    return refuse(refusal('internal', 'unhandled exception while the request was served', { run: exchange.attempts() === 0 ? 'not-run' : 'may-have-run' }))
  }
  return runAbortable(handleRequest(context, exchange), exchange).pipe(
    Effect.tap(ending => Effect.sync(() => { finished = { ending, refused: undefined } })),
    Effect.asVoid,
    Effect.catch(refuse),
    Effect.catchDefect(onDefect),
    Effect.onExit(() => Effect.sync(() => {
      // A truncated response must never look complete to the caller.
      if (finished.ending !== 'answered' && finished.ending !== 'refused') exchange.output.destroy(finished.ending === 'truncated' ? 'truncated' : 'caller-left')
      reportFinished(context, exchange, finished)
    }))
  )
}

/** Detects idle connections and slow request heads between two requests. */
function createIdleMonitor (socket: Socket, limits: Limits, now: number): {
  readonly restart: (now: number) => void
  readonly status: (now: number) => 'idle' | 'late' | 'fine'
  readonly isPartial: () => boolean
} {
  let startedAt = now
  let bytesAtStart = 0
  let partialSince: number | undefined
  const isPartial = (): boolean => socket.bytesRead > bytesAtStart
  return {
    restart: time => {
      startedAt = time
      bytesAtStart = socket.bytesRead
      partialSince = undefined
    },
    isPartial,
    status: time => {
      if (!isPartial()) return time - startedAt >= limits.idleTimeMs ? 'idle' : 'fine'
      partialSince ??= time
      return time - partialSince >= limits.headerTimeMs ? 'late' : 'fine'
    }
  }
}

/** Whether a request has no body, so that it can be served concurrently with earlier ones of its connection. */
function hasNoBody ({ incoming }: Exchange): boolean {
  const { 'content-length': length = '0', 'transfer-encoding': encoding } = incoming.headers
  return length === '0' && encoding === undefined
}

/**
 * Whether the connection closes after the response to this request. A response of unknown length ends an HTTP/1.0
 * connection, and whether it has a length is known only when requests behind it would have been forwarded.
 */
function isLastRequest ({ request, incoming }: Exchange): boolean {
  return request.isErr() || incoming.httpVersion !== '1.1'
}

/**
 * Serves the requests of one connection. Pipelined requests without a body run concurrently, and their responses
 * wait for their turn; a request with a body waits for the earlier ones.
 */
const serveAll = Effect.fnUntraced(function * (
  queue: Queue.Queue<Exchange>,
  serveExchange: (exchange: Exchange) => Effect.Effect<void>
) {
  let running: Array<Fiber.Fiber<void>> = []
  for (;;) {
    const exchange = yield * Queue.take(queue)
    if (hasNoBody(exchange)) {
      running = running.filter(fiber => fiber.pollUnsafe() === undefined)
      running.push(yield * Effect.forkChild(serveExchange(exchange)))
      continue
    }
    yield * Fiber.awaitAll(running)
    yield * serveExchange(exchange)
  }
})

/** Dependencies that all connections of callers share. */
export interface ConnectionContext {
  readonly options: EntryOptions
  readonly dialect: Dialect
  readonly pools: Pools
  readonly bodyMemory: BodyMemory
  /** Undefined until the entry stops. */
  readonly shutdown: () => Shutdown | undefined
}

/** Creates the connection and starts its fiber, which is interrupted when the connection closes. */
export function createCallerConnection (shared: ConnectionContext, socket: Socket, onClose: () => void): CallerConnection {
  const { options, dialect, pools, bodyMemory, shutdown } = shared
  const { limits, clock } = options
  const queue = Effect.runSync(Queue.unbounded<Exchange>())
  const idle = createIdleMonitor(socket, limits, clock())
  const lines = createMessageLines(framingOf)
  const order = createResponseOrder(() => shutdown() !== undefined || input.isDiscarding())
  const output = createCallerOutput(socket, order)
  // After a failure, nothing more is served, and the parser discards all input.
  const input = createCallerInput(socket, lines, () => failure !== undefined || order.hasRoom())
  let failure: Refusal | undefined
  let acceptedCount = 0
  const active = new Map<Exchange, Progress>()
  const context: HandlerContext = { options, dialect, pools, order, bodyMemory, shutdown }
  let bytesAtLastCheck = -1
  let firstAtLastRelease: Exchange | undefined

  const refuse = (refused: Refusal): void => {
    options.log.info('connection.refused', { kind: refused.kind, detail: refused.detail })
    output.refuse(refused)
  }

  /** Discards a request behind the last response of the connection. The caller has to send it again on another connection. */
  const ignore = (exchange: Exchange): void => {
    options.log.info('request.ignored', { requestId: exchange.id, detail: 'the connection is closing' })
    exchange.incoming.resume()
  }

  /** Logs the requests that get no response because the VM ended the connection. */
  const reportUnanswered = (): void => {
    const unanswered = order.pending()
    if (unanswered.length === 0 || output.endReason() === 'caller-left') return
    const forwarded = unanswered.filter(({ attempts }) => attempts() > 0).map(({ id }) => id)
    options.log.warn('connection.unanswered', {
      reason: output.endReason(), requests: unanswered.length, forwarded: forwarded.length, requestIds: forwarded.slice(0, MAX_LOGGED_IDS)
    })
  }

  const finishExchange = (exchange: Exchange): void => {
    active.delete(exchange)
    order.remove(exchange)
    idle.restart(clock())
    input.passHeld()
    if (order.size() === 0 && failure !== undefined) refuse(failure)
  }

  const serveExchange = (exchange: Exchange): Effect.Effect<void> => Effect.suspend(() => {
    active.set(exchange, { byteCount: -1, at: clock(), abortedAt: undefined })
    if (failure !== undefined && !exchange.incoming.complete) exchange.abort(failure, 'caller')
    return serve(context, exchange).pipe(Effect.tap(() => Effect.sync(() => finishExchange(exchange))))
  })
  const fiber = Effect.runFork(serveAll(queue, serveExchange))
  fiber.addObserver(exit => {
    if (Exit.isFailure(exit) && !Cause.hasInterruptsOnly(exit.cause)) {
      options.log.error('connection.defect', { detail: Cause.pretty(exit.cause) })
      output.destroy('defect')
    }
  })

  socket.on('close', () => {
    reportUnanswered()
    Effect.runFork(Fiber.interrupt(fiber))
    onClose()
  })

  const fail = (refused: Refusal): void => {
    if (failure !== undefined || output.hasEnded()) return
    failure = refused
    if (order.size() === 0) return refuse(refused)
    // The failure is in the body of an active request, or in a later request that is refused after the active ones.
    for (const exchange of active.keys()) if (!exchange.incoming.complete) exchange.abort(refused, 'caller')
  }

  const abort = (exchange: Exchange, kind: ErrorKind, detail: string, faultyParty: 'caller' | 'target', now: number): void => {
    active.set(exchange, { byteCount: -1, at: now, abortedAt: now })
    exchange.abort(refusal(kind, detail, { run: exchange.run() }), faultyParty)
  }

  const checkExchange = (exchange: Exchange, progress: Progress, now: number): void => {
    const { abortedAt } = progress
    if (abortedAt !== undefined) {
      if (!order.hasTurn(exchange)) {
        active.set(exchange, { ...progress, abortedAt: now })
        return
      }
      // Not even the response to the aborted request makes progress: the caller neither reads it nor ends its request.
      if (now - abortedAt >= ABORT_TIMEOUT_MS) output.destroy('too-slow')
      return
    }
    if (now - exchange.arrivedAt >= limits.requestLimitMs) {
      return abort(exchange, 'deadline-exceeded', `the request took longer than ${limits.requestLimitMs} ms`, 'caller', now)
    }
    const awaited = exchange.awaited()
    const byteCount = socket.bytesRead + socket.bytesWritten
    // The idle timeout bounds what callers do; the silence of a target is bounded by the deadline, if it applies.
    const isBoundedByDeadline = awaited === 'target' && options.isDeadlineForBody === true
    if (awaited === undefined || isBoundedByDeadline || byteCount !== progress.byteCount) {
      active.set(exchange, { byteCount, at: now, abortedAt })
      return
    }
    if (now - progress.at < limits.idleTimeMs) return
    const kind = awaited === 'caller' ? 'caller-too-slow' : 'target-failed'
    abort(exchange, kind, `no progress for ${limits.idleTimeMs} ms`, awaited, now)
  }

  /** Fails the connection if the request with the first violation was accepted; earlier requests are served. */
  const checkLines = (): void => {
    const violation = lines.violation()
    if (violation !== undefined && violation.message < acceptedCount) fail(refusal('framing-ambiguous', violation.detail))
  }

  /** Whether nothing is pending that the connection has to wait for. */
  const isQuiet = (): boolean => order.size() === 0 && !input.isHolding() && failure === undefined && !output.hasEnded()

  return {
    output,
    inspect: () => {
      checkLines()
      input.passHeld()
    },
    accept: exchange => {
      // After a parse error, the boundaries of later requests are unknown, so none is served.
      if (failure !== undefined) return
      acceptedCount++
      checkLines()
      if (failure !== undefined) return
      if (output.hasEnded() || !order.add(exchange, isLastRequest(exchange))) return ignore(exchange)
      Queue.offerUnsafe(queue, exchange)
    },
    fail,
    check: now => {
      for (const [exchange, progress] of [...active]) checkExchange(exchange, progress, now)
      if (!isQuiet()) return
      const status = idle.status(now)
      if (status === 'idle') output.destroy('idle')
      if (status === 'late') fail(refusal('caller-too-slow', `the head did not arrive within ${limits.headerTimeMs} ms`))
    },
    closeIfIdle: now => {
      if (!isQuiet()) return
      const isUnchanged = socket.bytesRead === bytesAtLastCheck
      bytesAtLastCheck = socket.bytesRead
      // The caller may still read the last response, which a reset by its next request would cut off. That request is
      // ignored, so its caller may send it again whatever it is.
      if (isUnchanged && !idle.isPartial()) return output.close('idle')
      if (idle.status(now) === 'late') output.destroy('too-slow')
    },
    releaseResponses: now => {
      const [first, ...behind] = order.pending()
      const isWaiting = first !== undefined && first === firstAtLastRelease && !first.response.headersSent
      firstAtLastRelease = first
      if (!isWaiting || behind.length === 0) return
      const kind = first.run() === 'not-run' ? 'stopping' : 'deadline-exceeded'
      abort(first, kind, 'the VM ends, and responses to later requests wait for this one', 'caller', now)
    },
    inFlight: order.size
  }
}
