/** Data model of the rules and targets, as decoded from the platform's store. */
import type { StoreVersion } from './store-version.js'

/** Limits on what a caller may send. */
export interface CallerLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  /** Maximum time for the header section of a request to arrive, in ms. */
  readonly headerTimeMs: number
  /** Maximum idle time between two requests on a connection, in ms. */
  readonly idleTimeMs: number
}

/** A destination service of a rule, with its share of the requests. */
export interface Branch {
  readonly service: string
  /** Relative to the weights of the other branches of the rule. */
  readonly weight: number
}

/** Describes how requests that match a host and path prefix are served. */
export interface Rule {
  readonly name: string
  readonly host: string
  /** Starts and ends with a slash. */
  readonly prefix: string
  /** Whether a request may safely be executed more than once. */
  readonly idempotent: boolean
  readonly branches: readonly Branch[]
  /** Maximum number of targets to which one request may be sent. */
  readonly maxAttempts: number
  /** Maximum time until the final response, in ms. */
  readonly timeoutMs: number
  /** Latency objective, in ms. */
  readonly objectiveMs: number
  /** 0 is the most urgent. */
  readonly priority: number
}

/** Settings shared by all targets of a service. */
export interface Pool {
  readonly name: string
  readonly healthPath: string
  /** Maximum number of connections to one target, over all VMs. */
  readonly maxConnections: number
}

/** A version of the fleet's configuration. */
export interface Ruleset {
  /** Increases with each change, not necessarily by one. */
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
  /** Number of requests that the target runs concurrently. */
  readonly slots: number
  readonly draining: boolean
  /** Remaining warm-up time, during which the target is slow, in ms. */
  readonly warmupMs: number
  /** Start time of the target's process, in ms since the Unix epoch; 0 if unknown. Changes when the target restarts under the same id. */
  readonly startedAt: number
  /** Number of the target's writes since its start, which shows the newer of two of its entries; undefined if unknown. */
  readonly sequence?: number | undefined
}

/** A decoded row of the store. */
export type Entry =
  | { readonly kind: 'ruleset', readonly ruleset: Ruleset }
  | { readonly kind: 'listing', readonly id: string, readonly listing: Listing }
  /** The row was removed, or does not describe a usable target. */
  | { readonly kind: 'withdrawn', readonly id: string }

/** An entry with the version of its row in the store. */
export interface Change {
  readonly version: StoreVersion
  readonly entry: Entry
}

/** The parts of the catalog. Each is a table of the store with its own change feed. */
export type Section = 'rulesets' | 'listings'

export const SECTIONS: readonly Section[] = ['rulesets', 'listings']

/** All or some rows of a section. */
export interface Batch {
  readonly section: Section
  readonly changes: readonly Change[]
  /** Store version after which the batch has every change; undefined if the batch is complete, so that entries that it lacks are removed. */
  readonly after: StoreVersion | undefined
  /** Store version up to which the batch has every change. */
  readonly upTo: StoreVersion
  /** Whether a complete batch may differ from the store, because its sender still waits for what a restored store lacks. */
  readonly isProvisional?: boolean | undefined
}
