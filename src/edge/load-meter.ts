/** Measures how much of its processor time this VM uses. */

/** Time that the event loop has spent since the start of the process, in ms. */
export interface EventLoopTime {
  readonly idleMs: number
  readonly activeMs: number
}

/** Totals since the start of the process. */
interface Sample extends EventLoopTime {
  /** Frames that the links have sent and received. */
  readonly frames: number
}

/** Reads the times of this process's event loop. */
export function readEventLoopTime (): EventLoopTime {
  const { idle, active } = performance.eventLoopUtilization()
  return { idleMs: idle, activeMs: active }
}

/** Measures the utilisation of the event loop over the last second. */
export interface LoadMeter {
  /** Takes a sample; called periodically with the number of frames that the links have sent and received. */
  readonly sample: (frames: number) => void
  /** Fraction of the time in which the event loop was busy, from 0 to 1; 0 before the second sample. */
  readonly utilisation: () => number
  /** Processor time that a VM of the given capacity used for other work than messages between VMs, in cores. */
  readonly requestCores: (cores: number) => number
}

/** Processor time that one frame takes, in core-milliseconds. */
const FRAME_CORE_MS = 0.2
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
 * setInterval(() => meter.sample(framesOf(mesh.traffic())), 250)
 */
export function createLoadMeter (read: () => EventLoopTime): LoadMeter {
  let samples: readonly Sample[] = []
  /** Differences between the ends of the window; undefined without a span. */
  const span = (): { readonly activeMs: number, readonly totalMs: number, readonly frames: number } | undefined => {
    const first = samples[0]
    const last = samples.at(-1)
    if (first === undefined || last === undefined) return undefined
    const activeMs = last.activeMs - first.activeMs
    const totalMs = activeMs + last.idleMs - first.idleMs
    return totalMs > 0 ? { activeMs, totalMs, frames: last.frames - first.frames } : undefined
  }
  const utilisation = (): number => {
    const { activeMs, totalMs } = span() ?? { activeMs: 0, totalMs: 1 }
    return activeMs / totalMs
  }
  return {
    sample: frames => { samples = [...samples, { ...read(), frames }].slice(-WINDOW_SAMPLES - 1) },
    utilisation,
    requestCores: cores => {
      const { totalMs, frames } = span() ?? { totalMs: 1, frames: 0 }
      return Math.max(0, utilisation() * cores - frames * FRAME_CORE_MS / totalMs)
    }
  }
}
