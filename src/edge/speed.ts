/** Notices that this VM is too slow to serve callers: its timers are late. */

/** A timer later than this is late, in ms. */
const LATE_MS = 80
/** Late timers in a row that show a slow VM; a single pause does not. */
const LATE_IN_A_ROW = 2
/** Time for which a VM that was slow counts as slow, in ms. */
const MEMORY_MS = 5000

/** Watches one periodic timer. Times are in ms on one monotonic clock. */
export interface SpeedWatch {
  /** Records a run of the timer; true when the VM is slow from now on and was not before. */
  readonly beat: (now: number) => boolean
  readonly isSlow: (now: number) => boolean
}

/**
 * Creates a watch of a timer that runs every `periodMs`.
 *
 * @example
 * const speed = createSpeedWatch(250)
 * speed.beat(0)
 * speed.beat(400)
 * speed.beat(800) // true
 */
export function createSpeedWatch (periodMs: number): SpeedWatch {
  let beatAt: number | undefined
  let late = 0
  let slowAt = -Infinity
  const isSlow = (now: number): boolean => now - slowAt < MEMORY_MS
  return {
    isSlow,
    beat: now => {
      const isLate = beatAt !== undefined && now - beatAt > periodMs + LATE_MS
      beatAt = now
      late = isLate ? late + 1 : 0
      if (late < LATE_IN_A_ROW) return false
      const wasSlow = isSlow(now)
      slowAt = now
      return !wasSlow
    }
  }
}
