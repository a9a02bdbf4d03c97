/** Counts outcomes at one VM until they are reported as evidence. */
import type { Observation } from '../model/index.js'
import type { Count, Outcome } from './outcome.js'
import { createSlownessDetector } from './slowness-detector.js'

/** Outcome counts of one VM for one service since its last report. */
export interface Collector {
  /** Counts an observation and returns its outcome, which is `slow` for a slow response. */
  readonly add: (observation: Observation, now: number) => Outcome
  /** Returns the counts since the last call and resets them. */
  readonly take: () => readonly Count[]
  readonly isEmpty: () => boolean
}

/** Bounds the memory of a VM that has no coordinator to report to. */
const MAX_COUNTS = 2_000

/**
 * Creates an empty collector.
 *
 * @example
 * const collector = createCollector()
 * collector.add(observation, now) // 'slow'
 * collector.take() // [{ target: 't1', class: 'listing', outcome: 'slow', count: 1 }]
 */
export function createCollector (): Collector {
  const slowness = createSlownessDetector()
  let counts = new Map<string, Count>()
  const outcomeOf = ({ target, class: className, result, latencyMs }: Observation, now: number): Outcome =>
    result === 'answered' && slowness.isSlow(target, className, latencyMs, now) ? 'slow' : result
  return {
    add: (observation, now) => {
      const outcome = outcomeOf(observation, now)
      const { target, class: className } = observation
      const key = JSON.stringify([target, className, outcome])
      const count = (counts.get(key)?.count ?? 0) + 1
      if (count > 1 || counts.size < MAX_COUNTS) counts.set(key, { target, class: className, outcome, count })
      return outcome
    },
    take: () => {
      const taken = [...counts.values()]
      counts = new Map()
      return taken
    },
    isEmpty: () => counts.size === 0
  }
}
