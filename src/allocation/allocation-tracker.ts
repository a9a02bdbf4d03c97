/**
 * Tracks the allocations that members may be using, from the point of view of the coordinator.
 *
 * An allocation counts from the moment it is sent until the member reports that it adopted a
 * later one, or until it has expired and its requests have ended.
 */
import { IN_FLIGHT_GRACE_MS, LEASE_MS } from './durations.js'

interface OutstandingAllocation {
  readonly number: number
  readonly limits: ReadonlyMap<string, number>
  readonly ejected: ReadonlySet<string>
  readonly expiresAt: number
}

interface HolderState {
  allocations: readonly OutstandingAllocation[]
  /** Slots in use according to the latest report, by target. */
  inUse: ReadonlyMap<string, number>
  inUseUntil: number
  /** Time of the latest report. */
  lastReportAt: number
}

/** A process of a member. A replaced VM is a different holder from its predecessor. */
export interface HolderKey {
  readonly vm: string
  readonly incarnation: string
}

/** Outstanding slots and ejections of one service. */
export interface AllocationTracker {
  /** Records an allocation before it is sent. `reportReceivedAt`: arrival of the report that it answers, in ms. */
  readonly recordSent: (key: HolderKey, number: number, limits: ReadonlyMap<string, number>, ejected: ReadonlySet<string>, reportReceivedAt: number) => void
  /** Records that a member adopted an allocation, and its slots in use. */
  readonly recordAdopted: (key: HolderKey, number: number, inUse: ReadonlyMap<string, number>, now: number) => void
  /** Largest number of slots of the target that the holder may be using. */
  readonly reservedSlots: (key: HolderKey, target: string, now: number) => number
  readonly activeHolders: (now: number) => readonly HolderKey[]
  /** Targets that at least one member may treat as ejected. */
  readonly possiblyEjected: (now: number) => ReadonlySet<string>
}

const keyOf = ({ vm, incarnation }: HolderKey): string => JSON.stringify([vm, incarnation])

function isExpired (holder: HolderState, now: number): boolean {
  return now >= holder.inUseUntil && holder.allocations.every(allocation => now >= allocation.expiresAt + IN_FLIGHT_GRACE_MS)
}

/** Creates a tracker without allocations. */
export function createAllocationTracker (): AllocationTracker {
  const holders = new Map<string, { readonly key: HolderKey, readonly holder: HolderState }>()
  const stateOf = (key: HolderKey): HolderState => {
    const id = keyOf(key)
    const existing = holders.get(id)
    if (existing !== undefined) return existing.holder
    const holder: HolderState = { allocations: [], inUse: new Map(), inUseUntil: 0, lastReportAt: 0 }
    holders.set(id, { key, holder })
    return holder
  }
  const activeEntries = (now: number): ReadonlyArray<{ readonly key: HolderKey, readonly holder: HolderState }> => {
    for (const [id, { holder }] of holders) if (isExpired(holder, now)) holders.delete(id)
    return [...holders.values()]
  }
  return {
    recordSent: (key, number, limits, ejected, reportReceivedAt) => {
      const holder = stateOf(key)
      holder.allocations = [...holder.allocations, { number, limits, ejected, expiresAt: reportReceivedAt + LEASE_MS }]
    },
    recordAdopted: (key, number, inUse, now) => {
      const holder = stateOf(key)
      // Later allocations may still be in transit, so only those before the adopted one end.
      holder.allocations = holder.allocations.filter(allocation => allocation.number >= number && now < allocation.expiresAt + IN_FLIGHT_GRACE_MS)
      holder.inUse = inUse
      holder.lastReportAt = now
      holder.inUseUntil = now + LEASE_MS + IN_FLIGHT_GRACE_MS
    },
    reservedSlots: (key, target, now) => {
      const holder = holders.get(keyOf(key))?.holder
      if (holder === undefined) return 0
      const limits = holder.allocations
        .filter(allocation => now < allocation.expiresAt + IN_FLIGHT_GRACE_MS)
        .map(allocation => allocation.limits.get(target) ?? 0)
      const used = now < holder.inUseUntil ? holder.inUse.get(target) ?? 0 : 0
      return Math.max(used, ...limits)
    },
    activeHolders: now => activeEntries(now).map(({ key }) => key),
    possiblyEjected: now => new Set(activeEntries(now).flatMap(({ holder }) =>
      holder.allocations.filter(allocation => now < allocation.expiresAt).flatMap(allocation => [...allocation.ejected])))
  }
}
