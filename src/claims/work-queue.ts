/** Queues items, handles them in batches within a write budget, and retries those that failed. */
import { Effect, type Fiber } from 'effect'
import type { Clock } from '../model/index.js'
import type { WriteBudget } from './write-budget.js'

/** Backoff before the first retry of an item, doubled for each further one. */
const INITIAL_BACKOFF_MS = 100
/** Maximum backoff. After an outage, the work is done within seconds and without a thundering herd. */
const MAX_BACKOFF_MS = 5000
/** Random fraction of each backoff, so that the VMs do not retry at the same time. */
const JITTER_RATIO = 0.5
/** Interval at which {@link WorkQueue.drain} checks whether the queue is empty. */
const DRAIN_CHECK_INTERVAL_MS = 10

/** Queue of items that wait for a batch or are being handled. */
export interface WorkQueue<Item> {
  /** Adds an item. Returns false without adding it if the queue is full or has ended. */
  readonly add: (item: Item) => boolean
  /**
   * Waits up to `limitMs` until the queue is empty, and ends it. Returns the number of items that
   * were not handled. Items that are added later are rejected.
   */
  readonly drain: (limitMs: number) => Effect.Effect<number>
}

/** Options of {@link createWorkQueue}. */
export interface WorkQueueOptions<Item> {
  /** Maximum time from the first item of a batch to its start if the budget allows a batch, in ms. Example: `10`. */
  readonly windowMs: number
  /**
   * Group commit: a batch starts immediately if no other is in progress; otherwise the items that arrive
   * until the other one ends form the next batch. Default: false, every batch waits for the end of its window.
   */
  readonly isGroupCommit?: boolean
  /** Limits the rate of batches. */
  readonly budget: WriteBudget
  /** Maximum number of items per batch. Example: `100`. */
  readonly batchSize: number
  /** Maximum total weight of all items. Example: `2000`. */
  readonly limit: number
  /** Weight of an item. Default: 1. */
  readonly weightOf?: (item: Item) => number
  /** Items with the same key never share a batch, because a transaction can write a row only once. */
  readonly keyOf: (item: Item) => string
  /** Handles a batch; returns the items that must be retried. */
  readonly handle: (items: readonly Item[]) => Effect.Effect<readonly Item[]>
  /** Starts an effect in the background. */
  readonly fork: (effect: Effect.Effect<void>) => Fiber.Fiber<void>
  /** Monotonic time in ms. */
  readonly clock: Clock
  /** Uniform random number in [0, 1). */
  readonly random: () => number
}

interface QueuedItem<Item> {
  readonly item: Item
  readonly dueAt: number
  readonly retries: number
}

interface BatchSelection<Item> {
  readonly batch: ReadonlyArray<QueuedItem<Item>>
  readonly remaining: Array<QueuedItem<Item>>
}

/** Selects the first due items that can share a batch. The others keep their order. */
function selectBatch<Item> (queued: ReadonlyArray<QueuedItem<Item>>, now: number, { batchSize, keyOf }: WorkQueueOptions<Item>): BatchSelection<Item> {
  const keys = new Set<string>()
  const batch: Array<QueuedItem<Item>> = []
  const remaining: Array<QueuedItem<Item>> = []
  for (const entry of queued) {
    const key = keyOf(entry.item)
    const isSelected = entry.dueAt <= now && batch.length < batchSize && !keys.has(key)
    if (isSelected) keys.add(key)
    ;(isSelected ? batch : remaining).push(entry)
  }
  return { batch, remaining }
}

/**
 * Creates an empty queue.
 *
 * @example
 * const queue = createWorkQueue({ windowMs: 10, batchSize: 100, limit: 2000, keyOf, handle, fork, clock, random })
 * queue.add(item)
 */
