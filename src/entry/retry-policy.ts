/** Whether another attempt at a request may be sent. */
import type { AttemptOutcome } from './attempt.js'
import type { EntryOptions } from './options.js'
import { hasTimeLeft, type PreSendChecks, type RoutedRequest } from './pre-send-checks.js'

/** Decides about further attempts at one request. `sentCount`: attempts whose request may have reached a target. */
export interface RetryPolicy {
  /** Whether an attempt may be sent beside one that makes no progress. Takes a token of the retry budget. */
  readonly allowsBeside: (sentCount: number, now: number) => boolean
  /** Whether an attempt may be sent after this outcome of an earlier one. Takes a token of the retry budget if it is needed. */
  readonly allowsAfter: (outcome: AttemptOutcome, sentCount: number, now: number) => boolean
  /** Uses the token that was taken, because an attempt is sent. */
  readonly useToken: () => void
}

/** The parts of a request that decide about further attempts. */
export interface RetriedRequest extends Pick<RoutedRequest, 'route' | 'deadlineAt'> {
  readonly body: Pick<RoutedRequest['body'], 'isReplayable'>
  readonly checks: Pick<PreSendChecks, 'isLate'>
}

/**
 * Creates the policy of one request.
 *
 * @example
 * const policy = createRetryPolicy(options, { route, body, deadlineAt, checks })
 * if (policy.allowsAfter(outcome, 1, clock())) startRetry()
 */
export function createRetryPolicy (options: Pick<EntryOptions, 'medianLatencyMs' | 'takeRetryToken'>, { route, body, deadlineAt, checks }: RetriedRequest): RetryPolicy {
  const { idempotent, maxAttempts = Infinity } = route.class
  let hasToken = false

  const takeToken = (now: number): boolean => {
    hasToken ||= options.takeRetryToken(route.service.name, now)
    return hasToken
  }

  const canSendAgain = (sentCount: number, now: number): boolean =>
    sentCount < maxAttempts && body.isReplayable() && !checks.isLate() && hasTimeLeft(options, route, deadlineAt, now)

  return {
    allowsBeside: (sentCount, now) => idempotent && canSendAgain(sentCount, now) && takeToken(now),
    allowsAfter: ({ result, run, isTimedOut }, sentCount, now) => {
      if (result === 'answered' || result === 'exhausted' || isTimedOut) return false
      // Unless a draining target states that it did not run the request, its response is final.
      if (result === 'draining' && run !== 'not-run') return false
      if (!idempotent && run !== 'not-run') return false
      // Until a request was sent to a target, another attempt is not a retry and needs no token.
      return canSendAgain(sentCount, now) && (sentCount === 0 || takeToken(now))
    },
    useToken: () => { hasToken = false }
  }
}
