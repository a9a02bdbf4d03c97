/** Utilisation of the healthy targets while requests go unserved. */

/** Arrival of a request at a target, or the end of a request. */
export interface TimedEvent {
  readonly at: number
}

/** Events of a simulated load. Times are in ms. */
export interface Trace {
  readonly arrivals: ReadonlyArray<TimedEvent & { readonly target: number }>
  readonly ends: ReadonlyArray<TimedEvent & { readonly isServed: boolean }>
  readonly targets: number
  readonly isHealthy: (target: number, now: number) => boolean
  readonly durationMs: number
}

const WINDOW_MS = 2000
const STEP_MS = 250
/** With a smaller fraction unserved, targets may be idle; with a larger one, most targets are failing. */
const UNSERVED_MIN = 0.1
const UNSERVED_MAX = 0.5

/**
 * Smallest fraction of the healthy targets that receive requests in a window, over all windows in which
 * `UNSERVED_MIN` to `UNSERVED_MAX` of the requests go unserved; 1 if there is no such window.
 */
export function lowestUse ({ arrivals, ends, targets, isHealthy, durationMs }: Trace): number {
  let lowest = 1
  for (let from = 0; from + WINDOW_MS <= durationMs; from += STEP_MS) {
    const isInside = ({ at }: TimedEvent): boolean => at >= from && at < from + WINDOW_MS
    const ended = ends.filter(isInside)
    const unserved = ended.filter(({ isServed }) => !isServed).length / Math.max(1, ended.length)
    if (unserved < UNSERVED_MIN || unserved >= UNSERVED_MAX) continue
    const healthy = Array.from({ length: targets }, (_, index) => index)
      .filter(index => isHealthy(index, from) && isHealthy(index, from + WINDOW_MS / 2) && isHealthy(index, from + WINDOW_MS))
    const used = new Set(arrivals.filter(isInside).map(({ target }) => target))
    if (healthy.length > 0) lowest = Math.min(lowest, healthy.filter(index => used.has(index)).length / healthy.length)
  }
  return lowest
}
