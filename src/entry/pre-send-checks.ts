/** Checks of a routed request that depend on its body: quarantine, and the claim of its idempotency key. */
import { Effect } from 'effect'
import { refusal, type Refusal } from '../errors/index.js'
import type { Claim, Claims, RecordedResponse, ResolvedRoute } from '../model/index.js'
import type { Body } from './body.js'
import type { Exchange } from './exchange.js'
import { fingerprintOf } from './fingerprint.js'
import type { EntryOptions } from './options.js'
import type { ParsedRequest } from './request.js'
import { refuseLate, type Shutdown } from './shutdown.js'

/** A routed request of which nothing was sent to a target yet. */
export interface RoutedRequest {
  readonly exchange: Exchange
  readonly request: ParsedRequest
  readonly route: ResolvedRoute
  readonly body: Body
  /** In ms, on the entry's clock. */
  readonly deadlineAt: number
}

/** The checks and their results. */
export interface PreSendChecks {
  /**
   * Buffers the prefix of the body and checks the request; later calls only
   * check whether the VM is about to end. Errors: `request-quarantined`,
   * `deadline-too-short`, `stopping`, those of the claim, and `REPLAY`.
   */
  readonly run: Effect.Effect<void, Refusal>
  /** Whether the VM is about to end, so that `run` refuses the request. */
  readonly isLate: () => boolean
  /** Undefined until the checks have run. */
  readonly fingerprint: () => string | undefined
  readonly claim: () => Claim | undefined
  /** The recorded response of an earlier run of the request. */
  readonly replay: () => RecordedResponse | undefined
}

/**
 * Sentinel for a recorded response in the error channel, where it ends the
 * processing of the request like a refusal. It is never sent to a caller.
 */
export const REPLAY: Refusal = refusal('duplicate-ran', 'the recorded response is replayed')

/** Whether the time until the deadline exceeds the median latency of the class. */
export function hasTimeLeft (options: Pick<EntryOptions, 'medianLatencyMs'>, route: ResolvedRoute, deadlineAt: number, now: number): boolean {
  const medianMs = options.medianLatencyMs(route.service.name, route.class.name, now) ?? 0
  return deadlineAt - now > Math.max(0, medianMs)
}

/** Refuses a request that is not expected to finish before its deadline. */
export function checkTimeLeft (options: EntryOptions, route: ResolvedRoute, deadlineAt: number): Effect.Effect<void, Refusal> {
  return hasTimeLeft(options, route, deadlineAt, options.clock())
    ? Effect.void
    : Effect.fail(refusal('deadline-too-short', 'the remaining time is below the median latency of the class'))
}

interface State {
  fingerprint: string | undefined
  claim: Claim | undefined
  replay: RecordedResponse | undefined
}

/** Claims the key. A claim that was made is stored in `state` even if the caller disconnects meanwhile. */
function claimKey (
  options: EntryOptions, claims: Claims, routed: RoutedRequest, state: State, key: string, fingerprint: string
): Effect.Effect<void, Refusal> {
  const claimRequest = { service: routed.route.service.name, idempotencyKey: key, fingerprint, deadlineAt: routed.deadlineAt }
  return Effect.uninterruptibleMask(restore => restore(claims.claim(claimRequest, options.clock())).pipe(
    Effect.tap(result => Effect.sync(() => {
      if (result.kind === 'claimed') state.claim = result.claim
      else state.replay = result.answer
    })),
    Effect.asVoid
  ))
}

// V8 keeps a generator function that was called, and all that its closure references, until a full garbage
// collection. Generator functions are therefore created once at the top level, by `fnUntraced`, not per request.
const runChecks = Effect.fnUntraced(function * (options: EntryOptions, routed: RoutedRequest, state: State) {
  const { exchange, request, route, body, deadlineAt } = routed
  if (state.fingerprint !== undefined) return
  exchange.setAwaited(() => 'caller')
  exchange.sendContinue()
  // With `Expect: 100-continue`, the request holds a slot while the body is read; the deadline is checked below.
  const isTimedOut = yield * body.readPrefix(Math.max(0, deadlineAt - options.clock()))
  exchange.setAwaited(() => undefined)
  const caller = options.isFingerprintPerCaller === true ? exchange.callerKey : ''
  const fingerprint = fingerprintOf(route.service.name, request, body.prefix(), caller)
  state.fingerprint = fingerprint
  if (options.isQuarantined(fingerprint, options.clock())) {
    return yield * Effect.fail(refusal('request-quarantined', 'identical requests crashed several targets'))
  }
  if (isTimedOut) return yield * Effect.fail(refusal('deadline-too-short', 'the body did not arrive before the deadline'))
  yield * checkTimeLeft(options, route, deadlineAt)
  if (route.class.idempotent || request.idempotencyKey === undefined || options.claims === undefined) return
  yield * claimKey(options, options.claims, routed, state, request.idempotencyKey, fingerprint)
  if (state.replay !== undefined) yield * Effect.fail(REPLAY)
})

/** Creates the checks of one request. */
export function createChecks (options: EntryOptions, routed: RoutedRequest, shutdown: () => Shutdown | undefined): PreSendChecks {
  const state: State = { fingerprint: undefined, claim: undefined, replay: undefined }
  const lateRefusal = (): Refusal | undefined => refuseLate(shutdown(), routed.deadlineAt, options.clock())
  const failIfLate = Effect.suspend(() => {
    const refused = lateRefusal()
    return refused === undefined ? Effect.void : Effect.fail(refused)
  })
  return {
    run: Effect.suspend(() => runChecks(options, routed, state)).pipe(Effect.andThen(failIfLate)),
    isLate: () => lateRefusal() !== undefined,
    fingerprint: () => state.fingerprint,
    claim: () => state.claim,
    replay: () => state.replay
  }
}
