/** Measures how much of its processor time this VM uses. */

/** Time that the event loop has spent since the start of the process, in ms. */
export interface EventLoopTime {
  readonly idleMs: number
  readonly activeMs: number
}

/** Reads the times of this process's event loop. */
export function readEventLoopTime (): EventLoopTime {
  const { idle, active } = performance.eventLoopUtilization()
  return { idleMs: idle, activeMs: active }
}

/** Measures the utilisation of the event loop over the last second. */
export interface LoadMeter {
  /** Takes a sample; called periodically. */
  readonly sample: () => void
  /** Fraction of the time in which the event loop was busy, from 0 to 1; 0 before the second sample. */
  readonly utilisation: () => number
}

/** Number of sample intervals over which the utilisation is averaged. */
const WINDOW_SAMPLES = 4

/**
 * Creates a meter of the event loop whose times `read` returns.
 *
 * A process that waits for its share of a processor counts as busy, so 1 means that the VM has no
 * capacity left, whatever its processor.
 *
 * @example
 * const meter = createLoadMeter(readEventLoopTime)
 * setInterval(meter.sample, 250)
 */
export function createLoadMeter (read: () => EventLoopTime): LoadMeter {
  let samples: readonly EventLoopTime[] = []
  return {
    sample: () => { samples = [...samples, read()].slice(-WINDOW_SAMPLES - 1) },
    utilisation: () => {
      const first = samples[0]
      const last = samples.at(-1)
      if (first === undefined || last === undefined) return 0
      const activeMs = last.activeMs - first.activeMs
      const totalMs = activeMs + last.idleMs - first.idleMs
      return totalMs > 0 ? activeMs / totalMs : 0
    }
  }
}
