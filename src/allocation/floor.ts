/** Limits ejections by the floor, which is the minimum of healthy capacity, in slots. */
import type { Service } from '../model/index.js'

/** Capacity of a service, in slots. */
export interface ServiceCapacity {
  readonly floor: number
  readonly configured: number
  /** Slots of draining, leaving, slow-starting and unreachable targets that are not ejected. */
  readonly unavailable: number
  readonly ejected: number
  /** configured − unavailable − ejected */
  readonly healthy: number
}

/**
 * Returns the capacity of a service for a set of ejected targets.
 *
 * @param unavailable targets that provide no healthy capacity even if they are not ejected
 *
 * @example
 * computeCapacity(service, new Set(['t1']), new Set()).healthy // 20 with 6 targets of 4 slots
 */
export function computeCapacity (service: Service, ejected: ReadonlySet<string>, unavailable: ReadonlySet<string>): ServiceCapacity {
  const slotsOf = (isCounted: (target: string) => boolean): number =>
    service.targets.reduce((sum, target) => isCounted(target.id) ? sum + target.slots : sum, 0)
  const configured = slotsOf(() => true)
  const ejectedSlots = slotsOf(target => ejected.has(target))
  const unavailableSlots = slotsOf(target => unavailable.has(target) && !ejected.has(target))
  return { floor: service.floor, configured, unavailable: unavailableSlots, ejected: ejectedSlots, healthy: configured - unavailableSlots - ejectedSlots }
}

/**
 * Returns the ejections that the floor allows. Older ejections take precedence.
 *
 * @param ejected targets in order of their ejection, oldest first
 *
 * @example
 * ejectionsWithinFloor(service, ['t1', 't2'], new Set()) // Set { 't1' } if the floor allows one
 */
export function ejectionsWithinFloor (service: Service, ejected: readonly string[], unavailable: ReadonlySet<string>): ReadonlySet<string> {
  const allowed = new Set<string>()
  for (const target of ejected) {
    const { healthy } = computeCapacity(service, new Set([...allowed, target]), unavailable)
    if (healthy >= service.floor) allowed.add(target)
  }
  return allowed
}
