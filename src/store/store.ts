/** What a fleet needs of the store that keeps its configuration, its targets and the list of its VMs. */
import type { Effect } from 'effect'
import type { Batch, Section } from '../catalog/index.js'
import type { VM } from '../model/index.js'

/** Why the store gave no result. */
export interface StoreFailure {
  /**
   * `unavailable`: no answer, or a refusal. `history-lost`: the changes after the given version are
   * not kept any more, so that the section has to be read whole.
   */
  readonly kind: 'unavailable' | 'history-lost'
  readonly detail: string
}

/** The store. Every call ends within a bounded time. */
export interface Store {
  /** Reads a whole section as of one moment. */
  readonly read: (section: Section) => Effect.Effect<Batch, StoreFailure>
  /**
   * Waits for changes after a version, for at most `waitMs`; the batch is empty when there are none.
   * Its `upTo` is the version from which to go on.
   */
  readonly changes: (section: Section, after: number, waitMs: number) => Effect.Effect<Batch, StoreFailure>
  /** Enters this VM in the list of VMs. */
  readonly register: (vm: VM) => Effect.Effect<void, StoreFailure>
  /** VMs that entered the list at any time. */
  readonly listVMs: () => Effect.Effect<readonly VM[], StoreFailure>
  readonly close: () => void
}
