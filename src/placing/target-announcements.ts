/** What targets announced about themselves in their responses: that they leave, or that they want no requests for a time. */
import type { Listing } from '../catalog/index.js'
import type { Log } from '../log/index.js'
import type { Announcement } from '../model/index.js'

/** Why a target gets no requests. */
export type AnnouncedState = 'leaving' | 'paused'

/** Announcements of targets to this VM. Times are in ms on the VM's monotonic clock. */
export interface TargetAnnouncements {
  /** Records the announcement in the response to a request. A later one never shortens a pause. */
  readonly record: (listing: Listing, announcement: Announcement, requestId: string, now: number) => void
  /** Undefined if the target may get requests. */
  readonly stateOf: (listing: Listing, now: number) => AnnouncedState | undefined
  /** Time until the pause of the target ends, in ms; Infinity if it leaves, 0 if it may get requests. */
  readonly remainingMs: (listing: Listing, now: number) => number
  /** Ends the pauses that are over, and forgets processes that left long ago. */
  readonly sweep: (now: number) => void
}

/** Announcements of one process of a target. */
interface Announced {
  /** Start time of the process; another one at the same id begins without announcements. */
  readonly startedAt: number
  readonly isLeaving: boolean
  readonly pausedUntil: number
  readonly recordedAt: number
}

/** Time for which a leaving process is remembered, in ms. Its entry may disappear and be listed again meanwhile. */
const LEAVING_RETENTION_MS = 600_000

/**
 * Creates the record of a VM that has heard no announcement.
 *
 * An announcement concerns only the process that made it, and only this VM: other VMs hear it with their own first
 * response, and a false one that spread could empty a service.
 *
 * @example
 * const announcements = createTargetAnnouncements(log)
 * announcements.record(listing, { isLeaving: false, pauseMs: 1500 }, 'a-1', 0)
 * announcements.stateOf(listing, 1000) // 'paused'
 */
export function createTargetAnnouncements (log: Log): TargetAnnouncements {
  const announced = new Map<string, Announced>()

  const find = ({ id, startedAt }: Listing): Announced | undefined => {
    const found = announced.get(id)
    return found?.startedAt === startedAt ? found : undefined
  }

  const remainingMs = (listing: Listing, now: number): number => {
    const found = find(listing)
    if (found === undefined) return 0
    return found.isLeaving ? Infinity : Math.max(0, found.pausedUntil - now)
  }

  const record: TargetAnnouncements['record'] = (listing, { isLeaving, pauseMs }, requestId, now) => {
    if (!isLeaving && pauseMs === undefined) return
    const known = find(listing)
    const pausedUntil = Math.max(known?.pausedUntil ?? -Infinity, pauseMs === undefined ? -Infinity : now + pauseMs)
    const { id, startedAt } = listing
    announced.set(id, { startedAt, isLeaving: isLeaving || known?.isLeaving === true, pausedUntil, recordedAt: now })
    if (isLeaving && known?.isLeaving !== true) log.info('target.leaving', { target: id, startedAt, requestId })
    if (pauseMs !== undefined && pausedUntil !== known?.pausedUntil) log.info('target.paused', { target: id, requestId, forMs: Math.round(pausedUntil - now) })
  }

  const isOver = ({ isLeaving, pausedUntil, recordedAt }: Announced, now: number): boolean =>
    isLeaving ? now - recordedAt > LEAVING_RETENTION_MS : pausedUntil <= now

  return {
    record,
    stateOf: (listing, now) => {
      const remaining = remainingMs(listing, now)
      if (remaining === 0) return undefined
      return remaining === Infinity ? 'leaving' : 'paused'
    },
    remainingMs,
    sweep: now => {
      for (const [id, found] of announced) {
        if (!isOver(found, now)) continue
        announced.delete(id)
        if (!found.isLeaving) log.info('target.pause-ended', { target: id })
      }
    }
  }
}
