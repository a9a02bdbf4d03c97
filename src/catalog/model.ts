/** What the fleet knows of its routes and targets, as decoded from the platform's store. */

/** Limits on what a caller may send. */
export interface CallerLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  /** Time for the head of a request to arrive, in ms. */
  readonly headerTimeMs: number
  /** Longest pause between two requests of a connection, in ms. */
  readonly idleTimeMs: number
}

/** One of the services that a rule leads to, with its part of the requests. */
export interface Branch {
  readonly service: string
  /** Relative to the weights of the rule's other branches. */
  readonly weight: number
}

/** How requests of a host and path prefix are served. */
export interface Rule {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly prefix: string
  /** Whether a request may run more than once. */
  readonly idempotent: boolean
  readonly branches: readonly Branch[]
  /** Targets to which one request may be sent. */
  readonly maxAttempts: number
  /** Longest time until the final answer, in ms. */
  readonly timeoutMs: number
  /** Latency objective, in ms. */
  readonly objectiveMs: number
  /** 0 is the most urgent. */
  readonly priority: number
}

/** What all targets of a service have in common. */
export interface Pool {
  readonly name: string
  readonly healthPath: string
  /** Connections that one target accepts from all VMs together. */
  readonly maxConnections: number
}

/** A configuration of the fleet. */
export interface Ruleset {
  /** Grows with each change, in uneven steps. */
  readonly version: number
  readonly rules: readonly Rule[]
  readonly pools: readonly Pool[]
  readonly limits: CallerLimits
}

/** A target as it is registered in the store. */
export interface Listing {
  readonly id: string
  readonly service: string
  readonly address: string
  readonly port: number
  readonly zone: string
  /** Requests that the target runs at the same time. */
  readonly slots: number
  readonly draining: boolean
  /** Time for which the target is still slow after its start, in ms. */
  readonly warmupMs: number
  /** Start of the target's process, in ms since 1970; 0 when it is not stated. A restart under the same id changes it. */
  readonly startedAt: number
}

/** A row of the store, decoded. */
export type Entry =
  | { readonly kind: 'ruleset', readonly ruleset: Ruleset }
  | { readonly kind: 'listing', readonly id: string, readonly listing: Listing }
  /** The row is gone, or names no usable target. */
  | { readonly kind: 'withdrawn', readonly id: string }

/** An entry with the store's version of its row. */
export interface Change {
  readonly version: number
  readonly entry: Entry
}

/** The parts of the catalog, each a table of the store with a change feed of its own. */
export type Section = 'rulesets' | 'listings'

export const SECTIONS: readonly Section[] = ['rulesets', 'listings']

/** All or some rows of a section. */
export interface Batch {
  readonly section: Section
  readonly changes: readonly Change[]
  /** The store's version behind which the batch has every change; undefined when it has all entries, and others are gone. */
  readonly after: number | undefined
  /** The store's version up to which the batch has every change. */
  readonly upTo: number
}
