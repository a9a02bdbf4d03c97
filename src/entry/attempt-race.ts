/**
 * The attempts at one request.
 *
 * Without a byte of the response on a reused connection, a slow target cannot be distinguished from a broken path. So
 * the attempt goes on while another target is tried beside it, and the first usable response counts.
 */
import { Cause, Effect, Exit, Fiber, Queue } from 'effect'
import { refusal, type Refusal } from '../errors/index.js'
import type { Result, Slot } from '../model/index.js'
import { createAttempt, type Attempt, type AttemptContext, type AttemptOutcome } from './attempt.js'
import { createKeptFailure, type SettledAttempt } from './kept-failure.js'
import { nativeDialect } from './native-dialect.js'
import { MAX_REUSE_IDLE_MS, type EntryOptions } from './options.js'
import type { Pools } from './pool.js'
import type { PreSendChecks, RoutedRequest } from './pre-send-checks.js'
import { createRetryPolicy } from './retry-policy.js'
import { createSlotSearch } from './slot-search.js'
import { stallTimeoutFor } from './stall-timeout.js'

/** A routed request for attempts at targets. */
export interface RacePlan extends RoutedRequest {
  /** Run after a connection is acquired and before the first byte is sent to a target. */
  readonly checks: PreSendChecks
  /** Whether the caller's connection is free for a response to this request, that is, no earlier response is due. */
  readonly hasTurn: () => boolean
}

/** The attempts at one request. */
export interface AttemptRace {
  /** Acquires a slot and starts the first attempt. */
  readonly begin: Effect.Effect<void, Refusal>
  /** Completes with the first usable response, or with a failure when no attempt is left. */
  readonly settle: Effect.Effect<SettledAttempt, Refusal>
  /** Ends the attempts that have not ended, for example because the caller disconnected. */
  readonly abandon: Effect.Effect<void>
  /** Delay that the refusal of another attempt asks for, in ms; undefined if there was none. */
  readonly retryAfterMs: () => number | undefined
}

type RaceEvent =
  /** No byte of the response was received within the stall timeout. */
  | { readonly kind: 'stalled', readonly attempt: Attempt, readonly afterMs: number }
  /** Another attempt beside a stalled one was not possible before, and may be now. */
  | { readonly kind: 'still-stalled', readonly attempt: Attempt }
  | { readonly kind: 'ended', readonly attempt: Attempt, readonly exit: Exit.Exit<AttemptOutcome, Refusal> }
  /** A slot for another attempt was found. */
  | { readonly kind: 'created', readonly attempt: Attempt }
  | { readonly kind: 'not-created', readonly refused: Refusal | undefined, readonly stalled: Attempt | undefined }
  /** A failed response that was kept has to be delivered to reach its caller in time. */
  | { readonly kind: 'due' }

/** Undefined while attempts are left. */
type Step = Effect.Effect<SettledAttempt | undefined, Refusal>

const CONTINUE: Step = Effect.succeed(undefined)

/** A retry has little time left, so it uses only a connection with a recent response, or a new one. */
const MAX_RETRY_REUSE_IDLE_MS = 500
/** Lower bound of the time after which another attempt beside a stalled one is considered again. */
const RECHECK_MIN_MS = 250
/** Part of the remaining time for which a failed response is kept while another attempt may still succeed. */
const KEPT_RESPONSE_FRACTION = 0.9

/** Whether the response is delivered at once. */
function isFinal ({ result, run, targetResponse }: AttemptOutcome): boolean {
  return targetResponse !== undefined && (result === 'answered' || (result === 'draining' && run !== 'not-run'))
}

/** Whether the request may have reached the target. */
function wasSent ({ result }: AttemptOutcome): boolean {
  return result !== 'unreachable' && result !== 'exhausted'
}

const settleRace = Effect.fnUntraced(function * (events: Queue.Queue<RaceEvent>, handle: (event: RaceEvent) => Step) {
  for (;;) {
    const settled = yield * handle(yield * Queue.take(events))
    if (settled !== undefined) return settled
  }
})

/**
 * Creates the attempts at one request; none is started yet.
 *
 * @example
 * const race = createAttemptRace(options, pools, plan)
 * yield * race.begin
 * const { attempt, outcome } = yield * race.settle
 */
