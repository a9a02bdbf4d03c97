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
  /** Ends the pauses that are over, and forgets processes that are no longer listed. */
  readonly sweep: (now: number) => void
}

/** Dependencies of the announcements. */
export interface TargetAnnouncementsOptions {
  /** Whether the catalog lists the process of a target that started at this time. */
  readonly isListed: (id: string, startedAt: number) => boolean
  readonly log: Log
}

/** A pause of a process. */
interface Pause {
  readonly since: number
  readonly until: number
  /** Request in whose response the target asked for this end. */
  readonly requestId: string
}

/** The end of a process. */
interface Leaving {
  readonly requestId: string
  /** When the catalog last listed the process. */
  readonly listedAt: number
  readonly isListed: boolean
}

/** Announcements of one process of a target. */
interface Announced {
  readonly id: string
  /** Start time of the process; another one at the same id begins without announcements. */
  readonly startedAt: number
  readonly leaving: Leaving | undefined
  readonly pause: Pause | undefined
}

/** Time for which a leaving process is remembered after its entry disappeared, in ms. It may be listed again meanwhile. */
const LEAVING_RETENTION_MS = 600_000

type Process = Pick<Listing, 'id' | 'startedAt'>

/**
 * Creates the record of a VM that has heard no announcement.
 *
 * An announcement concerns only the process that made it, and only this VM: other VMs hear it with their own first
 * response, and a false one that spread could empty a service.
 *
 * @example
 * const announcements = createTargetAnnouncements({ isListed, log })
 * announcements.record(listing, { isLeaving: false, pauseMs: 1500 }, 'a-1', 0)
 * announcements.stateOf(listing, 1000) // 'paused'
 */
export function createTargetAnnouncements ({ isListed, log }: TargetAnnouncementsOptions): TargetAnnouncements {
  /** By target id; a target that was started anew has more than one. */
  const announced = new Map<string, readonly Announced[]>()

  const find = ({ id, startedAt }: Process): Announced | undefined => announced.get(id)?.find(each => each.startedAt === startedAt)

  const remainingMs = (listing: Listing, now: number): number => {
    const found = find(listing)
    if (found?.leaving !== undefined) return Infinity
    return Math.max(0, (found?.pause?.until ?? now) - now)
  }

  const logPauseEnd = (target: string, { since, until, requestId }: Pause): void =>
    log.info('target.pause-ended', { target, requestId, pausedMs: Math.round(until - since) })

  const beginLeaving = ({ id, startedAt }: Process, requestId: string, now: number): Leaving => {
    log.info('target.leaving', { target: id, startedAt, requestId })
    return { requestId, listedAt: now, isListed: true }
  }

  const extendPause = ({ id }: Process, known: Pause | undefined, pauseMs: number, requestId: string, now: number): Pause | undefined => {
    const until = now + pauseMs
    if (until <= Math.max(now, known?.until ?? now)) return known
    if (known !== undefined && known.until > now) return { since: known.since, until, requestId }
    if (known !== undefined) logPauseEnd(id, known)
    log.info('target.paused', { target: id, requestId, forMs: Math.round(pauseMs) })
    return { since: now, until, requestId }
  }

  const record: TargetAnnouncements['record'] = (listing, { isLeaving, pauseMs }, requestId, now) => {
    if (!isLeaving && pauseMs === undefined) return
    const { id, startedAt } = listing
    const known = find(listing)
    const leaving = known?.leaving ?? (isLeaving ? beginLeaving(listing, requestId, now) : undefined)
    const pause = pauseMs === undefined ? known?.pause : extendPause(listing, known?.pause, pauseMs, requestId, now)
    const others = announced.get(id)?.filter(each => each !== known) ?? []
    announced.set(id, [...others, { id, startedAt, leaving, pause }])
  }

  /** Undefined once the process has not been listed for long. */
  const updateLeaving = ({ id, startedAt }: Process, leaving: Leaving, now: number): Leaving | undefined => {
    if (isListed(id, startedAt)) return { ...leaving, listedAt: now, isListed: true }
    if (leaving.isListed) log.info('target.left', { target: id, startedAt, requestId: leaving.requestId })
    return now - leaving.listedAt > LEAVING_RETENTION_MS ? undefined : { ...leaving, isListed: false }
  }

  const updatePause = ({ id }: Process, pause: Pause, now: number): Pause | undefined => {
    if (pause.until > now) return pause
    logPauseEnd(id, pause)
    return undefined
  }

  /** Undefined when nothing is left of the announcements. */
  const update = (found: Announced, now: number): Announced | undefined => {
    const leaving = found.leaving && updateLeaving(found, found.leaving, now)
    const pause = found.pause && updatePause(found, found.pause, now)
    return leaving === undefined && pause === undefined ? undefined : { ...found, leaving, pause }
  }

  return {
    record,
    stateOf: (listing, now) => {
      const remaining = remainingMs(listing, now)
      if (remaining === 0) return undefined
      return remaining === Infinity ? 'leaving' : 'paused'
    },
    remainingMs,
    sweep: now => {
      for (const [id, processes] of announced) {
        const remaining = processes.map(each => update(each, now)).filter(each => each !== undefined)
        if (remaining.length === 0) announced.delete(id)
        else announced.set(id, remaining)
      }
    }
  }
}
