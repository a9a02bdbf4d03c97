/** Which VMs without a link count as reachable. */

/** Reachability of the VMs to which a link is wanted. Times are in ms on one monotonic clock. */
export interface Reachability {
  /** Replaces the VMs to which a link is wanted but not open. */
  readonly setWanted: (names: readonly string[], now: number) => void
  readonly recordLinked: (name: string) => void
  /** Records that the last link to a VM closed. */
  readonly recordLost: (name: string) => void
  readonly isReachable: (name: string, now: number) => boolean
}

/** A VM to which no link opens for this time counts as unreachable, in ms. */
const UNREACHABLE_AFTER_MS = 1500

/**
 * Creates a reachability that knows no VM. A VM to which no link is wanted counts as reachable: it was not tried.
 *
 * @example
 * const reachability = createReachability()
 * reachability.setWanted(['edge-7'], now)
 * reachability.isReachable('edge-7', now + 2000) // false
 */
export function createReachability (): Reachability {
  /** When each VM was first wanted without a link; -Infinity after a lost link, until it opens again. */
  let unlinkedSince = new Map<string, number>()
  /** VMs whose link was lost and that were not wanted since. */
  const lost = new Set<string>()
  return {
    setWanted: (names, now) => {
      const since = (name: string): number => lost.has(name) ? -Infinity : unlinkedSince.get(name) ?? now
      unlinkedSince = new Map(names.map(name => [name, since(name)]))
      lost.clear()
    },
    recordLinked: name => {
      lost.delete(name)
      unlinkedSince.delete(name)
    },
    recordLost: name => { lost.add(name) },
    isReachable: (name, now) => !lost.has(name) && now - (unlinkedSince.get(name) ?? now) <= UNREACHABLE_AFTER_MS
  }
}