export function createAttemptRace (options: EntryOptions, pools: Pools, plan: RacePlan): AttemptRace {
  const { exchange, route, deadlineAt, checks } = plan
  const { clock, log, maxReuseIdleMs = MAX_REUSE_IDLE_MS, responseBufferBytes = 0 } = options
  const service = route.service.name
  const policy = createRetryPolicy(options, plan)
  const slots = createSlotSearch(options, plan)
  const failure = createKeptFailure()
  const events = Effect.runSync(Queue.unbounded<RaceEvent>())
  const attempts: Attempt[] = []
  /** Attempts without an outcome; the fiber is undefined until the attempt starts. */
  const live = new Map<Attempt, Fiber.Fiber<void> | undefined>()
  /** Looks for a slot for another attempt. */
  let search: Fiber.Fiber<void> | undefined
  let prevention: Cause.Cause<Refusal> | undefined
  let endedSentCount = 0
  let retryAfterMs: number | undefined
  const timers: NodeJS.Timeout[] = []

  const emit = (event: RaceEvent): void => { Queue.offerUnsafe(events, event) }
  const emitLater = (delayMs: number, event: RaceEvent): void => { timers.push(setTimeout(() => emit(event), delayMs)) }
  const sentCount = (): number => endedSentCount + live.size

  /** A pooled connection is reused only if it became idle at this time or later. */
  const earliestIdleSince = (now: number): number => {
    if (exchange.attempts() > 1) return now - MAX_RETRY_REUSE_IDLE_MS
    return route.class.idempotent ? -Infinity : now - maxReuseIdleMs
  }

  const context: AttemptContext = {
    ...plan,
    // Interim responses of two attempts would contradict each other.
    hasTurn: () => live.size <= 1 && plan.hasTurn(),
    service,
    class: route.class.name,
    earliestIdleSince,
    stallTimeoutMs: now => stallTimeoutFor(options, route, deadlineAt, now),
    beforeSend: checks.run,
    fingerprint: checks.fingerprint,
    pools,
    dialect: options.dialect ?? nativeDialect,
    responseBufferBytes,
    clock
  }

  const create = (slot: Slot): Attempt => {
    const attempt: Attempt = createAttempt(context, slot, afterMs => emit({ kind: 'stalled', attempt, afterMs }))
    attempts.push(attempt)
    live.set(attempt, undefined)
    return attempt
  }

  const start = (attempt: Attempt): Effect.Effect<void> => {
    const run = Effect.exit(attempt.run).pipe(Effect.map(exit => emit({ kind: 'ended', attempt, exit })))
    return Effect.forkChild(run, { startImmediately: true }).pipe(Effect.tap(fiber => Effect.sync(() => live.set(attempt, fiber))), Effect.asVoid)
  }

  const begin = Effect.uninterruptibleMask(restore => restore(slots.acquireFirst).pipe(
    Effect.map(slot => {
      options.earnRetryToken(service, clock())
      return create(slot)
    })
  )).pipe(Effect.flatMap(start))

  const useSlot = (slot: Slot | undefined, stalled: Attempt | undefined): RaceEvent => {
    if (slot === undefined) return { kind: 'not-created', refused: undefined, stalled }
    policy.useToken()
    return { kind: 'created', attempt: create(slot) }
  }

  /** Looks for a slot for another attempt, beside a stalled one or after a failed one. */
  const searchSlot = (stalled: Attempt | undefined): Step => Effect.suspend(() => {
    const fail = (refused: Refusal): void => emit({ kind: 'not-created', refused, stalled })
    const acquire = stalled === undefined ? slots.acquireNext : slots.acquireBeside(stalled.slot.target.id)
    const find = Effect.uninterruptibleMask(restore => restore(acquire).pipe(
      Effect.match({ onSuccess: slot => emit(useSlot(slot, stalled)), onFailure: fail }),
      Effect.catchDefect(defect => Effect.sync(() => fail(refusal('internal', String(defect)))))
    ))
    return Effect.forkChild(find).pipe(Effect.map(fiber => {
      search = fiber
      return undefined
    }))
  })

  /** Ends the attempts without an outcome and the search for another one. */
  const endLive = (end: (attempt: Attempt) => void): Effect.Effect<void> => Effect.suspend(() => {
    for (const timer of timers) clearTimeout(timer)
    const fibers = [search, ...live.values()].filter(fiber => fiber !== undefined)
    return Fiber.interruptAll(fibers).pipe(Effect.andThen(Effect.sync(() => {
      for (const attempt of live.keys()) end(attempt)
      live.clear()
    })))
  })

  /** A target is reported as silent only if another one answered meanwhile: otherwise, it may just be slow. */
  const settleWith = (settled: SettledAttempt): Step => {
    const winner = settled.attempt.slot.target.id
    failure.drop()
    return endLive(other => {
      if (other.isStalled()) other.supersede(other.slot.target.id === winner ? undefined : 'silent')
      else other.abandon(undefined)
    }).pipe(Effect.as(settled))
  }

  const settleWithFailure = (): Step => {
    const kept = failure.take()
    return kept === undefined ? CONTINUE : settleWith(kept)
  }

  const settleIfLast = (): Step => {
    if (live.size > 0 || search !== undefined) return CONTINUE
    if (failure.current() === undefined && prevention !== undefined) return Effect.failCause(prevention)
    return settleWithFailure()
  }

  const onOutcome = (attempt: Attempt, outcome: AttemptOutcome): Step => {
    live.delete(attempt)
    if (wasSent(outcome)) endedSentCount++
    if (isFinal(outcome)) return settleWith({ attempt, outcome })
    failure.keep({ attempt, outcome })
    if (outcome.targetResponse !== undefined) emitLater((deadlineAt - clock()) * KEPT_RESPONSE_FRACTION, { kind: 'due' })
    if (search !== undefined) return CONTINUE
    if (policy.allowsAfter(outcome, sentCount(), clock())) return searchSlot(undefined)
    return settleIfLast()
  }

  /** Handles the failure of the checks before the send, or a defect. */
  const onPrevented = (attempt: Attempt, cause: Cause.Cause<Refusal>): Step => {
    live.delete(attempt)
    attempt.abandon(undefined)
    if (Cause.hasDies(cause)) log.error('attempt.defect', { requestId: exchange.id, service, detail: Cause.pretty(cause) })
    prevention = cause
    return settleIfLast()
  }

  /** Looks for another attempt beside a stalled one, or considers it again later. */
  const searchBeside = (attempt: Attempt): Step => {
    if (!live.has(attempt) || !attempt.isStalled()) return CONTINUE
    if (search === undefined && policy.allowsBeside(sentCount(), clock())) return searchSlot(attempt)
    emitLater(RECHECK_MIN_MS, { kind: 'still-stalled', attempt })
    return CONTINUE
  }

  const onStalled = (attempt: Attempt, afterMs: number): Step => {
    log.info('attempt.stalled', { requestId: exchange.id, service, target: attempt.slot.target.id, afterMs: Math.round(afterMs), attempts: exchange.attempts() })
    return searchBeside(attempt)
  }

  const onCreated = (attempt: Attempt): Step => {
    search = undefined
    failure.dropPartial()
    return start(attempt).pipe(Effect.as(undefined))
  }

  const onNotCreated = (refused: Refusal | undefined, stalled: Attempt | undefined): Step => {
    search = undefined
    retryAfterMs = refused?.retryAfterMs
    if (refused !== undefined) log.info('retry.refused', { requestId: exchange.id, service, kind: refused.kind, detail: refused.detail })
    if (stalled !== undefined) emitLater(Math.max(RECHECK_MIN_MS, retryAfterMs ?? 0), { kind: 'still-stalled', attempt: stalled })
    return settleIfLast()
  }

  const handle = (event: RaceEvent): Step => {
    switch (event.kind) {
      case 'stalled': return onStalled(event.attempt, event.afterMs)
      case 'still-stalled': return searchBeside(event.attempt)
      case 'ended': return Exit.isSuccess(event.exit) ? onOutcome(event.attempt, event.exit.value) : onPrevented(event.attempt, event.exit.cause)
      case 'created': return onCreated(event.attempt)
      case 'not-created': return onNotCreated(event.refused, event.stalled)
      case 'due': return failure.current()?.outcome.targetResponse === undefined ? CONTINUE : settleWithFailure()
    }
  }

  const abandon = Effect.suspend(() => {
    const result: Result = exchange.isTargetAtFault() ? 'truncated' : 'cancelled'
    return endLive(attempt => attempt.abandon(result)).pipe(Effect.andThen(Effect.sync(() => {
      failure.drop()
      for (const attempt of attempts) attempt.abandon(result)
    })))
  })

  return { begin, settle: settleRace(events, handle), abandon, retryAfterMs: () => retryAfterMs }
}
