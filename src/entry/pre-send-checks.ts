/** The checks of a routed request that depend on its body: quarantine, and the claim of its key. */
import { Effect } from 'effect'
import { refusal, type Refusal } from '../errors/index.js'
import type { Claim, Claims, RecordedAnswer, ResolvedRoute } from '../model/index.js'
import type { Body } from './body.js'
import type { Exchange } from './exchange.js'
import { fingerprintOf } from './fingerprint.js'
import type { EntryOptions } from './options.js'
import type { ParsedRequest } from './request.js'

/** A request with its route, before anything was sent. */
export interface Routed {
  readonly exchange: Exchange
  readonly request: ParsedRequest
  readonly route: ResolvedRoute
  readonly body: Body
  /** In ms, on the entry's clock. */
  readonly deadlineAt: number
}

/** The checks and what they found. */
export interface Checks {
  /**
   * Reads the first part of the body and checks the request. Runs once; later
   * calls do nothing. Errors: `request-quarantined`, `deadline-too-short`,
   * those of the claim, and `REPLAY`.
   */
  readonly pass: Effect.Effect<void, Refusal>
  /** Undefined before the checks. */
  readonly fingerprint: () => string | undefined
  readonly claim: () => Claim | undefined
  /** The answer of an earlier run of the request. */
  readonly replay: () => RecordedAnswer | undefined
}

/**
 * Stands for a recorded answer in the error channel, where it ends the way of
 * the request like a refusal does. It never reaches a caller.
 */
export const REPLAY: Refusal = refusal('duplicate-ran', 'the recorded answer is replayed')

/** Whether the request could finish in the time that is left. */
export function hasTime (options: EntryOptions, route: ResolvedRoute, deadlineAt: number, now: number): boolean {
  const usualMs = options.medianLatencyMs(route.service.name, route.class.name, now) ?? 0
  return deadlineAt - now > Math.max(0, usualMs)
}

/** Refuses a request that could not finish in time. */
export function checkTime (options: EntryOptions, route: ResolvedRoute, deadlineAt: number): Effect.Effect<void, Refusal> {
  return hasTime(options, route, deadlineAt, options.clock())
    ? Effect.void
    : Effect.fail(refusal('deadline-too-short', 'the remaining time is below the usual latency of the class'))
}

interface State {
  fingerprint: string | undefined
  claim: Claim | undefined
  replay: RecordedAnswer | undefined
}

/** Claims the key, and keeps the claim also when the caller goes away in the meantime. */
function claimKey (
  options: EntryOptions, claims: Claims, routed: Routed, state: State, key: string, fingerprint: string
): Effect.Effect<void, Refusal> {
  const wanted = { service: routed.route.service.name, idempotencyKey: key, fingerprint, deadlineAt: routed.deadlineAt }
  return Effect.uninterruptibleMask(restore => restore(claims.claim(wanted, options.clock())).pipe(
    Effect.tap(result => Effect.sync(() => {
      if (result.kind === 'claimed') state.claim = result.claim
      else state.replay = result.answer
    })),
    Effect.asVoid
  ))
}

// A generator function that was called lives until a full garbage collection, and keeps what it
// refers to. The programs of a request are therefore made once, by `fnUntraced` at the top level.
const runChecks = Effect.fnUntraced(function * (options: EntryOptions, routed: Routed, state: State) {
  const { exchange, request, route, body, deadlineAt } = routed
  if (state.fingerprint !== undefined) return
  exchange.setAwaited(() => 'caller')
  exchange.sendContinue()
  // With an expectation, a slot is held meanwhile; the deadline is checked below.
  yield * body.readPrefix(Math.max(0, deadlineAt - options.clock()))
  exchange.setAwaited(() => undefined)
  const caller = options.tellsCallersApart === true ? exchange.callerKey : ''
  const fingerprint = fingerprintOf(route.service.name, request, body.prefix(), caller)
  state.fingerprint = fingerprint
  if (options.quarantined(fingerprint, options.clock())) {
    return yield * Effect.fail(refusal('request-quarantined', 'equal requests crashed several targets'))
  }
  yield * checkTime(options, route, deadlineAt)
  if (route.class.idempotent || request.idempotencyKey === undefined || options.claims === undefined) return
  yield * claimKey(options, options.claims, routed, state, request.idempotencyKey, fingerprint)
  if (state.replay !== undefined) yield * Effect.fail(REPLAY)
})

/** Creates the checks of one request. */
export function createChecks (options: EntryOptions, routed: Routed): Checks {
  const state: State = { fingerprint: undefined, claim: undefined, replay: undefined }
  return {
    pass: Effect.suspend(() => runChecks(options, routed, state)),
    fingerprint: () => state.fingerprint,
    claim: () => state.claim,
    replay: () => state.replay
  }
}
