/** What a VM of a fleet needs to know that keeps its configuration in a store. */
import type { Endpoint, VM } from '../model/index.js'
import type { RetryBudgetLimits } from '../placing/index.js'

/** Settings of one VM. Times are in ms. */
export interface EdgeSettings {
  readonly vm: VM
  /** Where callers ask for addresses. */
  readonly directory: Endpoint
  /** Where the machines' operators ask whether the VM is ready. */
  readonly readiness: Endpoint
  /** Metrics, and the list of VMs for those that start while the store is away. */
  readonly admin: Endpoint
  readonly store: Endpoint
  /** Admin endpoints of a few VMs, which may be gone. */
  readonly seeds: readonly Endpoint[]
  readonly retries: RetryBudgetLimits
  /** How long callers may keep an answer with addresses. */
  readonly addressTtlMs: number
  /** Time between the request to stop and the end of the process. */
  readonly graceMs: number
}
