/** Resolves requests by the ruleset in force. */
import { err, ok, type Result } from 'neverthrow'
import type { Branches, Catalog, Rule } from '../catalog/index.js'
import { refusal, type Refusal } from '../errors/index.js'
import type { Class, ResolvedRoute } from '../model/index.js'

/** Without a confirmation for this time, an unknown route may exist in a newer ruleset. */
const CONFIRMED_MS = 3000

/** Rules whose requests are alike share a class, so that classes stay few in large configurations. */
function classOf ({ idempotent, priority, objectiveMs, timeoutMs, maxAttempts }: Rule): Class {
  return {
    name: `p${priority}-${idempotent ? 'safe' : 'once'}-${objectiveMs}`,
    idempotent,
    deadlineMs: timeoutMs,
    // Rules rank the most urgent requests lowest, classes highest.
    priority: -priority,
    maxAttempts,
    objectiveMs
  }
}

/** Finds the route of a request; `confirmedAgeMs` is the age of what the catalog holds. */
export function resolveRequest (
  catalog: Catalog, branches: Branches, host: string, path: string, confirmedAgeMs: number
): Result<ResolvedRoute, Refusal> {
  if (catalog.ruleset() === undefined) return err(refusal('configuration-stale', 'this VM has no configuration yet'))
  const rule = catalog.rules().find(host, path)
  if (rule !== undefined) return ok({ route: rule.name, service: { name: branches.choose(rule) }, class: classOf(rule) })
  if (confirmedAgeMs > CONFIRMED_MS) {
    return err(refusal('configuration-stale', `no route of ${Math.round(confirmedAgeMs)} ms ago matches, and it may be outdated`))
  }
  return err(refusal('route-unknown', `${path} on host ${JSON.stringify(host)}`))
}
