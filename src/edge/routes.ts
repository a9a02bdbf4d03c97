/** Resolves requests to services with the current ruleset. */
import { err, ok, type Result } from 'neverthrow'
import type { TrafficSplitter, Catalog, Rule } from '../catalog/index.js'
import { refusal, type Refusal } from '../errors/index.js'
import type { Class, ResolvedRoute } from '../model/index.js'

/** If the ruleset was confirmed longer ago than this, an unknown route may exist in a newer ruleset. */
const MAX_CONFIRMED_AGE_MS = 3000

/** Returns the class of a rule. Rules with equal traits share a class, which keeps the number of classes low in large configurations. */
function classOf ({ idempotent, priority, objectiveMs, timeoutMs, maxAttempts }: Rule): Class {
  return {
    name: `p${priority}-${idempotent ? 'safe' : 'once'}-${objectiveMs}`,
    idempotent,
    deadlineMs: timeoutMs,
    // In rules the lowest number is the most urgent, in classes the highest.
    priority: -priority,
    maxAttempts,
    objectiveMs
  }
}

/** Finds the route of a request; `confirmedAgeMs` is the time since the catalog was last confirmed as current. */
export function resolveRequest (
  catalog: Catalog, splitter: TrafficSplitter, host: string, path: string, confirmedAgeMs: number
): Result<ResolvedRoute, Refusal> {
  if (catalog.ruleset() === undefined) return err(refusal('configuration-stale', 'this VM has no configuration yet'))
  const rule = catalog.rules().find(host, path)
  if (rule !== undefined) return ok({ route: rule.name, service: { name: splitter.chooseService(rule) }, class: classOf(rule) })
  if (confirmedAgeMs > MAX_CONFIRMED_AGE_MS) {
    return err(refusal('configuration-stale', `the configuration, last confirmed ${Math.round(confirmedAgeMs)} ms ago, has no matching route and may be outdated`))
  }
  return err(refusal('route-unknown', `${path} on host ${JSON.stringify(host)}`))
}