export function createWorkQueue<Item> (options: WorkQueueOptions<Item>): WorkQueue<Item> {
  const { windowMs, isGroupCommit = false, budget, limit, handle, fork, clock, random, weightOf = () => 1 } = options
  let queued: Array<QueuedItem<Item>> = []
  let totalWeight = 0
  let itemCount = 0
  /** End of the current window; items that are added before it share a batch. */
  let windowEndsAt = -Infinity
  let hasEnded = false
  /** Timers and batches in progress, which would keep the process alive after the queue has ended. */
  const activeFibers = new Set<Fiber.Fiber<void>>()
  /** Time of the next scheduled batch; undefined if none is scheduled. */
  let scheduledAt: number | undefined
  let batchesInProgress = 0
  let lastBatchAt = -Infinity

  /** Returns the earliest start of the next batch. A slow transaction delays the next one by one window at most. */
  const earliestStartAt = (now: number): number => {
    const groupCommitAt = isGroupCommit && batchesInProgress > 0 ? lastBatchAt + windowMs : now
    return Math.max(now + budget.waitMs(now), groupCommitAt)
  }

  const schedule = (startAt: number): void => {
    if (hasEnded || (scheduledAt !== undefined && scheduledAt <= startAt)) return
    scheduledAt = startAt
    const delayMs = startAt - clock()
    // A timer takes at least 1 ms. Without one, items that arrive in the same turn of the event loop still share the batch.
    const delay = delayMs > 0 ? Effect.sleep(delayMs) : Effect.yieldNow
    const fiber = fork(delay.pipe(Effect.andThen(handleNextBatch)))
    activeFibers.add(fiber)
    fiber.addObserver(() => activeFibers.delete(fiber))
  }

  const scheduleNext = (): void => {
    if (queued.length === 0) return
    const dueAt = queued.reduce((earliest, entry) => Math.min(earliest, entry.dueAt), Infinity)
    schedule(Math.max(dueAt, earliestStartAt(clock())))
  }

  /** Removes the handled items, and queues those that must be retried. */
  const completeBatch = (batch: ReadonlyArray<QueuedItem<Item>>, retried: ReadonlySet<Item>): void => {
    const now = clock()
    batchesInProgress -= 1
    for (const { item, retries } of batch) {
      if (retried.has(item)) {
        const backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** retries)
        queued.push({ item, retries: retries + 1, dueAt: now + backoffMs * (1 - JITTER_RATIO * random()) })
      } else {
        totalWeight -= weightOf(item)
        itemCount -= 1
      }
    }
    scheduleNext()
  }

  const handleNextBatch: Effect.Effect<void> = Effect.suspend(() => {
    scheduledAt = undefined
    const now = clock()
    const { batch, remaining } = earliestStartAt(now) > now ? { batch: [], remaining: queued } : selectBatch(queued, now, options)
    queued = remaining
    if (batch.length > 0) {
      batchesInProgress += 1
      lastBatchAt = now
    }
    scheduleNext()
    if (batch.length === 0) return Effect.void
    return handle(batch.map(({ item }) => item)).pipe(Effect.map(retried => completeBatch(batch, new Set(retried))))
  })

  const end = (): void => {
    hasEnded = true
    for (const fiber of activeFibers) fiber.interruptUnsafe()
  }

  return {
    add: item => {
      if (hasEnded || totalWeight + weightOf(item) > limit) return false
      totalWeight += weightOf(item)
      itemCount += 1
      const now = clock()
      // The first item of a batch opens its window; later ones join it.
      if (!isGroupCommit && windowEndsAt <= now) windowEndsAt = now + windowMs
      const dueAt = isGroupCommit ? now : windowEndsAt
      queued.push({ item, dueAt, retries: 0 })
      schedule(Math.max(dueAt, earliestStartAt(now)))
      return true
    },
    drain: limitMs => {
      const endsAt = clock() + limitMs
      const waitUntilEmpty: Effect.Effect<number> = Effect.suspend(() => itemCount === 0 || clock() >= endsAt
        ? Effect.succeed(itemCount)
        : Effect.sleep(DRAIN_CHECK_INTERVAL_MS).pipe(Effect.andThen(waitUntilEmpty)))
      return waitUntilEmpty.pipe(Effect.tap(() => Effect.sync(end)))
    }
  }
}
