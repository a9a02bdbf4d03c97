/** Interface to the services of the platform. */
import type { Effect } from 'effect'
import type { ListedVM } from './vm.js'

/** A row of the platform's table. */
export interface Row {
  readonly key: string
  readonly value: string
  /** Increases with each write of the row. */
  readonly version: number
}

/** A conditional write of a row. */
export interface Write {
  readonly key: string
  /** The new value; undefined deletes the row. */
  readonly value: string | undefined
  /** Version that the row must have, `absent`, or `any`. */
  readonly expect: number | 'absent' | 'any'
}

/** A condition of a transaction on a row that it does not write. */
export interface Condition {
  readonly key: string
  /** Version that the row must have, or `absent`. */
  readonly expect: number | 'absent'
}

/** Outcome of a transaction: all writes took effect, or none because a condition failed. */
export type Commit = 'committed' | 'conflict'

/** Failure of a call to the platform. */
export interface PlatformFailure {
  /** `unavailable`: the call had no effect. `unknown`: it may have taken effect. */
  readonly kind: 'unavailable' | 'unknown'
  readonly detail: string
}

/** The platform's transactional table, object store and list of VMs. */
export interface Platform {
  readonly read: (key: string) => Effect.Effect<Row | undefined, PlatformFailure>
  readonly readMany: (keys: readonly string[]) => Effect.Effect<ReadonlyArray<Row | undefined>, PlatformFailure>
  /**
   * Runs against the current state of the table, even while reads return older data. A transaction with
   * conditions but no writes checks whether the conditions hold.
   */
  readonly transact: (writes: readonly Write[], conditions?: readonly Condition[]) => Effect.Effect<Commit, PlatformFailure>
  readonly getObject: (key: string) => Effect.Effect<Uint8Array | undefined, PlatformFailure>
  readonly putObject: (key: string, value: Uint8Array) => Effect.Effect<void, PlatformFailure>
  readonly listVMs: () => Effect.Effect<readonly ListedVM[], PlatformFailure>
}
