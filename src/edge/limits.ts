/** Limits on callers as the ruleset in force has them. */
import type { CallerLimits, Catalog } from '../catalog/index.js'
import type { Limits } from '../entry/index.js'

/** Limits before the first ruleset. The limit of the head holds for good: the parser gets it once. */
const FIRST_LIMITS: CallerLimits = { headerBytes: 65_536, bodyBytes: 64 * 1024 * 1024, headerTimeMs: 5000, idleTimeMs: 30_000 }
/** Longest time of a request, above every time-out of a rule. */
const REQUEST_LIMIT_MS = 120_000
/** Half of the descriptors of the smallest machines. */
const CALLER_CONNECTIONS = 2000

/** Limits that follow the catalog; `stopLimitMs` is asked for at the stop. */
export function createLimits (catalog: Catalog, stopLimitMs: () => number): Limits {
  const current = (): CallerLimits => catalog.ruleset()?.limits ?? FIRST_LIMITS
  return {
    headerBytes: FIRST_LIMITS.headerBytes,
    get bodyBytes () { return current().bodyBytes },
    get headerTimeMs () { return current().headerTimeMs },
    get idleTimeMs () { return current().idleTimeMs },
    requestLimitMs: REQUEST_LIMIT_MS,
    connections: CALLER_CONNECTIONS,
    get stopLimitMs () { return stopLimitMs() }
  }
}
