import { randomBytes } from 'node:crypto'
import { Effect, type Fiber } from 'effect'
import { refusal } from '../errors/index.js'
import type { Log } from '../log/index.js'
import type { Claim, ClaimRequest, Claims, Clock, Platform } from '../model/index.js'
import { claimKey, encodeClaim, type ClaimOrigin } from './claim-row.js'
import { deleteClaims, createPendingDeletion, type PendingDeletion } from './deletion.js'
import { insertClaims } from './insertion.js'
import { createPendingClaim, type PendingClaim } from './pending-claim.js'
import { chargeWrites, createWriteBudget } from './write-budget.js'
import { createWorkQueue, type WorkQueue, type WorkQueueOptions } from './work-queue.js'

/** Maximum wait of a claim for the transaction in progress, so that a transaction that gets no response does not block further claims. */
const CLAIM_WINDOW_MS = 10
/** Responses that are recorded within this time share a transaction. No request waits for this write. */
const RESPONSE_WINDOW_MS = 100
/** Maximum number of rows per transaction. */
const MAX_BATCH_ROWS = 100
/** Maximum number of claims of one VM that wait for the platform. Further requests are refused immediately. */
const MAX_PENDING_CLAIMS = 2000
/** Maximum total size of the responses of one VM that wait to be recorded. A claim without its response stays unfinished. */
const MAX_QUEUED_RESPONSES_BYTES = 8 * 1024 * 1024
/** Maximum number of deletions of one VM that wait for the platform. A key whose claim is not deleted cannot be used again. */
const MAX_PENDING_DELETIONS = 1000
/** Time limit for writing responses and deletions at a shutdown; as long as a late insert can take. */
const DEFAULT_DRAIN_LIMIT_MS = 5000
const NONCE_BYTES = 16

/** Claims whose background writes can be flushed at a shutdown. */
export interface DrainableClaims extends Claims {
  /**
   * Waits up to `drainLimitMs` until the queued responses and deletions are written to the platform,
   * and ends the background work. The number of unwritten ones is logged. Their claims stay unfinished,
   * and repeated requests get `duplicate-in-progress`. Must be called after the last request has ended.
   */
  readonly drain: () => Effect.Effect<void>
}

/** Options of {@link createClaims}. */
export interface ClaimsOptions {
  readonly platform: Platform
  readonly log: Log
  /** Name of this VM, stored in its claims for display to operators. Example: `'entry-7'`. */
  readonly vm: string
  /** Number of VMs that write claims; the write budget is divided evenly among them. Default: 1. */
  readonly writers?: () => number
  /** Monotonic time in ms; deadlines are on this clock. Default: `performance.now`. */
  readonly clock?: Clock
  /** Time in ms since 1970, for display. Default: `Date.now`. */
  readonly wallClock?: () => number
  /** Uniform random number in [0, 1), for jitter. Default: `Math.random`. */
  readonly random?: () => number
  /** Creates a unique nonce for each attempt. Default: 128 random bits. */
  readonly createNonce?: () => string
  /** Time limit of {@link DrainableClaims.drain}, in ms. Default: 5000. */
  readonly drainLimitMs?: number
  /** Starts background work. Default: `Effect.runFork`. */
  readonly fork?: (effect: Effect.Effect<void>) => Fiber.Fiber<void>
}

interface FinishedClaim {
  readonly claim: Claim
  readonly text: string
}

type SharedQueueOptions = Pick<WorkQueueOptions<unknown>, 'batchSize' | 'budget' | 'fork' | 'clock' | 'random'>

function createResponseQueue (platform: Platform, queueOptions: SharedQueueOptions): WorkQueue<FinishedClaim> {
  return createWorkQueue<FinishedClaim>({
    ...queueOptions,
    windowMs: RESPONSE_WINDOW_MS,
    limit: MAX_QUEUED_RESPONSES_BYTES,
    weightOf: ({ text }) => text.length,
    keyOf: ({ claim }) => claim.key,
    // The owner of a claim never changes, so the row is always the one that this claim inserted.
    handle: items => platform.transact(items.map(({ claim, text }) => ({ key: claim.key, value: text, expect: 'any' }))).pipe(
      Effect.match({ onSuccess: outcome => outcome === 'committed' ? [] : items, onFailure: () => items }))
  })
}

