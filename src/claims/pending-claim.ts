/** One request for a claim, from its arrival to its result. */
import { Deferred, Effect } from 'effect'
import { refusal, type ErrorKind, type Refusal } from '../errors/index.js'
import type { Claim, ClaimRequest, ClaimResult } from '../model/index.js'
import type { StoredClaim } from './claim-row.js'

/** A claim that was asked for. */
export interface PendingClaim {
  readonly claim: Claim
  /** Whether an insert without acknowledgement may have taken effect or still may. */
  mayBeWritten: boolean
  /** Whether the request was given up, because of its deadline or its caller. */
  readonly isWithdrawn: () => boolean
  readonly grant: () => void
  readonly refuse: (kind: ErrorKind, detail: string) => void
  /** Decides by the row that exists under the key. */
  readonly decide: (stored: StoredClaim | undefined) => void
  /** Waits for the result until the deadline. */
  readonly wait: (remainingMs: number) => Effect.Effect<ClaimResult, Refusal>
}

const ranEarlier = 'a request with this key was forwarded earlier'

/** The result when the row of another attempt exists. */
function resultOf (stored: StoredClaim | undefined, { fingerprint }: ClaimRequest): Effect.Effect<ClaimResult, Refusal> {
  // A row of an unknown form may belong to a request that ran.
  if (stored === undefined) return Effect.fail(refusal('duplicate-in-progress', 'the claim of this key is not readable'))
  if (stored.fingerprint !== fingerprint) return Effect.fail(refusal('key-reused', 'the key belongs to a request with another fingerprint'))
  const { answer } = stored
  if (answer === undefined) return Effect.fail(refusal('duplicate-in-progress', `${ranEarlier} and has no recorded answer`))
  if (answer.body === undefined) return Effect.fail(refusal('duplicate-ran', `${ranEarlier}, and its answer is too large to be recorded`))
  return Effect.succeed({ kind: 'replay', answer })
}

/**
 * Creates a pending claim.
 *
 * @param discard deletes the claim in the background; called when the claim may exist although its
 * request is not going to be forwarded
 */
export function createPendingClaim (wanted: ClaimRequest, claim: Claim, discard: () => void): PendingClaim {
  const result = Deferred.makeUnsafe<ClaimResult, Refusal>()
  let state: 'open' | 'granted' | 'refused' | 'withdrawn' = 'open'

  const withdraw = Effect.sync(() => {
    // The claim was granted, but the request stopped waiting before it saw that.
    if (state === 'granted') discard()
    if (state !== 'refused') state = 'withdrawn'
  })
  const settle = (outcome: Effect.Effect<ClaimResult, Refusal>): void => {
    if (state === 'open') state = 'refused'
    // A late insert can take effect when the row that exists now is deleted.
    if (pending.mayBeWritten) discard()
    Deferred.doneUnsafe(result, outcome)
  }
  const pending: PendingClaim = {
    claim,
    mayBeWritten: false,
    isWithdrawn: () => state === 'withdrawn',
    grant: () => {
      if (state === 'withdrawn') return discard()
      state = 'granted'
      Deferred.doneUnsafe(result, Effect.succeed({ kind: 'claimed', claim }))
    },
    refuse: (kind, detail) => settle(Effect.fail(refusal(kind, detail))),
    decide: stored => {
      if (stored?.nonce === claim.nonce) pending.grant()
      else settle(resultOf(stored, wanted))
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
