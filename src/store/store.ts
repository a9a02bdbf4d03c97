/** Interface of the store that keeps a fleet's configuration, its targets and the list of its VMs. */
import type { Effect } from 'effect'
import type { Batch, Section, StoreVersion } from '../catalog/index.js'
import type { VM } from '../model/index.js'

/** Why a call to the store failed. */
export interface StoreFailure {
  /**
   * `unavailable`: the store did not respond or refused the call. `connection-lost`: an open connection ended or went
   * silent, which says nothing about the store; the next call uses a new one. `history-lost`: the changes after the
   * given version are no longer kept, or the store was restored from a copy, so the whole section must be read again.
   */
  readonly kind: 'unavailable' | 'connection-lost' | 'history-lost'
  readonly detail: string
}

/** A client of the store. Every call completes or fails within a bounded time. */
export interface Store {
  /** Reads a consistent snapshot of a whole section. */
  readonly read: (section: Section) => Effect.Effect<Batch, StoreFailure>
  /**
   * Long poll for the changes after a version: waits at most `waitMs` and returns an empty batch if
   * there are none. Pass the `upTo` of the batch as `after` in the next call.
   */
  readonly changes: (section: Section, after: StoreVersion, waitMs: number) => Effect.Effect<Batch, StoreFailure>
  /** Adds this VM to the list of VMs. Returns the era of the store in which it was written. */
  readonly register: (vm: VM) => Effect.Effect<number, StoreFailure>
  /** Returns all VMs that were ever added to the list. */
  readonly listVMs: () => Effect.Effect<readonly VM[], StoreFailure>
  readonly close: () => void
}