function createDeletionQueue (platform: Platform, queueOptions: SharedQueueOptions): WorkQueue<PendingDeletion> {
  return createWorkQueue<PendingDeletion>({
    ...queueOptions,
    windowMs: CLAIM_WINDOW_MS,
    limit: MAX_PENDING_DELETIONS,
    keyOf: ({ claim }) => claim.key,
    handle: deletions => deleteClaims(platform, queueOptions.clock, deletions)
  })
}

function createClaimQueue (platform: Platform, createOrigin: () => ClaimOrigin, queueOptions: SharedQueueOptions): WorkQueue<PendingClaim> {
  return createWorkQueue<PendingClaim>({
    ...queueOptions,
    windowMs: CLAIM_WINDOW_MS,
    isGroupCommit: true,
    limit: MAX_PENDING_CLAIMS,
    keyOf: ({ claim }) => claim.key,
    handle: batch => insertClaims({ platform, createOrigin }, batch).pipe(Effect.as([]))
  })
}

const createRandomNonce = (): string => randomBytes(NONCE_BYTES).toString('base64url')

/**
 * Creates claims, which prevent a non-idempotent request from being executed twice.
 *
 * `claim` fails with `claim-unavailable`, `deadline-too-short` or `key-reused` (not run), with
 * `duplicate-in-progress` (may have run) or with `duplicate-ran`.
 *
 * @example
 * const claims = createClaims({ platform, log, vm: 'entry-7' })
 * const result = await Effect.runPromise(claims.claim({ service, idempotencyKey, fingerprint, deadlineAt }, now))
 * if (result.kind === 'claimed') claims.finish(result.claim, { status: 201, headers: {}, body })
 */
export function createClaims (options: ClaimsOptions): DrainableClaims {
  const { log, vm, writers = () => 1, clock = () => performance.now(), wallClock = Date.now, random = Math.random } = options
  const { createNonce = createRandomNonce, drainLimitMs = DEFAULT_DRAIN_LIMIT_MS, fork = Effect.runFork } = options
  const budget = createWriteBudget(writers)
  const platform = chargeWrites(options.platform, budget, clock)
  const queueOptions: SharedQueueOptions = { batchSize: MAX_BATCH_ROWS, budget, fork, clock, random }
  const createOrigin = (): ClaimOrigin => ({ vm, claimedAt: wallClock() })
  const responses = createResponseQueue(platform, queueOptions)
  const deletions = createDeletionQueue(platform, queueOptions)
  const pendingClaims = createClaimQueue(platform, createOrigin, queueOptions)

  const pendingByClaim = new WeakMap<Claim, PendingClaim>()

  const abandon = (claim: Claim): void => {
    const deletion = createPendingDeletion(claim, pendingByClaim.get(claim)?.isInsertOutcomeUnknown ?? true, clock())
    if (!deletions.add(deletion)) log.error('claim.not-deleted', { key: claim.key, reason: 'the deletion queue is full' })
  }

  const claim: Claims['claim'] = (request: ClaimRequest, now: number) => Effect.suspend(() => {
    if (request.deadlineAt <= now) return Effect.fail(refusal('deadline-too-short', 'the deadline passed before the request could be claimed'))
    const newClaim: Claim = { key: claimKey(request), nonce: createNonce(), fingerprint: request.fingerprint }
    const pending = createPendingClaim(request, newClaim, () => abandon(newClaim))
    pendingByClaim.set(newClaim, pending)
    if (!pendingClaims.add(pending)) return Effect.fail(refusal('claim-unavailable', `the queue of ${MAX_PENDING_CLAIMS} claims is full`))
    return pending.wait(request.deadlineAt - now)
  })

  return {
    claim,
    finish: (claim, response) => {
      const text = encodeClaim(claim, createOrigin(), response)
      if (!responses.add({ claim, text })) log.error('claim.answer-not-recorded', { key: claim.key, reason: 'the response queue is full' })
    },
    abandon,
    drain: () => Effect.gen(function * () {
      const drains = [responses.drain(drainLimitMs), deletions.drain(drainLimitMs)] as const
      const [answersLeft, deletionsLeft] = yield * Effect.all(drains, { concurrency: 'unbounded' })
      if (answersLeft + deletionsLeft > 0) log.warn('claims.not-drained', { answersLeft, deletionsLeft })
    })
  }
}
