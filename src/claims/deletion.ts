/** Deletes the claims of requests that were not executed. */
import { Effect } from 'effect'
import type { Claim, Clock, Platform, PlatformFailure, Row, Write } from '../model/index.js'
import { decodeClaim } from './claim-row.js'

/** Maximum time after which an unacknowledged write can still take effect. */
const MAX_WRITE_DELAY_MS = 5000
/** Maximum number of rows that are checked concurrently. */
const CHECK_CONCURRENCY = 8

/** A claim to delete. */
export interface PendingDeletion {
  readonly claim: Claim
  /** Whether an unacknowledged insert of the claim can take effect after the deletion. */
  readonly isInsertOutcomeUnknown: boolean
  /** Time in ms from which an unacknowledged insert can no longer take effect. */
  readonly insertSettledAt: number
}

/** Creates a deletion that is requested at `now`, in ms. */
export function createPendingDeletion (claim: Claim, isInsertOutcomeUnknown: boolean, now: number): PendingDeletion {
  return { claim, isInsertOutcomeUnknown, insertSettledAt: now + MAX_WRITE_DELAY_MS }
}

/** Returns a conditional delete, which takes effect only if the row has not changed since it was read. */
function createConditionalDelete ({ claim }: PendingDeletion, row: Row | undefined): Write | undefined {
  const stored = row === undefined ? undefined : decodeClaim(row.value)
  // A row with a response belongs to a request that was executed.
  const isOwnRow = stored?.nonce === claim.nonce && stored.answer === undefined
  return row !== undefined && isOwnRow ? { key: claim.key, value: undefined, expect: row.version } : undefined
}

/**
 * Returns whether a deletion must be retried although its write takes effect or there is nothing to delete.
 * A stale read can miss the row, or return that of an earlier attempt. A transaction therefore checks the
 * current table: the deletion is complete if the row is absent, or still is the row of another claim that was read.
 */
function mustRetry (platform: Platform, clock: Clock, deletion: PendingDeletion, row: Row | undefined): Effect.Effect<boolean, PlatformFailure> {
  if (deletion.isInsertOutcomeUnknown && clock() < deletion.insertSettledAt) return Effect.succeed(true)
  if (createConditionalDelete(deletion, row) !== undefined) return Effect.succeed(false)
  return platform.transact([], [{ key: deletion.claim.key, expect: row?.version ?? 'absent' }]).pipe(
    Effect.map(outcome => outcome === 'conflict'))
}

/**
 * Deletes the claims whose rows still have their nonce, and returns the deletions that must be retried.
 * A row with another nonce is never deleted.
 */
export function deleteClaims (platform: Platform, clock: Clock, deletions: readonly PendingDeletion[]): Effect.Effect<readonly PendingDeletion[]> {
  const deleteBatch: Effect.Effect<readonly PendingDeletion[], PlatformFailure> = Effect.gen(function * () {
    const rows = yield * platform.readMany(deletions.map(({ claim }) => claim.key))
    const writes = deletions.map((deletion, i) => createConditionalDelete(deletion, rows[i]))
    const existing = deletions.filter((_, i) => writes[i] !== undefined)
    const retryFlags = yield * Effect.forEach(deletions, (deletion, i) => mustRetry(platform, clock, deletion, rows[i]), { concurrency: CHECK_CONCURRENCY })
    const retried = deletions.filter((_, i) => retryFlags[i] === true)
    if (existing.length === 0) return retried
    const outcome = yield * platform.transact(writes.flatMap(write => write ?? []))
    return outcome === 'committed' ? retried : [...retried, ...existing]
  })
  return deleteBatch.pipe(Effect.catch(() => Effect.succeed(deletions)))
}
