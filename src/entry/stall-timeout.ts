/** When an attempt without a byte of the response counts as stalled. */
import type { ResolvedRoute } from '../model/index.js'
import type { EntryOptions } from './options.js'

/** The stall timeout of a reused connection is this multiple of the median latency. */
const STALL_LATENCY_FACTOR = 8
/** Lower bound of the stall timeout; a pause of a target, for example for garbage collection, is not a stall. */
const STALL_MIN_MS = 250
/** Upper bound of the stall timeout, as a fraction of the remaining time; leaves the other half for another attempt. */
const STALL_DEADLINE_FRACTION = 0.5

/**
 * Time after which an attempt that is sent now on a reused connection counts as stalled, in ms; undefined if the
 * request may not be sent twice.
 */
export function stallTimeoutFor (options: Pick<EntryOptions, 'medianLatencyMs'>, route: ResolvedRoute, deadlineAt: number, now: number): number | undefined {
  if (!route.class.idempotent) return undefined
  const medianMs = options.medianLatencyMs(route.service.name, route.class.name, now)
  const maxStallMs = (deadlineAt - now) * STALL_DEADLINE_FRACTION
  return medianMs === undefined ? maxStallMs : Math.min(maxStallMs, Math.max(STALL_MIN_MS, medianMs * STALL_LATENCY_FACTOR))
}
