/** Average latency of each class, and the latency of each target relative to it. */

/** Weight of a new sample in the moving average of a class, and of a target. */
const CLASS_EWMA_WEIGHT = 0.05
const TARGET_EWMA_WEIGHT = 0.25
/** Bounds on the ratio of one sample to the average, which limit the effect of outliers. */
const RATIO_MIN = 0.3
const RATIO_MAX = 8
/** Lower bound on the relative latency, so that fast targets do not attract all requests. */
const RELATIVE_LATENCY_MIN = 0.7
/** Time over which a target's relative latency decays to 1 without new samples, in ms. */
const SAMPLE_TTL_MS = 6000

/** Latencies of one service at this VM. Times are in ms. */
export interface Latencies {
  readonly record: (className: string, target: string, latencyMs: number, now: number) => void
  /** Average latency of a class; undefined before the first response. */
  readonly averageMs: (className: string) => number | undefined
  /** Latency of a target relative to the average of its requests' classes; 1 is average. */
  readonly relativeLatency: (target: string, now: number) => number
}

/** Creates latencies without samples. */
export function createLatencies (): Latencies {
  const classes = new Map<string, number>()
  const targets = new Map<string, { readonly ratio: number, readonly at: number }>()
  return {
    record: (className, target, latencyMs, now) => {
      const mean = classes.get(className)
      classes.set(className, mean === undefined ? latencyMs : mean + CLASS_EWMA_WEIGHT * (latencyMs - mean))
      if (mean === undefined || mean <= 0) return
      const ratio = Math.min(RATIO_MAX, Math.max(RATIO_MIN, latencyMs / mean))
      const known = targets.get(target)?.ratio ?? 1
      targets.set(target, { ratio: known + TARGET_EWMA_WEIGHT * (ratio - known), at: now })
    },
    averageMs: className => classes.get(className),
    relativeLatency: (target, now) => {
      const known = targets.get(target)
      if (known === undefined) return 1
      const freshness = Math.max(0, 1 - (now - known.at) / SAMPLE_TTL_MS)
      return Math.max(RELATIVE_LATENCY_MIN, 1 + (known.ratio - 1) * freshness)
    }
  }
}
