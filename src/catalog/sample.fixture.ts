/** Sample entries of a catalog. For tests only. */
import type { Batch, Change, Listing, Rule, Ruleset } from './model.js'

/** A target of the service `search`. */
export function sampleListing (id: string, over: Partial<Listing> = {}): Listing {
  return {
    id, service: 'search', address: '10.2.0.1', port: 8080, zone: 'riga-a', slots: 4, draining: false, warmupMs: 0, startedAt: 1, ...over
  }
}

/** A rule that leads to the service `search`. */
export function sampleRule (over: Partial<Rule> = {}): Rule {
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
    ...over
  }
}

/** A ruleset with one rule. */
export function sampleRuleset (version: number, over: Partial<Ruleset> = {}): Ruleset {
  return {
    version,
    rules: [sampleRule()],
    pools: [{ name: 'search', healthPath: '/health', maxConnections: 390 }],
    limits: { headerBytes: 16_384, bodyBytes: 1 << 20, headerTimeMs: 3000, idleTimeMs: 15_000 },
    ...over
  }
}

/** The row of a listing. */
export function listed (version: number, listing: Listing): Change {
  return { version, entry: { kind: 'listing', id: listing.id, listing } }
}

/** The row of a target that is gone. */
export function withdrawn (version: number, id: string): Change {
  return { version, entry: { kind: 'withdrawn', id } }
}

/** Changes of the listings behind a version. */
export function listingsAfter (after: number, upTo: number, ...changes: readonly Change[]): Batch {
  return { section: 'listings', changes, after, upTo }
}

/** All listings. */
export function allListings (upTo: number, ...changes: readonly Change[]): Batch {
  return { section: 'listings', changes, after: undefined, upTo }
}

/** A ruleset as the only row of its section. */
export function rulesets (upTo: number, ruleset: Ruleset): Batch {
  return { section: 'rulesets', changes: [{ version: upTo, entry: { kind: 'ruleset', ruleset } }], after: undefined, upTo }
}

/** A log that keeps nothing. */
export const silentLog = { info: () => {}, warn: () => {}, error: () => {} } as const
