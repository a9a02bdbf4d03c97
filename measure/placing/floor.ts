/** Which part of the sound targets is used while requests go unserved. */

/** A request that reached a target, or that ended. */
export interface Moment {
  readonly at: number
}

/** What happened in a played load. */
export interface Usage {
  readonly arrivals: ReadonlyArray<Moment & { readonly target: number }>
  readonly ends: ReadonlyArray<Moment & { readonly isServed: boolean }>
  readonly targets: number
  readonly isSound: (target: number, now: number) => boolean
  readonly durationMs: number
}

const WINDOW_MS = 2000
const STEP_MS = 250
/** With fewer requests unserved, targets may rest; with more, most targets are in trouble. */
const UNSERVED_MIN = 0.1
const UNSERVED_MAX = 0.5

/** Least part of the targets that are sound in a window and get requests in it, over all windows in which it matters; 1 without any. */
export function lowestUse ({ arrivals, ends, targets, isSound, durationMs }: Usage): number {
  let lowest = 1
  for (let from = 0; from + WINDOW_MS <= durationMs; from += STEP_MS) {
    const isInside = ({ at }: Moment): boolean => at >= from && at < from + WINDOW_MS
    const ended = ends.filter(isInside)
    const unserved = ended.filter(({ isServed }) => !isServed).length / Math.max(1, ended.length)
    if (unserved < UNSERVED_MIN || unserved >= UNSERVED_MAX) continue
    const sound = Array.from({ length: targets }, (_, index) => index)
      .filter(index => isSound(index, from) && isSound(index, from + WINDOW_MS / 2) && isSound(index, from + WINDOW_MS))
    const used = new Set(arrivals.filter(isInside).map(({ target }) => target))
    if (sound.length > 0) lowest = Math.min(lowest, sound.filter(index => used.has(index)).length / sound.length)
  }
  return lowest
}
