/** Detects from timer lag that this VM is too slow to serve callers. */

/** A tick that is delayed by more than this counts as late. */
const MAX_TIMER_LAG_MS = 80
/** Consecutive late ticks that mark the VM as slow; a single pause does not. */
const LATE_TICKS_THRESHOLD = 2
/** The VM counts as slow for this time after the last detection. */
const SLOW_HOLD_MS = 5000

/** Monitors the lag of one periodic timer. Times are in ms on one monotonic clock. */
export interface LagMonitor {
  /** Records a tick of the timer that was due `periodMs` after the one before; returns true when the VM changes from normal to slow. */
  readonly recordTick: (periodMs: number, now: number) => boolean
  readonly isSlow: (now: number) => boolean
}

/**
 * Creates a monitor of a timer that has not ticked.
 *
 * @example
 * const monitor = createLagMonitor()
 * monitor.recordTick(250, 0)
 * monitor.recordTick(250, 400)
 * monitor.recordTick(250, 800) // true
 */
export function createLagMonitor (): LagMonitor {
  let lastTickAt: number | undefined
  let lateTicks = 0
  let lastSlowAt = -Infinity
  const isSlow = (now: number): boolean => now - lastSlowAt < SLOW_HOLD_MS
  return {
    isSlow,
    recordTick: (periodMs, now) => {
      const isLate = lastTickAt !== undefined && now - lastTickAt > periodMs + MAX_TIMER_LAG_MS
      lastTickAt = now
      lateTicks = isLate ? lateTicks + 1 : 0
      if (lateTicks < LATE_TICKS_THRESHOLD) return false
      const wasSlow = isSlow(now)
      lastSlowAt = now
      return !wasSlow
    }
  }
}
