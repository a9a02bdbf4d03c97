/** Inserts batches of claims and determines the outcome of each. */
import { Effect } from 'effect'
import type { Commit, Platform, PlatformFailure, Row } from '../model/index.js'
import { decodeClaim, encodeClaim, type ClaimOrigin } from './claim-row.js'
import type { PendingClaim } from './pending-claim.js'

/** Maximum number of inserts per claim: the first, one after a lost acknowledgement or a conflict of the batch, and one in its own transaction. */
const MAX_ROUNDS = 3
/** From this round on, each claim has its own transaction, so that a row that stale reads do not show yet blocks no other claim. */
const FIRST_SINGLE_ROUND = 3
/** Maximum number of concurrent transactions with a single row. */
const SINGLE_CONCURRENCY = 8
/** Maximum number of attempts to read a batch back. More would exceed the deadlines of the requests. */
const MAX_READ_ATTEMPTS = 2
/** Delay between the attempts; longer than the replacement of a closed connection takes. */
const READ_RETRY_DELAY_MS = 50

/** Dependencies of the insertion. */
export interface InsertionOptions {
  readonly platform: Platform
  readonly createOrigin: () => ClaimOrigin
}

type Outcome = Commit | PlatformFailure

function insertAll ({ platform, createOrigin }: InsertionOptions, unsettled: readonly PendingClaim[]): Effect.Effect<Outcome> {
  const writes = unsettled.map(({ claim }) => ({ key: claim.key, value: encodeClaim(claim, createOrigin()), expect: 'absent' as const }))
  return platform.transact(writes).pipe(Effect.match({ onSuccess: (commit): Outcome => commit, onFailure: failure => failure }))
}

function readBack ({ platform }: InsertionOptions, unsettled: readonly PendingClaim[]): Effect.Effect<ReadonlyArray<Row | undefined>, PlatformFailure> {
  const read = platform.readMany(unsettled.map(({ claim }) => claim.key))
  const readWithRetries = (retriesLeft: number): typeof read => read.pipe(Effect.catch(failure => retriesLeft === 0
    ? Effect.fail(failure)
    : Effect.sleep(READ_RETRY_DELAY_MS).pipe(Effect.andThen(readWithRetries(retriesLeft - 1)))))
  return readWithRetries(MAX_READ_ATTEMPTS - 1)
}

/**
 * Drops rows of other requests that were deleted and that a stale read still returns. Such a row would
 * refuse the request with `key-reused`, although the current claim of the key can be of the same request.
 */
function dropStaleRows ({ platform }: InsertionOptions, unsettled: readonly PendingClaim[], rows: ReadonlyArray<Row | undefined>): Effect.Effect<ReadonlyArray<Row | undefined>, PlatformFailure> {
  const isOfOtherRequest = (row: Row | undefined, i: number): row is Row =>
    row !== undefined && (decodeClaim(row.value)?.fingerprint ?? unsettled[i]?.claim.fingerprint) !== unsettled[i]?.claim.fingerprint
  const dropIfStale = (row: Row | undefined, i: number): Effect.Effect<Row | undefined, PlatformFailure> => isOfOtherRequest(row, i)
    ? platform.transact([], [{ key: row.key, expect: row.version }]).pipe(Effect.map(outcome => outcome === 'committed' ? row : undefined))
    : Effect.succeed(row)
  return Effect.forEach(rows, dropIfStale, { concurrency: SINGLE_CONCURRENCY })
}

const refuseAll = (unsettled: readonly PendingClaim[], detail: string): void => {
  for (const pending of unsettled) pending.refuse('claim-unavailable', detail)
}

/** Settles the claims whose row exists, and returns the others. */
function settleFromRows (unsettled: readonly PendingClaim[], rows: ReadonlyArray<Row | undefined>): readonly PendingClaim[] {
  return unsettled.filter((pending, i) => {
    const row = rows[i]
    if (row !== undefined) pending.settleFromRow(decodeClaim(row.value))
    return row === undefined
  })
}

/** Drops requests that stopped waiting, so that no claim is inserted for them. */
function dropWithdrawn (batch: readonly PendingClaim[]): readonly PendingClaim[] {
  refuseAll(batch.filter(pending => pending.isWithdrawn()), 'the request was cancelled or its deadline passed')
  return batch.filter(pending => !pending.isWithdrawn())
}

function insertRound (options: InsertionOptions, batch: readonly PendingClaim[], round: number): Effect.Effect<void> {
  return Effect.gen(function * () {
    const unsettled = dropWithdrawn(batch)
    if (unsettled.length === 0) return
    const outcome = yield * insertAll(options, unsettled)
    if (outcome === 'committed') return unsettled.forEach(pending => pending.grant())
    if (outcome !== 'conflict' && outcome.kind === 'unavailable') return refuseAll(unsettled, outcome.detail)
    if (outcome !== 'conflict') for (const pending of unsettled) pending.isInsertOutcomeUnknown = true
    const rows = yield * Effect.result(readBack(options, unsettled).pipe(Effect.flatMap(found => dropStaleRows(options, unsettled, found))))
    if (rows._tag === 'Failure') return refuseAll(unsettled, rows.failure.detail)
    yield * insertRemaining(options, settleFromRows(unsettled, rows.success), round + 1)
  })
}

/** Inserts the claims that have no row yet: a conflict of another claim aborted their transaction, or it had no effect. */
function insertRemaining (options: InsertionOptions, remaining: readonly PendingClaim[], round: number): Effect.Effect<void> {
  if (round > MAX_ROUNDS) return Effect.sync(() => refuseAll(remaining, 'the platform did not accept the claim, and reads do not return it'))
  if (round < FIRST_SINGLE_ROUND) return insertRound(options, remaining, round)
  return Effect.forEach(remaining, pending => insertRound(options, [pending], round), { concurrency: SINGLE_CONCURRENCY, discard: true })
}

/**
 * Inserts a batch of claims with distinct keys. Each claim is settled: granted, resolved from the
 * existing row of its key, or refused with `claim-unavailable`.
 */
export function insertClaims (options: InsertionOptions, batch: readonly PendingClaim[]): Effect.Effect<void> {
  return insertRound(options, batch, 1)
}
