/** Forwards one request, with retries at other targets. */
import type { IncomingMessage } from 'node:http'
import { Effect } from 'effect'
import { refusal, type ErrorKind, type Refusal } from '../errors/index.js'
import type { Result, Slot } from '../model/index.js'
import { createAttempt, type Attempt, type AttemptContext, type AttemptOutcome } from './attempt.js'
import { hasTimeLeft, type PreSendChecks, type RoutedRequest } from './pre-send-checks.js'
import { MAX_REUSE_IDLE_MS, type EntryOptions } from './options.js'
import { nativeDialect } from './native-dialect.js'
import type { Pools } from './pool.js'

/** A routed request to forward. */
export interface ForwardPlan extends RoutedRequest {
  /** Run after a connection is acquired and before the first byte is sent to a target. */
  readonly checks: PreSendChecks
  /** Whether the caller's connection is free for a response to this request, that is, no earlier response is due. */
  readonly hasTurn: () => boolean
  /** Relays the final response of a target to the caller; false when it was truncated. */
  readonly deliver: (targetResponse: IncomingMessage, outcome: AttemptOutcome, onComplete: () => void) => Effect.Effect<boolean, Refusal>
}

/** The stall timeout of a reused connection is this multiple of the median latency. */
const STALL_LATENCY_FACTOR = 8
/** Lower bound of the stall timeout; a pause of a target, for example for garbage collection, is not a stall. */
const STALL_MIN_MS = 250
/** A retry has little time left, so it uses only a connection with a recent response, or a new one. */
const MAX_RETRY_REUSE_IDLE_MS = 500
/** Upper bound of the stall timeout, as a fraction of the remaining time; leaves the other half for the retry. */
const STALL_DEADLINE_FRACTION = 0.5

function stallTimeoutFor (options: EntryOptions, { route, deadlineAt }: ForwardPlan, now: number): number | undefined {
  if (!route.class.idempotent) return undefined
  const medianMs = options.medianLatencyMs(route.service.name, route.class.name, now)
  const maxStallMs = (deadlineAt - now) * STALL_DEADLINE_FRACTION
  return medianMs === undefined ? maxStallMs : Math.min(maxStallMs, Math.max(STALL_MIN_MS, medianMs * STALL_LATENCY_FACTOR))
}

/** The error kind that the caller receives for a failed attempt. */
function errorKindOf ({ result, targetResponse, isTimedOut }: AttemptOutcome): ErrorKind {
  if (result === 'exhausted' || result === 'shed' || result === 'misdirected') return 'overloaded'
  if (result === 'unreachable') return 'target-unreachable'
  if (targetResponse !== undefined) return 'overloaded'
  return isTimedOut ? 'deadline-exceeded' : 'target-failed'
}

/** The result that is recorded for the target; an exhausted connection limit says nothing about its health. */
function observedResult ({ result }: AttemptOutcome): Result | undefined {
  return result === 'exhausted' ? undefined : result
}

/** The sequence of attempts of one request. */
interface AttemptLoop {
  /** Acquires a slot and creates the first attempt. */
  readonly begin: Effect.Effect<void, Refusal>
  readonly current: () => Attempt
  /** Creates another attempt if the outcome allows it; false otherwise. */
  readonly retry: (outcome: AttemptOutcome) => Effect.Effect<boolean>
  /** Delivers the response of the outcome, or fails with the corresponding refusal. */
  readonly conclude: (outcome: AttemptOutcome) => Effect.Effect<boolean, Refusal>
  /** Releases the resources of the current attempt. */
  readonly abandon: () => void
}

