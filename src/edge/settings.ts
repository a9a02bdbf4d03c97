/** Settings of an edge VM. */
import type { Endpoint, VM } from '../model/index.js'
import type { RetryBudgetLimits } from '../placing/index.js'

/** Settings of one VM. Times are in ms. */
export interface EdgeSettings {
  readonly vm: VM
  /** Endpoint where callers look up addresses. */
  readonly directory: Endpoint
  /** Endpoint of the platform's readiness probe. */
  readonly readiness: Endpoint
  /** Endpoint of the metrics and of the VM list, which VMs use to join while the store is unavailable. */
  readonly admin: Endpoint
  readonly store: Endpoint
  /** Admin endpoints of a few VMs, some of which may no longer exist. */
  readonly seeds: readonly Endpoint[]
  readonly retries: RetryBudgetLimits
  /** How long callers may cache an address list. */
  readonly addressTtlMs: number
  /** Maximum time from the stop signal to the exit of the process. */
  readonly graceMs: number
  /** Whether the whole fleet starts for the first time, so that no callers are waiting. Default: no. */
  readonly isFirstStart?: boolean
}
