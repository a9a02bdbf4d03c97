/** State of a requested claim until its result is known. */
import { Deferred, Effect } from 'effect'
import { refusal, type ErrorKind, type Refusal } from '../errors/index.js'
import type { Claim, ClaimRequest, ClaimResult } from '../model/index.js'
import type { StoredClaim } from './claim-row.js'

/** A requested claim. */
export interface PendingClaim {
  readonly claim: Claim
  /** Whether an unacknowledged insert may have taken effect or can still take effect. */
  isInsertOutcomeUnknown: boolean
  /** Whether the request stopped waiting, because its deadline passed or its caller disconnected. */
  readonly isWithdrawn: () => boolean
  readonly grant: () => void
  readonly refuse: (kind: ErrorKind, detail: string) => void
  /** Resolves the claim from the existing row of its key; undefined if the row is unreadable. */
  readonly settleFromRow: (stored: StoredClaim | undefined) => void
  /** Waits for the result until the deadline. */
  readonly wait: (remainingMs: number) => Effect.Effect<ClaimResult, Refusal>
}

const forwardedEarlier = 'a request with this key was forwarded earlier'

/** Returns the result of a request whose key has the row of another attempt. */
function resultFromRow (stored: StoredClaim | undefined, { fingerprint }: ClaimRequest): Effect.Effect<ClaimResult, Refusal> {
  // A row with an unknown format may belong to a request that was executed.
  if (stored === undefined) return Effect.fail(refusal('duplicate-in-progress', 'the row of this key is not readable'))
  if (stored.fingerprint !== fingerprint) return Effect.fail(refusal('key-reused', 'the key belongs to a request with another fingerprint'))
  const { answer } = stored
  if (answer === undefined) return Effect.fail(refusal('duplicate-in-progress', `${forwardedEarlier} and has no recorded response`))
  if (answer.body === undefined) return Effect.fail(refusal('duplicate-ran', `${forwardedEarlier}, and its response is too large to be recorded`))
  return Effect.succeed({ kind: 'replay', answer })
}

/**
 * Creates a pending claim.
 *
 * @param scheduleDeletion deletes the claim in the background; called when the claim may exist, but its
 * request will not be forwarded
 */
export function createPendingClaim (request: ClaimRequest, claim: Claim, scheduleDeletion: () => void): PendingClaim {
  const result = Deferred.makeUnsafe<ClaimResult, Refusal>()
  let state: 'open' | 'granted' | 'refused' | 'withdrawn' = 'open'

  const withdraw = Effect.sync(() => {
    // The claim was granted, but the request stopped waiting before it received the result.
    if (state === 'granted') scheduleDeletion()
    if (state !== 'refused') state = 'withdrawn'
  })
  const settle = (outcome: Effect.Effect<ClaimResult, Refusal>): void => {
    if (state === 'open') state = 'refused'
    // A late insert can take effect after the existing row is deleted.
    if (pending.isInsertOutcomeUnknown) scheduleDeletion()
    Deferred.doneUnsafe(result, outcome)
  }
  const pending: PendingClaim = {
    claim,
    isInsertOutcomeUnknown: false,
    isWithdrawn: () => state === 'withdrawn',
    grant: () => {
      if (state === 'withdrawn') return scheduleDeletion()
      state = 'granted'
      Deferred.doneUnsafe(result, Effect.succeed({ kind: 'claimed', claim }))
    },
    refuse: (kind, detail) => settle(Effect.fail(refusal(kind, detail))),
    settleFromRow: stored => {
      if (stored?.nonce === claim.nonce) pending.grant()
      else settle(resultFromRow(stored, request))
    },
    wait: remainingMs => Deferred.await(result).pipe(
      Effect.timeoutOrElse({
        duration: remainingMs,
        orElse: () => withdraw.pipe(Effect.andThen(Effect.fail(refusal('claim-unavailable', 'the platform did not record the claim before the deadline'))))
      }),
      Effect.onInterrupt(() => withdraw)
    )
  }
  return pending
}
