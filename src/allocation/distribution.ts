/** Distributes the pool, the slots that are not base shares, to the members by demand. */

/** Demand of a member. */
export interface MemberDemand {
  readonly vm: string
  /** Slots in use plus queued requests, as a moving average. */
  readonly demand: number
  /** Base shares of the member, in slots, by target. */
  readonly baseShares: ReadonlyMap<string, number>
}

/** A target whose pool is distributed. */
export interface PoolTarget {
  readonly id: string
  /** Number of slots that are not base shares. */
  readonly pool: number
}

/** Number of pool slots by member and target. */
export type PoolAssignment = ReadonlyMap<string, ReadonlyMap<string, number>>

/** A member releases slots only above its quota plus this number, so that slots do not move on every small change of demand. */
const HYSTERESIS_SLOTS = 1
/** Demand added to that of every member, so that an idle member has slots for its next requests. */
const MIN_DEMAND = 0.25

type Quotas = ReadonlyMap<string, number>

function totalBaseShare (member: MemberDemand): number {
  return [...member.baseShares.values()].reduce((sum, share) => sum + share, 0)
}

/**
 * Returns the quota of pool slots of each member: all slots in proportion to demand, minus the base
 * shares of the member.
 */
export function computeQuotas (members: readonly MemberDemand[], targets: readonly PoolTarget[]): Quotas {
  const pool = targets.reduce((sum, target) => sum + target.pool, 0)
  const totalSlots = pool + members.reduce((sum, member) => sum + totalBaseShare(member), 0)
  const demand = (member: MemberDemand): number => member.demand + MIN_DEMAND
  const totalDemand = members.reduce((sum, member) => sum + demand(member), 0)
  const entitlements = members.map(member => Math.max(0, totalSlots * demand(member) / totalDemand - totalBaseShare(member)))
  const entitlementSum = entitlements.reduce((a, b) => a + b, 0)
  return new Map(members.map(({ vm }, i) => [vm, entitlementSum === 0 ? pool / members.length : pool * (entitlements[i] ?? 0) / entitlementSum]))
}

function sumByMember (assignment: PoolAssignment): Map<string, number> {
  return new Map([...assignment].map(([vm, slots]) => [vm, [...slots.values()].reduce((a, b) => a + b, 0)]))
}

/** Takes slots from members above their quota, up to the number that other members lack. */
function releaseExcess (assignment: Map<string, Map<string, number>>, quota: Quotas, idleSlots: (vm: string, target: string) => number): void {
  const total = sumByMember(assignment)
  const deficit = [...quota].reduce((sum, [vm, quotaSlots]) => sum + Math.max(0, Math.floor(quotaSlots - (total.get(vm) ?? 0))), 0)
  let toMove = deficit
  for (const [vm, slots] of assignment) {
    const surplus = (total.get(vm) ?? 0) - (quota.get(vm) ?? 0)
    let excess = Math.floor(surplus - HYSTERESIS_SLOTS) + (quota.has(vm) ? 0 : HYSTERESIS_SLOTS)
    // Idle slots can move without a wait for requests to end.
    const order = [...slots].filter(([, count]) => count > 0).toSorted(([a], [b]) => idleSlots(vm, b) - idleSlots(vm, a))
    for (const [target, count] of order) {
      const moved = Math.max(0, Math.min(count, excess, toMove))
      slots.set(target, count - moved)
      excess -= moved
      toMove -= moved
    }
  }
}

/**
 * Assigns free slots to the members furthest below their quota. Members with slots of the same
 * target have lower priority, because a verdict about a target needs reports of several members.
 */
function assignFree (assignment: Map<string, Map<string, number>>, members: readonly MemberDemand[], quota: Quotas, free: ReadonlyMap<string, number>): void {
  const total = sumByMember(assignment)
  const priority = ({ vm, baseShares: base }: MemberDemand, target: string): number =>
    (quota.get(vm) ?? 0) - (total.get(vm) ?? 0) - (assignment.get(vm)?.get(target) ?? 0) - (base.get(target) ?? 0)
  for (const [target, count] of [...free].toSorted(([, a], [, b]) => b - a)) {
    for (let i = 0; i < count; i++) {
      const best = members.toSorted((a, b) => priority(b, target) - priority(a, target))[0]
      if (best === undefined) return
      const slots = assignment.get(best.vm) ?? new Map<string, number>()
      assignment.set(best.vm, slots.set(target, (slots.get(target) ?? 0) + 1))
      total.set(best.vm, (total.get(best.vm) ?? 0) + 1)
    }
  }
}

/**
 * Returns the next distribution of the pool. Slots that a member may still be using are not free,
 * even if they are no longer assigned to it.
 *
 * @param previous previous distribution
 * @param free slots of each target that no member may be using and that are assigned to no member
 * @param idleSlots number of slots of the target that are assigned to the member and not in use
 *
 * @example
 * distribute([{ vm: 'a', demand: 9, baseShares: new Map() }, { vm: 'b', demand: 0, baseShares: new Map() }],
 *   [{ id: 't1', pool: 2 }], new Map(), new Map([['t1', 2]]), () => 0) // a gets both
 */
export function distribute (
  members: readonly MemberDemand[],
  targets: readonly PoolTarget[],
  previous: PoolAssignment,
  free: ReadonlyMap<string, number>,
  idleSlots: (vm: string, target: string) => number
): PoolAssignment {
  const quota = computeQuotas(members, targets)
  const assignment = new Map([...previous].map(([vm, slots]) => [vm, new Map(slots)]))
  releaseExcess(assignment, quota, idleSlots)
  assignFree(assignment, members, quota, free)
  return assignment
}
