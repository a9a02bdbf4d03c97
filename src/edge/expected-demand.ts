/** Estimates from the catalog how much processor time the callers may need, before any request has arrived. */
import type { Listing, Ruleset } from '../catalog/index.js'

/** Processor time that a VM needs for one request, in core-milliseconds. */
const REQUEST_CORE_MS = 3
/** Typical response time of a target, as a fraction of the latency objective of the rules. */
const RESPONSE_TIME_FRACTION = 0.5

/** A target counts with at most this multiple of the median slots of its service, so that one wrong entry does not change the demand. */
const MAX_SLOTS_FACTOR = 4

/** Number of slots up to which a target of each service counts. */
function slotLimits (listings: readonly Listing[]): ReadonlyMap<string, number> {
  const slots = new Map<string, number[]>()
  for (const listing of listings) {
    const known = slots.get(listing.service)
    if (known === undefined) slots.set(listing.service, [listing.slots])
    else known.push(listing.slots)
  }
  const median = (values: readonly number[]): number => [...values].sort((a, b) => a - b)[(values.length - 1) >> 1] ?? 0
  return new Map([...slots].map(([service, values]) => [service, median(values) * MAX_SLOTS_FACTOR]))
}

/** Average latency objective of the rules that use each service, in ms. */
function averageObjectives ({ rules }: Ruleset): ReadonlyMap<string, number> {
  const objectives = new Map<string, number[]>()
  for (const { branches, objectiveMs } of rules) {
    for (const { service } of branches) objectives.set(service, [...objectives.get(service) ?? [], objectiveMs])
  }
  return new Map([...objectives].map(([service, values]) => [service, values.reduce((sum, value) => sum + value, 0) / values.length]))
}

/**
 * Processor time that is needed while the targets run as many requests as they can, in cores.
 *
 * It bounds the demand well enough to have the serving VMs ready before the first burst; what the VMs
 * measure goes before it when it is higher.
 *
 * @example
 * expectedCores(ruleset, listings) // 1.2
 */
export function expectedCores (ruleset: Ruleset, listings: readonly Listing[]): number {
  const objectives = averageObjectives(ruleset)
  const limits = slotLimits(listings)
  const requestsPerMs = listings.reduce((sum, { service, slots }) => {
    const objectiveMs = objectives.get(service)
    return objectiveMs === undefined ? sum : sum + Math.min(slots, limits.get(service) ?? slots) / (objectiveMs * RESPONSE_TIME_FRACTION)
  }, 0)
  return requestsPerMs * REQUEST_CORE_MS
}
