/** Forwards one request: attempts at targets until there is an answer or a reason to stop. */
import type { IncomingMessage } from 'node:http'
import { Effect } from 'effect'
import { refusal, type Kind, type Refusal } from '../errors/index.js'
import type { Result, Slot } from '../model/index.js'
import { beginAttempt, type Attempt, type Attempted, type Outcome } from './attempt.js'
import { hasTime, type Checks, type Routed } from './pre-send-checks.js'
import { REUSE_WITHIN_MS, type EntryOptions } from './options.js'
import { ownDialect } from './native-dialect.js'
import type { Pools } from './pool.js'

/** A routed request on its way to the targets. */
export interface Plan extends Routed {
  /** Passed before the first byte goes to a target, once there is a connection. */
  readonly checks: Checks
  /** Sends the final answer of a target to the caller; false when it ended early. */
  readonly deliver: (answer: IncomingMessage, outcome: Outcome, onWhole: () => void) => Effect.Effect<boolean>
}

/** A reused connection is given up after this multiple of the usual latency. */
const STALL_LATENCY_FACTOR = 8
/** A pause of a target, for example to collect garbage, is no reason to give up a connection. */
const STALL_MIN_MS = 250
/** A retry has little time left, so it takes a connection that carried an answer just now, or a new one. */
const RETRY_REUSE_WITHIN_MS = 500
/** Leaves as much time for the retry as the stalled attempt took. */
const STALL_DEADLINE_SHARE = 0.5

function stallMsFor (options: EntryOptions, { route, deadlineAt }: Plan, now: number): number | undefined {
  if (!route.class.idempotent) return undefined
  const usualMs = options.medianLatencyMs(route.service.name, route.class.name, now)
  const latestMs = (deadlineAt - now) * STALL_DEADLINE_SHARE
  return usualMs === undefined ? latestMs : Math.min(latestMs, Math.max(STALL_MIN_MS, usualMs * STALL_LATENCY_FACTOR))
}

/** The kind of error that a failed attempt means for the caller. */
function kindOf ({ result, answer, isLate }: Outcome): Kind {
  if (result === 'exhausted' || result === 'shed' || result === 'misdirected') return 'overloaded'
  if (result === 'unreachable') return 'target-unreachable'
  if (answer !== undefined) return 'overloaded'
  return isLate ? 'deadline-exceeded' : 'target-failed'
}

/** What is recorded of an outcome; a lack of connections says nothing about the target. */
function resultOf ({ result }: Outcome): Result | undefined {
  return result === 'exhausted' ? undefined : result
}

/** The attempts of one request. */
interface Forwarding {
  /** Begins the first attempt. */
  readonly begin: Effect.Effect<void, Refusal>
  readonly current: () => Attempt
  /** Begins another attempt when the outcome allows one; false when it does not. */
  readonly retry: (outcome: Outcome) => Effect.Effect<boolean>
  /** Sends the answer of the outcome, or fails with the refusal that it means. */
  readonly conclude: (outcome: Outcome) => Effect.Effect<boolean, Refusal>
  /** Returns what the current attempt holds. */
  readonly abandon: () => void
}

