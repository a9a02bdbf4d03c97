/** Sample entries and batches of a catalog. For tests only. */
import type { Batch, Change, Listing, Rule, Ruleset } from './model.js'

/** Creates a target of the service `search`. */
export function sampleListing (id: string, overrides: Partial<Listing> = {}): Listing {
  return {
    id, service: 'search', address: '10.2.0.1', port: 8080, zone: 'riga-a', slots: 4, draining: false, warmupMs: 0, startedAt: 1, ...overrides
  }
}

/** Creates a rule that routes to the service `search`. */
export function sampleRule (overrides: Partial<Rule> = {}): Rule {
  return {
    name: 'r-1',
    host: 'a.example',
    prefix: '/',
    idempotent: true,
    branches: [{ service: 'search', weight: 1 }],
    maxAttempts: 2,
    timeoutMs: 2000,
    objectiveMs: 800,
    priority: 0,
    ...overrides
  }
}

/** Creates a ruleset with one rule. */
export function sampleRuleset (version: number, overrides: Partial<Ruleset> = {}): Ruleset {
  return {
    version,
    rules: [sampleRule()],
    pools: [{ name: 'search', healthPath: '/health', maxConnections: 390 }],
    limits: { headerBytes: 16_384, bodyBytes: 1 << 20, headerTimeMs: 3000, idleTimeMs: 15_000 },
    ...overrides
  }
}

/** Creates the change that adds or updates a listing. */
export function listingChange (version: number, listing: Listing): Change {
  return { version, entry: { kind: 'listing', id: listing.id, listing } }
}

/** Creates the change that removes a target. */
export function withdrawnChange (version: number, id: string): Change {
  return { version, entry: { kind: 'withdrawn', id } }
}

/** Creates an incremental batch of listings, with the changes after a version. */
export function listingBatchAfter (after: number, upTo: number, ...changes: readonly Change[]): Batch {
  return { section: 'listings', changes, after, upTo }
}

/** Creates a complete batch of listings. */
export function fullListingBatch (upTo: number, ...changes: readonly Change[]): Batch {
  return { section: 'listings', changes, after: undefined, upTo }
}

/** Creates a complete batch with one ruleset. */
export function rulesetBatch (upTo: number, ruleset: Ruleset): Batch {
  return { section: 'rulesets', changes: [{ version: upTo, entry: { kind: 'ruleset', ruleset } }], after: undefined, upTo }
}

/** A log that discards everything. */
export const silentLog = { info: () => {}, warn: () => {}, error: () => {} } as const
