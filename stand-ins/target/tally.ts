import { createPauseWindows } from './pause-windows.js'

/** Counters that a target keeps of its own work. */
export interface Tally {
  /** Work requests that arrived. */
  readonly arrived: number
  /** Work that was started. */
  readonly ran: number
  /** Work that was completed. */
  readonly finished: number
  /** Work that was rejected because all slots were in use, or the target was draining or turned work away. */
  readonly shed: number
  /** Work that failed with status 500. */
  readonly failed: number
  /** Work that was cancelled because its caller disconnected. */
  readonly cancelled: number
  /** Requests on silent connections, which get no response. */
  readonly swallowed: number
  readonly maxConcurrent: number
  readonly crashes: number
  /** Number of runs by idempotency key or request token. */
  readonly runs: Readonly<Record<string, number>>
  /** Number of work requests that arrived after the leaving mark, and the time from the mark to the last of them, in ms. */
  readonly afterLeaving: { readonly count: number, readonly lastMs: number }
  /** Most work requests of one sender in one pause that it was asked for, from half a second after the rejection on. */
  readonly maxInPause: number
}

/** Fields that are incremented by one per event. */
export type TallyField = 'arrived' | 'finished' | 'shed' | 'failed' | 'cancelled' | 'swallowed' | 'crashes'

/** Records events in a tally. */
export interface TallyRecorder {
  readonly increment: (what: TallyField) => void
  readonly recordRun: (id: string, concurrent: number) => void
  /** Sets the leaving mark: from now on, arriving work is also counted in `afterLeaving`. */
  readonly markLeaving: (now: number) => void
  /** Records that a sender was asked to send no work for a time. */
  readonly beginPause: (sender: string, pauseMs: number, now: number) => void
  readonly recordArrival: (sender: string, now: number) => void
  readonly snapshot: () => Tally
  readonly reset: () => void
}

const createZeroCounts = (): Record<TallyField, number> =>
  ({ arrived: 0, finished: 0, shed: 0, failed: 0, cancelled: 0, swallowed: 0, crashes: 0 })

/** Creates an empty tally. */
export function createTally (): TallyRecorder {
  let counts = createZeroCounts()
  let maxConcurrent = 0
  let leavingAt: number | undefined
  let afterLeaving = { count: 0, lastMs: 0 }
  const pauses = createPauseWindows()
  const runs = new Map<string, number>()
  return {
    increment: what => { counts[what] += 1 },
    recordRun: (id, concurrent) => {
      runs.set(id, (runs.get(id) ?? 0) + 1)
      maxConcurrent = Math.max(maxConcurrent, concurrent)
    },
    markLeaving: now => { leavingAt = now },
    beginPause: pauses.begin,
    recordArrival: (sender, now) => {
      counts.arrived += 1
      pauses.recordArrival(sender, now)
      if (leavingAt !== undefined) afterLeaving = { count: afterLeaving.count + 1, lastMs: now - leavingAt }
    },
    snapshot: () => ({
      ...counts,
      ran: [...runs.values()].reduce((sum, count) => sum + count, 0),
      maxConcurrent,
      runs: Object.fromEntries(runs),
      afterLeaving,
      maxInPause: pauses.maxArrivals()
    }),
    reset: () => {
      counts = createZeroCounts()
      maxConcurrent = 0
      afterLeaving = { count: 0, lastMs: 0 }
      runs.clear()
      pauses.reset()
    }
  }
}
