/** The format of measurements, and how the runs of several seeds are combined. */

/**
 * A value measured for this product (`design`) and for the simpler implementation that it is compared with
 * (`baseline`), under the same faults, seed and load.
 */
export interface Measurement {
  /** Example: `small-pool`. */
  readonly scenario: string
  /** Example: `answeredShare`. */
  readonly measure: string
  /** Example: `share of requests`. Includes the percentile if a measure has several. */
  readonly unit: string
  readonly design: number
  readonly baseline: number
}

/** Options of a source. */
export interface MeasureOptions {
  /** Seeds of the load and the faults; each scenario runs once with each seed. */
  readonly seeds: readonly number[]
  /** Shortens the runs, so that all sources together end within 45 s. */
  readonly quick: boolean
}

/** A measuring module. */
export interface Source {
  /** Name for `--only`. Example: `requests`. */
  readonly name: string
  /** Names of the reported measures. */
  readonly measures: readonly string[]
  readonly run: (options: MeasureOptions) => Iterable<Measurement> | AsyncIterable<Measurement>
  /** True if the source runs in separate processes, so that a quick run can start the next source in parallel. */
  readonly isInBackground?: boolean
  /** True if concurrent work distorts the values, so that the source starts after all background sources have ended. */
  readonly isSensitive?: boolean
}

/** Units of events that must not occur. They are summed, because a median hides an event that occurs in a single run. */
export const COUNT_UNITS: ReadonlySet<string> = new Set(['requests', 'answers', 'refusals', 'ejections', 'breaches'])

/** Returns the median; for an even number of values, the mean of the two middle ones. */
export function median (values: readonly number[]): number {
  const sorted = values.toSorted((a, b) => a - b)
  const middle = Math.floor(sorted.length / 2)
  const upper = sorted[middle] ?? NaN
  return sorted.length % 2 === 1 ? upper : ((sorted[middle - 1] ?? NaN) + upper) / 2
}

const keyOf = ({ scenario, measure, unit }: Measurement): string => JSON.stringify([scenario, measure, unit])

/**
 * Combines runs into one line for each scenario, measure and unit: counts are summed; other values
 * are reduced to their median, which is robust against a single disturbed run.
 *
 * @example
 * combineRuns([[{ scenario: 's', measure: 'doubleRuns', unit: 'requests', design: 0, baseline: 2 }],
 *   [{ scenario: 's', measure: 'doubleRuns', unit: 'requests', design: 0, baseline: 3 }]])[0].baseline // 5
 */
export function combineRuns (runs: ReadonlyArray<readonly Measurement[]>): readonly Measurement[] {
  const groups = new Map<string, Measurement[]>()
  for (const line of runs.flat()) groups.set(keyOf(line), [...groups.get(keyOf(line)) ?? [], line])
  return [...groups.values()].flatMap(lines => {
    const [first] = lines
    if (first === undefined) return []
    const combine = COUNT_UNITS.has(first.unit) ? (values: readonly number[]) => values.reduce((sum, value) => sum + value, 0) : median
    return [{ ...first, design: combine(lines.map(line => line.design)), baseline: combine(lines.map(line => line.baseline)) }]
  })
}

/** Runs a measurement with each seed sequentially and combines the lines. */
export async function * measureSeeds (
  seeds: readonly number[], run: (seed: number) => Iterable<Measurement> | AsyncIterable<Measurement>
): AsyncGenerator<Measurement> {
  const runs: Array<readonly Measurement[]> = []
  for (const seed of seeds) {
    const lines: Measurement[] = []
    for await (const line of run(seed)) lines.push(line)
    runs.push(lines)
  }
  yield * combineRuns(runs)
}

/**
 * Returns the names of the declared measures of a source that are missing from its lines.
 *
 * @example
 * missingMeasures({ name: 'claims', measures: ['claimWrites'], run }, []) // ['claimWrites']
 */
export function missingMeasures ({ measures }: Source, lines: readonly Measurement[]): readonly string[] {
  return measures.filter(name => !lines.some(({ measure }) => measure === name))
}
