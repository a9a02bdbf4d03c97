/** Elects the VMs of a zone that read the store; they forward its changes to the others. */

/** Inputs of the election. */
export interface ReaderState {
  /** Position of this VM among the live VMs of its zone; 0 is the first. */
  readonly rank: number
  /** Time since the store last confirmed what this VM knows, directly or through a peer, in ms. */
  readonly confirmedAgeMs: number
  /** Whether this VM currently reads the store. */
  readonly isReading: boolean
  /** Whether a VM with a lower rank has contact with the store. */
  readonly hasActivePredecessor: boolean
}

/**
 * Time without a confirmation after which the next VM starts to read the store, in ms. Longer than the
 * second within which a reader confirms, and shorter than the 2 s after which a leaving target must get no
 * requests.
 */
export const TAKEOVER_MS = 1250

/** Additional time per rank, in ms, so that the VMs take over one after the other. */
const RANK_DELAY_MS = 120

/** VMs above this rank take over at the same time: the store has refused all those before them. */
const MAX_DELAY_RANK = 4

/** Time without a confirmation after which a VM of the rank starts to read, in ms. */
export function takeoverMs (rank: number): number {
  return TAKEOVER_MS + RANK_DELAY_MS * Math.min(rank, MAX_DELAY_RANK)
}

/** VMs of a zone that read the store as soon as they have the list of VMs. The others get the catalog from them. */
const FIRST_READERS = 3

/** Time for a VM to get its first catalog from a peer, in ms, and for each rank in addition. */
const FIRST_CATALOG_MS = 2000
const FIRST_CATALOG_RANK_MS = 50
const MAX_FIRST_CATALOG_RANK = 20

/** Time without a list of VMs after which a starting VM reads the catalog without knowing its rank, in ms. */
const LIST_TIMEOUT_MS = 2500

/**
 * Whether a VM that has no catalog yet reads it from the store when the whole fleet starts for the first time. Only
 * the first VMs of each zone read at once; the others read when no peer has sent them the catalog in time. After
 * later starts callers may be waiting, so every VM reads at once.
 *
 * @param listedRank position among all VMs of the zone on the list; undefined without a list
 *
 * @example
 * readsFirstCatalog(12, 300) // false
 */
export function readsFirstCatalog (listedRank: number | undefined, uptimeMs: number): boolean {
  if (listedRank === undefined) return uptimeMs >= LIST_TIMEOUT_MS
  if (listedRank < FIRST_READERS) return true
  return uptimeMs >= FIRST_CATALOG_MS + FIRST_CATALOG_RANK_MS * Math.min(listedRank, MAX_FIRST_CATALOG_RANK)
}

/**
 * Whether this VM reads the store. The first live VM of a zone always does. Another one starts when its
 * catalog is no longer confirmed, and stops when a VM of lower rank has contact with the store.
 *
 * @example
 * isReader({ rank: 1, confirmedAgeMs: 1400, isReading: false, hasActivePredecessor: false }) // true
 */
export function isReader ({ rank, confirmedAgeMs, isReading, hasActivePredecessor }: ReaderState): boolean {
  if (rank === 0) return true
  if (isReading) return !hasActivePredecessor
  return confirmedAgeMs > takeoverMs(rank)
}