function createAttemptLoop (options: EntryOptions, pools: Pools, plan: ForwardPlan): AttemptLoop {
  const { exchange, route, body, deadlineAt, checks } = plan
  const { clock, maxReuseIdleMs = MAX_REUSE_IDLE_MS, responseBufferBytes = 0 } = options
  const service = route.service.name
  const triedTargets = new Set<string>()
  const triedPlaces = new Set<string>()
  let current: Attempt | undefined
  /** Delay that the refusal of another attempt asks for, in ms. */
  let retryAfterMs: number | undefined
  let hasRetryToken = false
  /** Number of attempts whose request may have reached a target. */
  let sentCount = 0

  /** Whether another attempt is permitted after the current one, which was sent to a target. */
  const hasAttemptAfterCurrent = (): boolean => sentCount + 1 < (route.class.maxAttempts ?? Infinity)

  const takeRetryToken = (): boolean => {
    hasRetryToken ||= options.takeRetryToken(service, clock())
    return hasRetryToken
  }

  /** A pooled connection is reused only if it became idle at this time or later. */
  const earliestIdleSince = (now: number): number => {
    if (exchange.attempts() > 1) return now - MAX_RETRY_REUSE_IDLE_MS
    return route.class.idempotent ? -Infinity : now - maxReuseIdleMs
  }

  const context: AttemptContext = {
    ...plan,
    service,
    class: route.class.name,
    earliestIdleSince,
    stallTimeoutMs: now => stallTimeoutFor(options, plan, now),
    canAbortStalled: () => hasAttemptAfterCurrent() && body.isReplayable() && takeRetryToken(),
    beforeSend: checks.run,
    fingerprint: checks.fingerprint,
    pools,
    dialect: options.dialect ?? nativeDialect,
    responseBufferBytes,
    clock
  }

  const acquireAvoiding = (avoid: ReadonlySet<string>): Effect.Effect<Slot, Refusal> => Effect.suspend(() => options.admission.acquire({
    service,
    class: route.class.name,
    caller: exchange.callerKey,
    deadlineAt,
    requestId: exchange.id,
    idempotent: route.class.idempotent,
    priority: route.class.priority,
    objectiveAt: exchange.arrivedAt + (route.class.objectiveMs ?? route.class.deadlineMs),
    avoid,
    avoidPlaces: triedPlaces
  }, clock()))

  const startAttempt = (slot: Slot): void => {
    triedTargets.add(slot.target.id)
    triedPlaces.add(slot.target.place)
    current = createAttempt(context, slot)
  }

  const begin = Effect.uninterruptibleMask(restore => restore(acquireAvoiding(triedTargets)).pipe(
    Effect.tap(slot => Effect.sync(() => {
      startAttempt(slot)
      options.earnRetryToken(service, clock())
    })),
    Effect.asVoid
  ))

  const isRetryAllowed = ({ result, run, isTimedOut }: AttemptOutcome): boolean => {
    if (result === 'answered' || result === 'exhausted' || isTimedOut) return false
    if (sentCount >= (route.class.maxAttempts ?? Infinity)) return false
    // Unless a draining target states that it did not run the request, its response is final.
    if (result === 'draining' && run !== 'not-run') return false
    const isSafeToRepeat = route.class.idempotent || run === 'not-run'
    if (!isSafeToRepeat || !body.isReplayable() || !hasTimeLeft(options, route, deadlineAt, clock())) return false
    // Until a request was sent to a target, another attempt is not a retry and needs no token.
    return sentCount === 0 || takeRetryToken()
  }

  /**
   * Acquires a slot at a target that was not tried. After an attempt on a reused connection without a response, the
   * same target may be tried over another connection if there is no other target: the connection may be the fault.
   */
  const acquireRetry = ({ result }: AttemptOutcome): Effect.Effect<Slot, Refusal> => acquireAvoiding(triedTargets).pipe(
    Effect.catch(refused => result === 'silent' && refused.kind === 'no-target'
      ? acquireAvoiding(new Set([...triedTargets].filter(id => id !== current?.slot.target.id)))
      : Effect.fail(refused))
  )

  /** Creates an attempt at the target of the slot, if it may be tried and enough time is left. */
  const startRetry = (slot: Slot, outcome: AttemptOutcome): boolean => {
    const isUntried = !triedTargets.has(slot.target.id)
    if ((!isUntried && outcome.result !== 'silent') || !hasTimeLeft(options, route, deadlineAt, clock())) {
      slot.release(undefined, clock())
      return false
    }
    hasRetryToken = false
    current?.abandon(observedResult(outcome))
    startAttempt(slot)
    return true
  }

  const retry = (outcome: AttemptOutcome): Effect.Effect<boolean> => {
    if (outcome.result !== 'unreachable' && outcome.result !== 'exhausted') sentCount++
    // Unless its response may still be delivered, the slot is released before waiting for another one.
    if (outcome.targetResponse === undefined) current?.abandon(observedResult(outcome))
    if (!isRetryAllowed(outcome)) return Effect.succeed(false)
    return Effect.uninterruptibleMask(restore => restore(acquireRetry(outcome)).pipe(Effect.match({
      onSuccess: slot => startRetry(slot, outcome),
      onFailure: refused => {
        retryAfterMs = refused.retryAfterMs
        return false
      }
    })))
  }

  const refuse = (outcome: AttemptOutcome): Refusal => {
    const refused = refusal(errorKindOf(outcome), outcome.detail, { run: exchange.run() })
    return { ...refused, retryAfterMs: Math.max(refused.retryAfterMs ?? 0, retryAfterMs ?? 0) }
  }

  const conclude = (outcome: AttemptOutcome): Effect.Effect<boolean, Refusal> => {
    const attempt = current as Attempt
    const { targetResponse } = outcome
    if (targetResponse === undefined) return Effect.fail(refuse(outcome))
    return plan.deliver(targetResponse, outcome, () => attempt.complete(observedResult(outcome))).pipe(
      Effect.tap(isComplete => Effect.sync(() => { if (!isComplete) attempt.complete('truncated') })),
      // A response that waited for earlier ones until the deadline says nothing about its target.
      Effect.tapError(({ kind }) => Effect.sync(() => attempt.complete(kind === 'target-failed' ? 'truncated' : 'cancelled')))
    )
  }

  return {
    begin,
    current: () => current as Attempt,
    retry,
    conclude,
    abandon: () => current?.abandon(exchange.isTargetAtFault() ? 'truncated' : 'cancelled')
  }
}

const runAttempts = Effect.fnUntraced(function * (attemptLoop: AttemptLoop) {
  yield * attemptLoop.begin
  for (;;) {
    const outcome = yield * attemptLoop.current().run
    const isRetried = yield * attemptLoop.retry(outcome)
    if (!isRetried) return yield * attemptLoop.conclude(outcome)
  }
})

/**
 * Forwards a request and relays the response.
 *
 * Errors: the refusal of admission or of the checks, or `overloaded`,
 * `target-unreachable`, `target-failed`, `deadline-exceeded`, with the
 * strongest run state of all attempts.
 *
 * @returns whether a complete response was relayed to the caller
 */
export function forward (options: EntryOptions, pools: Pools, plan: ForwardPlan): Effect.Effect<boolean, Refusal> {
  const attemptLoop = createAttemptLoop(options, pools, plan)
  // After a refusal by the checks or an interruption, the current attempt still holds its slot.
  return runAttempts(attemptLoop).pipe(Effect.onExit(() => Effect.sync(attemptLoop.abandon)))
}
