/** Caller limits from the current ruleset. */
import type { CallerLimits, Catalog } from '../catalog/index.js'
import type { Limits } from '../entry/index.js'

/** Used until the first ruleset arrives. The header size limit never changes, because the parser is given it only once. */
const DEFAULT_LIMITS: CallerLimits = { headerBytes: 65_536, bodyBytes: 64 * 1024 * 1024, headerTimeMs: 5000, idleTimeMs: 30_000 }
/** Upper bound on the duration of a request; larger than the time-out of any rule. */
const MAX_REQUEST_MS = 120_000
/** Half of the file descriptors of the smallest machines. */
const MAX_CALLER_CONNECTIONS = 2000

/** Creates limits that follow the catalog; `stopLimitMs` is evaluated when the entry stops. */
export function createLimits (catalog: Catalog, stopLimitMs: () => number): Limits {
  const current = (): CallerLimits => catalog.ruleset()?.limits ?? DEFAULT_LIMITS
  return {
    headerBytes: DEFAULT_LIMITS.headerBytes,
    get bodyBytes () { return current().bodyBytes },
    get headerTimeMs () { return current().headerTimeMs },
    get idleTimeMs () { return current().idleTimeMs },
    requestLimitMs: MAX_REQUEST_MS,
    connections: MAX_CALLER_CONNECTIONS,
    get stopLimitMs () { return stopLimitMs() }
  }
}
