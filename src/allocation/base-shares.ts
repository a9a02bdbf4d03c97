/** Base shares: the part of each target's slots that is divided by rank, and is valid without a coordinator. */
import type { Service } from '../model/index.js'
import { PROPAGATION_MS } from './durations.js'

/** Fraction of a target's slots that is divided by rank. */
const BASE_FRACTION = 0.5

/** Returns the number of a target's slots that are divided into base shares. */
export function baseSlots (slots: number): number {
  return Math.floor(slots * BASE_FRACTION)
}

/**
 * Returns the base share of a member, in slots. The division starts at a different member for each
 * target, so that services with few slots do not favour the first ranks.
 *
 * @param slots number of slots of the target
 * @param position index of the target in the configuration
 * @param members members of the subset, in order of rank
 *
 * @example
 * baseShare(4, 0, ['a', 'b', 'c'], 'b') // 1
 */
export function baseShare (slots: number, position: number, members: readonly string[], vm: string): number {
  const rank = members.indexOf(vm)
  if (rank === -1) return 0
  const divided = baseSlots(slots)
  const offset = (rank - position % members.length + members.length) % members.length
  return Math.floor(divided / members.length) + (offset < divided % members.length ? 1 : 0)
}

/** Returns the base shares of a member, in slots, by target. */
export function baseShares (service: Service, members: readonly string[], vm: string): ReadonlyMap<string, number> {
  return new Map(service.targets.map((target, position) => [target.id, baseShare(target.slots, position, members, vm)]))
}

/** Base shares of this VM. They shrink immediately, and grow only after every VM has had time to apply the change. */
export interface LocalBaseShares {
  readonly update: (shares: ReadonlyMap<string, number>, now: number) => void
  readonly share: (target: string, now: number) => number
}

/**
 * Creates the base shares of a VM. The first update takes effect immediately: a VM that starts has
 * no earlier share that could still be in use on another VM.
 */
export function createLocalBaseShares (): LocalBaseShares {
  let current: ReadonlyMap<string, number> | undefined
  const pendingGrowth = new Map<string, { readonly share: number, readonly until: number }>()
  const share = (target: string, now: number): number => {
    const wanted = current?.get(target) ?? 0
    const pending = pendingGrowth.get(target)
    if (pending === undefined) return wanted
    if (now < pending.until) return Math.min(wanted, pending.share)
    pendingGrowth.delete(target)
    return wanted
  }
  return {
    update: (shares, now) => {
      if (current === shares) return
      for (const [target, wanted] of current === undefined ? [] : shares) {
        const previous = current?.get(target)
        // A target that is new in the configuration has no shares on any VM.
        if (previous === undefined || previous === wanted) continue
        pendingGrowth.set(target, { share: Math.min(share(target, now), wanted), until: now + PROPAGATION_MS })
      }
      current = shares
    },
    share
  }
}
