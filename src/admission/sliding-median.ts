import { build, type Histogram } from 'hdr-histogram-js'

/**
 * Length of a window. The median covers one to two windows. So a median that causes every request to be refused
 * expires after at most 10 s, and new requests can show that the service is fast again.
 */
const WINDOW_MS = 5000

/** Fewer samples are no reliable reason to refuse a request. */
const MIN_SAMPLES = 20

/** Minimum time between two computations of the median, which scan the histogram. */
const REFRESH_MS = 100

const US_PER_MS = 1000
const MAX_LATENCY_US = 60_000_000

/** Median latency over the last 5 to 10 s. */
export interface SlidingMedian {
  readonly record: (latencyMs: number, now: number) => void
  /** Median in ms; undefined with too few recent samples. */
  readonly value: (now: number) => number | undefined
}

interface Windows {
  readonly current: Histogram
  readonly previous: Histogram
  readonly startedAt: number
}

function createHistogram (): Histogram {
  return build({
    bitBucketSize: 32,
    autoResize: false,
    highestTrackableValue: MAX_LATENCY_US,
    numberOfSignificantValueDigits: 2
  })
}

function rotate (windows: Windows, now: number): Windows {
  const age = now - windows.startedAt
  if (age < WINDOW_MS) return windows
  const { current, previous } = windows
  previous.reset()
  if (age < 2 * WINDOW_MS) return { current: previous, previous: current, startedAt: windows.startedAt + WINDOW_MS }
  current.reset()
  return { current, previous, startedAt: now }
}

/**
 * Creates an empty sliding median.
 *
 * @example
 * median.record(12.5, now)
 * median.value(now) // undefined: one sample is too few
 */
export function createSlidingMedian (now: number): SlidingMedian {
  let windows: Windows = { current: createHistogram(), previous: createHistogram(), startedAt: now }
  let cached: number | undefined
  let cachedAt = -Infinity

  const compute = (): number | undefined => {
    const { current, previous } = windows
    const source = current.totalCount >= MIN_SAMPLES ? current : previous
    if (source.totalCount < MIN_SAMPLES) return undefined
    return source.getValueAtPercentile(50) / US_PER_MS
  }
  return {
    record: (latencyMs, now) => {
      windows = rotate(windows, now)
      const latencyUs = Math.round(latencyMs * US_PER_MS)
      windows.current.recordValue(Math.min(MAX_LATENCY_US, Math.max(1, latencyUs)))
    },
    value: now => {
      if (cached !== undefined && now - cachedAt < REFRESH_MS) return cached
      windows = rotate(windows, now)
      cached = compute()
      cachedAt = now
      return cached
    }
  }
}