function createForwarding (options: EntryOptions, pools: Pools, plan: Plan): Forwarding {
  const { exchange, route, body, deadlineAt, checks } = plan
  const { clock, reuseWithinMs = REUSE_WITHIN_MS, collectBytes = 0 } = options
  const service = route.service.name
  const triedTargets = new Set<string>()
  const triedPlaces = new Set<string>()
  let current: Attempt | undefined
  let hasToken = false
  /** Attempts whose request was sent. */
  let sent = 0

  const takeToken = (): boolean => {
    hasToken ||= options.takeRetry(service, clock())
    return hasToken
  }

  /** Oldest end of the last exchange of a suitable connection. */
  const idleSince = (now: number): number => {
    if (exchange.attempts() > 1) return now - RETRY_REUSE_WITHIN_MS
    return route.class.idempotent ? -Infinity : now - reuseWithinMs
  }

  const attempted: Attempted = {
    ...plan,
    service,
    class: route.class.name,
    idleSince,
    stallMs: now => stallMsFor(options, plan, now),
    mayGiveUp: () => body.isReplayable() && takeToken(),
    prepare: checks.pass,
    fingerprint: checks.fingerprint,
    pools,
    dialect: options.dialect ?? ownDialect,
    collectBytes,
    clock
  }

  const acquire = Effect.suspend(() => options.admission.acquire({
    service,
    class: route.class.name,
    caller: exchange.callerKey,
    deadlineAt,
    requestId: exchange.id,
    idempotent: route.class.idempotent,
    priority: route.class.priority,
    objectiveAt: exchange.arrivedAt + (route.class.objectiveMs ?? route.class.deadlineMs),
    avoid: triedTargets,
    avoidPlaces: triedPlaces
  }, clock()))

  const beginAt = (slot: Slot): void => {
    triedTargets.add(slot.target.id)
    triedPlaces.add(slot.target.place)
    current = beginAttempt(attempted, slot)
  }

  const begin = Effect.uninterruptibleMask(restore => restore(acquire).pipe(
    Effect.tap(slot => Effect.sync(() => {
      beginAt(slot)
      options.earnRetry(service, clock())
    })),
    Effect.asVoid
  ))

  const isRetryAllowed = ({ result, run, isLate }: Outcome): boolean => {
    if (result === 'answered' || result === 'exhausted' || isLate) return false
    if (sent >= (route.class.maxAttempts ?? Infinity)) return false
    // The answer of a draining target is a regular answer.
    if (result === 'draining' && run !== 'not-run') return false
    const isRepeatable = route.class.idempotent || run === 'not-run'
    if (!isRepeatable || !body.isReplayable() || !hasTime(options, route, deadlineAt, clock())) return false
    // The first request that reaches a target is no retry, whatever was tried before.
    return sent === 0 || takeToken()
  }

  /** Goes on at another target, if there is one and time to use it. */
  const moveTo = (slot: Slot, outcome: Outcome): boolean => {
    if (triedTargets.has(slot.target.id) || !hasTime(options, route, deadlineAt, clock())) {
      slot.release(undefined, clock())
      return false
    }
    hasToken = false
    current?.drop(resultOf(outcome))
    beginAt(slot)
    return true
  }

  const retry = (outcome: Outcome): Effect.Effect<boolean> => {
    if (outcome.result !== 'unreachable' && outcome.result !== 'exhausted') sent++
    // Without an answer that could still be delivered, the slot is returned before the wait for another.
    if (outcome.answer === undefined) current?.drop(resultOf(outcome))
    if (!isRetryAllowed(outcome)) return Effect.succeed(false)
    return Effect.uninterruptibleMask(restore => restore(acquire).pipe(Effect.match({
      onSuccess: slot => moveTo(slot, outcome),
      onFailure: () => false
    })))
  }

  const conclude = (outcome: Outcome): Effect.Effect<boolean, Refusal> => {
    const attempt = current as Attempt
    const { answer } = outcome
    if (answer === undefined) return Effect.fail(refusal(kindOf(outcome), outcome.detail, { run: exchange.run() }))
    return plan.deliver(answer, outcome, () => attempt.settle(resultOf(outcome))).pipe(
      Effect.tap(isWhole => Effect.sync(() => { if (!isWhole) attempt.settle('truncated') }))
    )
  }

  return {
    begin,
    current: () => current as Attempt,
    retry,
    conclude,
    abandon: () => current?.drop(exchange.isTargetBlamed() ? 'truncated' : 'cancelled')
  }
}

const runAttempts = Effect.fnUntraced(function * (forwarding: Forwarding) {
  yield * forwarding.begin
  for (;;) {
    const outcome = yield * forwarding.current().run
    const isRetried = yield * forwarding.retry(outcome)
    if (!isRetried) return yield * forwarding.conclude(outcome)
  }
})

/**
 * Forwards a request and sends the answer on.
 *
 * Errors: the refusal of admission or of the checks, or `overloaded`,
 * `target-unreachable`, `target-failed`, `deadline-exceeded`, with the
 * strongest run state of all attempts.
 *
 * @returns whether the caller was sent a whole answer
 */
export function forward (options: EntryOptions, pools: Pools, plan: Plan): Effect.Effect<boolean, Refusal> {
  const forwarding = createForwarding(options, pools, plan)
  // A refusal of the checks and an interruption leave an attempt that has to return its slot.
  return runAttempts(forwarding).pipe(Effect.onExit(() => Effect.sync(forwarding.abandon)))
}
