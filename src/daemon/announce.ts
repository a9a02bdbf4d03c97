/** Announces a note to the other VMs before its transaction is sent to the platform. */
import { Effect } from 'effect'
import type { Clock } from '../model/index.js'
import type { Announce, Announcement } from '../notes/index.js'
import type { Replica } from '../spread/index.js'

/**
 * Maximum time between the acknowledgement of an announcement and the start of its transaction. An announced note
 * is decided within 10 s. The acknowledgements take up to 1 s, and the platform client times out after 1.5 s,
 * which leaves 6.5 s for a request that is delivered late.
 */
const MAX_COMMIT_START_DELAY_MS = 1000

/** Time for which a starting VM waits for its links, so that the first note of a new fleet is not refused. */
const STARTUP_CONTACT_TIMEOUT_MS = 5000
const CONTACT_CHECK_INTERVAL_MS = 50

/** Dependencies of {@link createAnnounce}. */
export interface AnnounceOptions {
  readonly replica: () => Pick<Replica, 'announce' | 'abandon' | 'canCommit'>
  readonly clock: Clock
}

/**
 * Creates the function that announces a submitted note. It returns undefined when this VM has no contact with a
 * majority, or when a majority does not acknowledge the announcement.
 */
export function createAnnounce ({ replica, clock }: AnnounceOptions): Announce {
  const startedAt = clock()
  const waitForContact: Effect.Effect<boolean> = Effect.suspend(() => {
    if (replica().canCommit(clock())) return Effect.succeed(true)
    if (clock() - startedAt > STARTUP_CONTACT_TIMEOUT_MS) return Effect.succeed(false)
    return Effect.sleep(CONTACT_CHECK_INTERVAL_MS).pipe(Effect.andThen(waitForContact))
  })
  return accepted => Effect.gen(function * () {
    if (!(yield * waitForContact)) return undefined
    return yield * Effect.callback<Announcement | undefined>(resume => {
      replica().announce(accepted, id => {
        const acknowledgedAt = clock()
        resume(Effect.succeed(id === undefined
          ? undefined
          : {
              isCurrent: () => clock() - acknowledgedAt <= MAX_COMMIT_START_DELAY_MS,
              abandon: () => replica().abandon(id)
            }))
      })
    })
  })
}
