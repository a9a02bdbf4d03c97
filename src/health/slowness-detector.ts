/**
 * Detects slow responses at the VM that received them.
 *
 * The latency of a response is compared with those of the other targets in the same class at the same VM. So
 * neither a slow VM nor a service that is slow as a whole makes its targets look slow.
 */

/** A response is slow above this multiple of the median latency of the other targets. */
export const SLOW_FACTOR = 3
/** A response is never slow below this excess over the median, because scheduling delays reach that length. */
export const SLOW_EXCESS_MS = 20
const WINDOW_MS = 10_000
/** Bounds the memory per class; of more responses in the window, only the latest are compared. */
const MAX_RESPONSES = 256
/** Fewer responses of other targets give no reliable median. */
const MIN_RESPONSES = 5
/** A cached median is used for this long: it changes slowly, and sorting for each response would waste work. */
const MEDIAN_TTL_MS = 500

interface ResponseSample {
  readonly at: number
  readonly target: string
  readonly latencyMs: number
}

interface Median {
  readonly at: number
  readonly latencyMs: number | undefined
}

interface ClassHistory {
  readonly responses: ResponseSample[]
  readonly medians: Map<string, Median>
}

/** Detects the slow responses of one service at one VM. */
export interface SlownessDetector {
  /** Returns whether a response is slow, and records its latency for later comparisons. */
  readonly isSlow: (target: string, className: string, latencyMs: number, now: number) => boolean
}

function medianOf (values: readonly number[]): number | undefined {
  const sorted = values.toSorted((a, b) => a - b)
  return sorted[Math.floor(sorted.length / 2)]
}

function medianOfOthers (history: ClassHistory, target: string, now: number): number | undefined {
  const known = history.medians.get(target)
  if (known !== undefined && now - known.at < MEDIAN_TTL_MS) return known.latencyMs
  const others = history.responses
    .filter(response => response.target !== target && now - response.at <= WINDOW_MS)
    .map(response => response.latencyMs)
  const latencyMs = others.length < MIN_RESPONSES ? undefined : medianOf(others)
  history.medians.set(target, { at: now, latencyMs })
  return latencyMs
}

/**
 * Creates a detector without recorded latencies.
 *
 * @example
 * const slowness = createSlownessDetector()
 * slowness.isSlow('t1', 'listing', 400, now) // true when the other targets take about 20 ms
 */
export function createSlownessDetector (): SlownessDetector {
  const classes = new Map<string, ClassHistory>()
  const historyOf = (className: string): ClassHistory => {
    const known = classes.get(className)
    if (known !== undefined) return known
    const created = { responses: [], medians: new Map() }
    classes.set(className, created)
    return created
  }
  return {
    isSlow: (target, className, latencyMs, now) => {
      const history = historyOf(className)
      const median = medianOfOthers(history, target, now)
      history.responses.push({ at: now, target, latencyMs })
      if (history.responses.length > MAX_RESPONSES) history.responses.shift()
      if (median === undefined) return false
      return latencyMs > SLOW_FACTOR * median && latencyMs - median >= SLOW_EXCESS_MS
    }
  }
}
