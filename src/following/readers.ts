/** Decides which VMs of a zone read the store; the others follow them. */

/** What the decision depends on. */
export interface ReaderView {
  /** Position of this VM among the live VMs of its zone; 0 is the first. */
  readonly rank: number
  /** Time since the store last confirmed what this VM knows, directly or through a peer, in ms. */
  readonly confirmedAgeMs: number
  /** Whether this VM reads the store now. */
  readonly isReading: boolean
  /** Whether a VM of a lower rank has contact with the store. */
  readonly isRelieved: boolean
}

/**
 * Without a confirmation for this time, the next VM reads the store. A reader confirms at least every
 * second; a target that leaves may get no work after 2 s.
 */
export const TAKE_OVER_MS = 1250

/** Further time for each rank, so that one VM after the other takes over. */
const RANK_STEP_MS = 120

/** VMs behind this rank take over together: the store turned all those before them away. */
const LAST_STEP = 4

/**
 * Whether this VM reads the store. The first live VM of a zone always does. Another one does when
 * nobody confirms what it knows, until a VM before it has contact with the store.
 *
 * @example
 * isReader({ rank: 1, confirmedAgeMs: 1400, isReading: false, isRelieved: false }) // true
 */
export function isReader ({ rank, confirmedAgeMs, isReading, isRelieved }: ReaderView): boolean {
  if (rank === 0) return true
  if (isReading) return !isRelieved
  return confirmedAgeMs > TAKE_OVER_MS + RANK_STEP_MS * Math.min(rank, LAST_STEP)
}
