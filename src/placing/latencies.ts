/** Usual latencies by class, and how slow each target is in comparison. */

/** Weight of a new latency in the average of a class, and of a target. */
const CLASS_WEIGHT = 0.05
const TARGET_WEIGHT = 0.25
/** Bounds on one comparison: a single outlier says little. */
const RATIO_MIN = 0.3
const RATIO_MAX = 8
/** A target counts as at most this much faster than usual, so that fast ones do not attract all work. */
const SLOWNESS_MIN = 0.7
/** What was measured long ago says little; a target is seen as usual again after this time, in ms. */
const MEMORY_MS = 6000

/** Latencies of one service at this VM. Times are in ms. */
export interface Latencies {
  readonly record: (className: string, target: string, latencyMs: number, now: number) => void
  /** Usual latency of a class; undefined before the first answer. */
  readonly usualMs: (className: string) => number | undefined
  /** Latency of a target in relation to its classes; 1 is usual. */
  readonly slowness: (target: string, now: number) => number
}

/** Creates latencies without any measurement. */
export function createLatencies (): Latencies {
  const classes = new Map<string, number>()
  const targets = new Map<string, { readonly ratio: number, readonly at: number }>()
  return {
    record: (className, target, latencyMs, now) => {
      const usual = classes.get(className)
      classes.set(className, usual === undefined ? latencyMs : usual + CLASS_WEIGHT * (latencyMs - usual))
      if (usual === undefined || usual <= 0) return
      const ratio = Math.min(RATIO_MAX, Math.max(RATIO_MIN, latencyMs / usual))
      const known = targets.get(target)?.ratio ?? 1
      targets.set(target, { ratio: known + TARGET_WEIGHT * (ratio - known), at: now })
    },
    usualMs: className => classes.get(className),
    slowness: (target, now) => {
      const known = targets.get(target)
      if (known === undefined) return 1
      const freshness = Math.max(0, 1 - (now - known.at) / MEMORY_MS)
      return Math.max(SLOWNESS_MIN, 1 + (known.ratio - 1) * freshness)
    }
  }
}
