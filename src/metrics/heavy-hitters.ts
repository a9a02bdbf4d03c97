/** Finds the names with the most events while it remembers a bounded number of names. */

/** The busiest names have a place; the others do not. */
export interface Busiest {
  /** Counts an event. Tells whether the name has a place now, and which name lost its own to it. */
  readonly note: (name: string) => { readonly placed: boolean, readonly displaced?: string }
}

/**
 * Counts are halved after this many events, so that a name that was busy long
 * ago does not keep its place.
 */
const EVENTS_PER_HALVING = 20_000

/** A name without a place is compared once for this many of its events. */
const EVENTS_PER_COMPARISON = 16

/** Hysteresis: two names of nearly equal counts would otherwise swap places again and again. */
const REQUIRED_LEAD = 2

/** Names without a place that are counted, as a multiple of the places. */
const CANDIDATES_PER_PLACE = 4

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

/** Creates a ranking with `places` places, all of them free. */
export function createBusiest (places: number): Busiest {
  const placed = new Map<string, number>()
  const candidates = new Map<string, number>()
  let events = 0

  const tryDisplace = (name: string, count: number): string | undefined => {
    const least = findLeast(placed)
    if (least === undefined || count < least[1] * REQUIRED_LEAD) return undefined
    placed.delete(least[0])
    candidates.delete(name)
    placed.set(name, count)
    return least[0]
  }
  const noteCandidate = (name: string): string | undefined => {
    const count = (candidates.get(name) ?? 0) + 1
    // The least busy candidate makes room: halving all counts instead would keep
    // a busy one down while many names appear once.
    const least = count === 1 && candidates.size >= places * CANDIDATES_PER_PLACE ? findLeast(candidates) : undefined
    if (least !== undefined) candidates.delete(least[0])
    candidates.set(name, count)
    return count % EVENTS_PER_COMPARISON === 0 ? tryDisplace(name, count) : undefined
  }
  return {
    note: name => {
      events += 1
      if (events % EVENTS_PER_HALVING === 0) {
        halve(placed, true)
        halve(candidates, false)
      }
      const count = placed.get(name)
      if (count !== undefined || placed.size < places) {
        placed.set(name, (count ?? 0) + 1)
        return { placed: true }
      }
      const displaced = noteCandidate(name)
      return displaced === undefined ? { placed: false } : { placed: true, displaced }
    }
  }
}
