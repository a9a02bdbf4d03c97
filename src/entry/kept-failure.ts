/** The failed attempt whose outcome the caller gets unless a later attempt succeeds. */
import type { Result } from '../model/index.js'
import type { Attempt, AttemptOutcome } from './attempt.js'

/** An attempt with its outcome. */
export interface SettledAttempt {
  readonly attempt: Attempt
  readonly outcome: AttemptOutcome
}

/** Holds at most one failed attempt. */
export interface KeptFailure {
  readonly current: () => SettledAttempt | undefined
  /** Keeps a failure. A response of a target is preferred to a later failure without one. */
  readonly keep: (failure: SettledAttempt) => void
  /** Removes the failure and returns it, with its connection and slot. */
  readonly take: () => SettledAttempt | undefined
  /** Drops a response that was not read completely, because it holds a connection and a slot. */
  readonly dropPartial: () => void
  readonly drop: () => void
}

/** The result that is recorded for the target; an exhausted connection limit says nothing about its health. */
export function observedResult ({ result }: AttemptOutcome): Result | undefined {
  return result === 'exhausted' ? undefined : result
}

/**
 * Creates a holder without a failure.
 *
 * @example
 * const failure = createKeptFailure()
 * failure.keep({ attempt, outcome })
 * failure.current()?.outcome.result // 'reset'
 */
export function createKeptFailure (): KeptFailure {
  let kept: SettledAttempt | undefined

  const drop = (): void => {
    kept?.attempt.abandon(observedResult(kept.outcome))
    kept = undefined
  }

  return {
    current: () => kept,
    keep: failure => {
      const { attempt, outcome } = failure
      const hasResponse = outcome.targetResponse !== undefined
      if (!hasResponse) attempt.abandon(observedResult(outcome))
      // A response that was read completely needs neither its connection nor its slot any more.
      else if (outcome.buffered.isComplete) attempt.complete(observedResult(outcome))
      if (!hasResponse && kept?.outcome.targetResponse !== undefined) return
      drop()
      kept = failure
    },
    take: () => {
      const taken = kept
      kept = undefined
      return taken
    },
    dropPartial: () => { if (kept?.outcome.buffered.isComplete === false) drop() },
    drop
  }
}
