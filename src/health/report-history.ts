/** Recent reports of a member, which it repeats for a coordinator that takes over. */
import { EVIDENCE_WINDOW_MS } from './evidence.js'
import type { Count } from './outcome.js'

/** Outcome counts of one VM, and the time since they were observed. */
export interface AgedCounts {
  readonly ageMs: number
  readonly counts: readonly Count[]
}

/** Outcome counts that one VM reported within the evidence window. */
export interface ReportHistory {
  readonly add: (counts: readonly Count[], now: number) => void
  /** Removes the latest occurrence of an outcome; returns false if there is none. */
  readonly retract: (outcome: Omit<Count, 'count'>) => boolean
  /** Removes the counts of a target, because it was ejected on that evidence. */
  readonly removeTarget: (target: string) => void
  readonly clear: () => void
  /** Returns the counts within the evidence window, the oldest first. */
  readonly list: (now: number) => readonly AgedCounts[]
}

/** Counts of reports within this time are merged. */
const BUCKET_MS = 250
/** Bounds the size of the report that contains the history; the oldest counts are dropped. */
const MAX_COUNTS = 2_000

interface Bucket {
  readonly at: number
  readonly counts: readonly Count[]
}

const isSame = (a: Count, b: Omit<Count, 'count'>): boolean => a.target === b.target && a.class === b.class && a.outcome === b.outcome

const withoutOne = (count: Count): readonly Count[] => count.count > 1 ? [{ ...count, count: count.count - 1 }] : []

function merge (counts: readonly Count[], added: readonly Count[]): readonly Count[] {
  const known = counts.map(count => {
    const same = added.find(other => isSame(count, other))
    return same === undefined ? count : { ...count, count: count.count + same.count }
  })
  return [...known, ...added.filter(count => !counts.some(other => isSame(count, other)))]
}

/**
 * Creates an empty history.
 *
 * @example
 * history.add([{ target: 't1', class: 'listing', outcome: 'failed', count: 2 }], now)
 * history.list(now + 300) // [{ ageMs: 300, counts: [...] }]
 */
export function createReportHistory (): ReportHistory {
  let buckets: readonly Bucket[] = []
  const within = (now: number): readonly Bucket[] => {
    let kept = 0
    const recent = buckets.filter(({ at }) => now - at <= EVIDENCE_WINDOW_MS)
    return recent.toReversed().filter(({ counts }) => (kept += counts.length) <= MAX_COUNTS).toReversed()
  }
  return {
    add: (counts, now) => {
      if (counts.length === 0) return
      const last = buckets.at(-1)
      buckets = last !== undefined && now - last.at < BUCKET_MS
        ? [...buckets.slice(0, -1), { at: last.at, counts: merge(last.counts, counts) }]
        : [...within(now), { at: now, counts }]
    },
    retract: outcome => {
      const index = buckets.findLastIndex(({ counts }) => counts.some(count => isSame(count, outcome)))
      buckets = buckets.map((bucket, i) => i !== index
        ? bucket
        : { ...bucket, counts: bucket.counts.flatMap(count => isSame(count, outcome) ? withoutOne(count) : [count]) })
      return index !== -1
    },
    removeTarget: target => {
      if (!buckets.some(({ counts }) => counts.some(count => count.target === target))) return
      buckets = buckets.map(({ at, counts }) => ({ at, counts: counts.filter(count => count.target !== target) }))
    },
    clear: () => { buckets = [] },
    list: now => within(now).map(({ at, counts }) => ({ ageMs: now - at, counts }))
  }
}
