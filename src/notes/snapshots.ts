/** Snapshots of the configuration in the platform's object store, so that a new VM does not have to read every note. */
import { Effect } from 'effect'
import type { Log } from '../log/index.js'
import type { Configuration, Platform, PlatformFailure } from '../model/index.js'
import { decodeConfiguration, encodeConfiguration, snapshotKey } from './records.js'

/** Number of revisions between snapshots. With 100, a new VM usually reads at most two groups of notes. */
export const SNAPSHOT_INTERVAL = 100
/** Maximum number of snapshots that are tried. The newest ones can be missing after an outage of the platform. */
const MAX_SNAPSHOT_READS = 10

/** Reads and writes of snapshots. */
export interface Snapshots {
  /** Returns the newest usable snapshot up to `revision`; undefined if there is none. */
  readonly readSnapshot: (revision: number) => Effect.Effect<Configuration | undefined, PlatformFailure>
  /** Writes a snapshot if one is due at the revision. A failure is only logged, because the notes are complete without it. */
  readonly writeSnapshot: (configuration: Configuration) => Effect.Effect<void>
}

/**
 * Creates the snapshots of a platform.
 *
 * Each snapshot has its own key, and a reader uses the newest one up to the head. A late write of an older
 * snapshot therefore overwrites nothing.
 */
export function createSnapshots (platform: Platform, log: Log): Snapshots {
  const readAt = (revision: number): Effect.Effect<Configuration | undefined, PlatformFailure> =>
    platform.getObject(snapshotKey(revision)).pipe(Effect.map(bytes => {
      const configuration = bytes === undefined ? undefined : decodeConfiguration(bytes)
      if (bytes !== undefined && configuration?.revision !== revision) {
        log.error('snapshot.malformed', { revision })
        return undefined
      }
      return configuration
    }))

  return {
    readSnapshot: revision => Effect.gen(function * () {
      const newest = revision - revision % SNAPSHOT_INTERVAL
      const oldest = Math.max(SNAPSHOT_INTERVAL, newest - (MAX_SNAPSHOT_READS - 1) * SNAPSHOT_INTERVAL)
      for (let candidate = newest; candidate >= oldest; candidate -= SNAPSHOT_INTERVAL) {
        const configuration = yield * readAt(candidate)
        if (configuration !== undefined) return configuration
      }
      return undefined
    }),
    writeSnapshot: configuration => {
      const { revision } = configuration
      if (revision === 0 || revision % SNAPSHOT_INTERVAL !== 0) return Effect.void
      return platform.putObject(snapshotKey(revision), encodeConfiguration(configuration)).pipe(Effect.match({
        onSuccess: () => log.info('snapshot.written', { revision }),
        onFailure: ({ detail }) => log.warn('snapshot.not-written', { revision, detail })
      }))
    }
  }
}
