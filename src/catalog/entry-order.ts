/** Which of two entries of a target is the newer one, by what the target itself wrote. */
import type { Listing } from './model.js'

/** Compares start times; 0 if they are equal or one is unknown. */
function compareStarts (a: Listing, b: Listing): number {
  return a.startedAt === 0 || b.startedAt === 0 ? 0 : a.startedAt - b.startedAt
}

/**
 * Whether an entry shows an earlier state of a target than the newest one that is known.
 *
 * @param isRemoved whether the target was removed after its newest state, so that the same state is an earlier one too
 *
 * @example
 * isEarlierState({ ...listing, sequence: 4 }, { ...listing, sequence: 7 }, false) // true
 */
export function isEarlierState (entry: Listing, newest: Listing, isRemoved: boolean): boolean {
  const order = compareStarts(entry, newest)
  if (order !== 0) return order < 0
  if (entry.sequence === undefined || newest.sequence === undefined || entry.sequence === newest.sequence) {
    return isRemoved || (newest.draining && !entry.draining)
  }
  return entry.sequence < newest.sequence
}
