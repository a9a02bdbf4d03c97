/** Finds the most frequent names of an event stream (heavy hitters) in bounded memory. */

/** Tracks up to `capacity` of the most frequent names. */
export interface HeavyHitters {
  /** Counts an event. Returns whether the name is tracked now, and which name was evicted for it, if any. */
  readonly record: (name: string) => { readonly isTracked: boolean, readonly evicted?: string }
}

/** Counts are halved after this many events, so that a name that is no longer frequent can be evicted. */
const EVENTS_PER_HALVING = 20_000

/** A candidate is compared with the least frequent tracked name once per this many of its events. */
const EVENTS_PER_COMPARISON = 16

/** Hysteresis: without it, two names with nearly equal counts would evict each other repeatedly. */
const EVICTION_FACTOR = 2

/** Number of candidates whose events are counted, as a multiple of the capacity. */
const CANDIDATES_PER_TRACKED_NAME = 4

function halve (counts: Map<string, number>, keepZero: boolean): void {
  for (const [name, count] of counts) {
    const half = Math.floor(count / 2)
    if (half > 0 || keepZero) counts.set(name, half)
    else counts.delete(name)
  }
}

function findLeast (counts: ReadonlyMap<string, number>): readonly [string, number] | undefined {
  let least: readonly [string, number] | undefined
  for (const entry of counts) {
    if (least === undefined || entry[1] < least[1]) least = entry
    if (least[1] <= 1) break
  }
  return least
}

/** Creates an empty tracker for `capacity` names. */
export function createHeavyHitters (capacity: number): HeavyHitters {
  const tracked = new Map<string, number>()
  const candidates = new Map<string, number>()
  let events = 0

  const tryEvict = (name: string, count: number): string | undefined => {
    const least = findLeast(tracked)
    if (least === undefined || count < least[1] * EVICTION_FACTOR) return undefined
    tracked.delete(least[0])
    candidates.delete(name)
    tracked.set(name, count)
    return least[0]
  }
  const recordCandidate = (name: string): string | undefined => {
    const count = (candidates.get(name) ?? 0) + 1
    // Only the least frequent candidate is evicted. Halving all counts instead would hold back
    // a frequent candidate while many names appear only once.
    const least = count === 1 && candidates.size >= capacity * CANDIDATES_PER_TRACKED_NAME ? findLeast(candidates) : undefined
    if (least !== undefined) candidates.delete(least[0])
    candidates.set(name, count)
    return count % EVENTS_PER_COMPARISON === 0 ? tryEvict(name, count) : undefined
  }
  return {
    record: name => {
      events += 1
      if (events % EVENTS_PER_HALVING === 0) {
        halve(tracked, true)
        halve(candidates, false)
      }
      const count = tracked.get(name)
      if (count !== undefined || tracked.size < capacity) {
        tracked.set(name, (count ?? 0) + 1)
        return { isTracked: true }
      }
      const evicted = recordCandidate(name)
      return evicted === undefined ? { isTracked: false } : { isTracked: true, evicted }
    }
  }
}
