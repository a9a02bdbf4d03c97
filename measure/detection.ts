/** Measures detection time and false ejections of the design against the baseline. */
import { runBaseline } from './detection/baseline.js'
import { runDesign } from './detection/design.js'
import { scenarios, type Scenario } from './detection/scenario.js'
import type { RunResult } from './detection/tracker.js'
import type { Measurement } from './measurement.js'

/** Options of {@link measureDetection}. */
export interface DetectionOptions {
  /** Number of runs of each scenario. */
  readonly runs: number
  /** Seed of the first run; each further run increments it. */
  readonly seed: number
  /** Default: all scenarios. */
  readonly scenarios?: readonly Scenario[]
}

const MEDIAN = 0.5
const P99 = 0.99
const ROUNDING_FACTOR = 1_000

function quantile (values: readonly number[], fraction: number): number {
  const sorted = values.toSorted((a, b) => a - b)
  return sorted[Math.max(0, Math.ceil(sorted.length * fraction) - 1)] ?? 0
}

function sum (results: readonly RunResult[], select: (result: RunResult) => number): number {
  return Math.round(results.reduce((total, result) => total + select(result), 0) * ROUNDING_FACTOR) / ROUNDING_FACTOR
}

function linesOf (scenario: Scenario, design: readonly RunResult[], baseline: readonly RunResult[]): readonly Measurement[] {
  const line = (measure: string, unit: string, value: (results: readonly RunResult[]) => number): Measurement =>
    ({ scenario: scenario.name, measure, unit, design: value(design), baseline: value(baseline) })
  const times = (results: readonly RunResult[]): readonly number[] => results.flatMap(({ detectionMs }) => detectionMs ?? [])
  const detected = scenario.detect === undefined
    ? []
    : [
        line('detection', 'ms, median', results => quantile(times(results), MEDIAN)),
        line('detection', 'ms, 99th percentile', results => quantile(times(results), P99)),
        line('unhealthyWork', 'requests/run', results => sum(results, ({ unhealthyWork }) => unhealthyWork) / results.length)
      ]
  return [
    ...detected,
    line('falseEjections', 'whole-fleet removals', results => sum(results, ({ falseEjections }) => falseEjections)),
    line('floorBreaches', 'breaches', results => sum(results, ({ floorBreaches }) => floorBreaches)),
    line('overSlots', 'requests', results => sum(results, ({ overSlots }) => overSlots)),
    line('refused', 'requests', results => sum(results, ({ refused }) => refused))
  ]
}

/**
 * Runs every scenario with the design and the baseline, on a manual clock. Counts are sums
 * over the runs of 52 s each. A fault that is never detected counts with the
 * measured 40 s.
 *
 * @example
 * for (const line of measureDetection({ runs: 20, seed: 1 })) console.log(JSON.stringify(line))
 */
export function * measureDetection ({ runs, seed, scenarios: chosen = scenarios }: DetectionOptions): Generator<Measurement> {
  for (const scenario of chosen) {
    const seeds = Array.from({ length: runs }, (_, i) => seed + i)
    const design = seeds.map(value => runDesign(scenario, value))
    const baseline = seeds.map(value => runBaseline(scenario, value))
    yield * linesOf(scenario, design, baseline)
  }
}
