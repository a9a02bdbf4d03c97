/** Forwards one request, with retries at other targets, and delivers the response. */
import type { IncomingMessage } from 'node:http'
import { Effect } from 'effect'
import { refusal, type ErrorKind, type Refusal } from '../errors/index.js'
import type { AttemptOutcome } from './attempt.js'
import { createAttemptRace, type AttemptRace, type RacePlan } from './attempt-race.js'
import { observedResult, type SettledAttempt } from './kept-failure.js'
import type { EntryOptions } from './options.js'
import type { Pools } from './pool.js'

/** A routed request to forward. */
export interface ForwardPlan extends RacePlan {
  /** Relays the final response of a target to the caller; false when it was truncated. */
  readonly deliver: (targetResponse: IncomingMessage, outcome: AttemptOutcome, onComplete: () => void) => Effect.Effect<boolean, Refusal>
}

/** The error kind that the caller receives for a failed attempt. */
function errorKindOf ({ result, targetResponse, isTimedOut }: AttemptOutcome): ErrorKind {
  if (result === 'exhausted' || result === 'shed' || result === 'misdirected') return 'overloaded'
  if (result === 'unreachable') return 'target-unreachable'
  if (targetResponse !== undefined) return 'overloaded'
  return isTimedOut ? 'deadline-exceeded' : 'target-failed'
}

function refuse (plan: ForwardPlan, race: AttemptRace, outcome: AttemptOutcome): Refusal {
  const refused = refusal(errorKindOf(outcome), outcome.detail, { run: plan.exchange.run() })
  return { ...refused, retryAfterMs: Math.max(refused.retryAfterMs ?? 0, race.retryAfterMs() ?? 0) }
}

/** Delivers the response of the settled attempt, or fails with the corresponding refusal. */
function conclude (plan: ForwardPlan, race: AttemptRace, { attempt, outcome }: SettledAttempt): Effect.Effect<boolean, Refusal> {
  const { targetResponse } = outcome
  if (targetResponse === undefined) return Effect.fail(refuse(plan, race, outcome))
  // A failed response that was kept for later may have broken off meanwhile.
  if (targetResponse.destroyed && !outcome.buffered.isComplete) {
    attempt.abandon('truncated')
    return Effect.fail(refuse(plan, race, { ...outcome, result: 'truncated', targetResponse: undefined }))
  }
  return plan.deliver(targetResponse, outcome, () => attempt.complete(observedResult(outcome))).pipe(
    Effect.tap(isComplete => Effect.sync(() => { if (!isComplete) attempt.complete('truncated') })),
    // A response that waited for earlier ones until the deadline says nothing about its target.
    Effect.tapError(({ kind }) => Effect.sync(() => attempt.complete(kind === 'target-failed' ? 'truncated' : 'cancelled')))
  )
}

const runRace = Effect.fnUntraced(function * (plan: ForwardPlan, race: AttemptRace) {
  yield * race.begin
  const settled = yield * race.settle
  return yield * conclude(plan, race, settled)
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
  const race = createAttemptRace(options, pools, plan)
  // After a refusal by the checks or an interruption, attempts still hold their slots.
  return runRace(plan, race).pipe(Effect.onExit(() => race.abandon))
}
