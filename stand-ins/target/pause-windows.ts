/** Work that arrives while its sender was asked to send none. */

/** Time from the rejection until its sender is expected to have stopped, in ms. */
const NOTICE_MS = 500

interface PauseWindow {
  readonly from: number
  readonly until: number
  arrivals: number
}

/** Counts arrivals in the pauses that a target asked its senders for. Times are in ms. */
export interface PauseWindows {
  /** Records that a sender was told to send nothing for `pauseMs`. */
  readonly begin: (sender: string, pauseMs: number, now: number) => void
  readonly recordArrival: (sender: string, now: number) => void
  /** Most arrivals of one sender in one pause, from half a second after the rejection to the end of the pause. */
  readonly maxArrivals: () => number
  readonly reset: () => void
}

/**
 * Creates the windows of a target that has asked for no pause.
 *
 * @example
 * const windows = createPauseWindows()
 * windows.begin('10.0.0.1', 2000, 0)
 * windows.recordArrival('10.0.0.1', 1000)
 * windows.maxArrivals() // 1
 */
export function createPauseWindows (): PauseWindows {
  const windows = new Map<string, readonly PauseWindow[]>()
  let maxArrivals = 0
  return {
    begin: (sender, pauseMs, now) => {
      const open = (windows.get(sender) ?? []).filter(({ until }) => until > now)
      windows.set(sender, [...open, { from: now + NOTICE_MS, until: now + pauseMs, arrivals: 0 }])
    },
    recordArrival: (sender, now) => {
      for (const window of windows.get(sender) ?? []) {
        if (now <= window.from || now >= window.until) continue
        window.arrivals += 1
        maxArrivals = Math.max(maxArrivals, window.arrivals)
      }
    },
    maxArrivals: () => maxArrivals,
    reset: () => {
      windows.clear()
      maxArrivals = 0
    }
  }
}
