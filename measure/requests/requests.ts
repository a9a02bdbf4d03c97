/** Compares the product with the baseline, a reverse proxy without coordination, by HTTP requests on loopback, through entry, admission, claims and coordination. */
import type { Measurement } from '../measurement.js'
import type { Outcome } from './outcome.js'
import { scenarios } from './scenarios.js'
import { runJobInProcess } from './run-job.js'

/** Options of {@link measureRequests}. */
export interface RequestOptions {
  readonly seed: number
  /** Length of the load of each run, in ms. */
  readonly durationMs: number
  /** Scenarios that run at the same time, each in separate processes. */
  readonly concurrency: number
  /** True to run the design and the baseline of a scenario at the same time. Default: false. */
  readonly isBaselineConcurrent?: boolean
  /** Names of scenarios. Default: all. */
  readonly scenarioNames?: readonly string[]
}

const UNITS: Readonly<Record<keyof Outcome, string>> = {
  doubleRuns: 'requests',
  wrongAnswers: 'answers',
  untruthfulRefusals: 'refusals',
  answeredShare: 'share of requests'
}

const allScenarioNames = scenarios.map(({ name }) => name)

/** Names of the measures that each scenario yields. */
export const REQUEST_MEASURES = Object.keys(UNITS) as ReadonlyArray<keyof Outcome>

function toMeasurements (scenario: string, design: Outcome, baseline: Outcome): readonly Measurement[] {
  return REQUEST_MEASURES.map(measure => ({ scenario, measure, unit: UNITS[measure], design: design[measure], baseline: baseline[measure] }))
}

async function mapConcurrently<Item, Value> (items: readonly Item[], concurrency: number, map: (item: Item) => Promise<Value>): Promise<readonly Value[]> {
  const values: Value[] = []
  const remaining = [...items.entries()]
  const processRemaining = async (): Promise<void> => {
    for (let entry = remaining.shift(); entry !== undefined; entry = remaining.shift()) values[entry[0]] = await map(entry[1])
  }
  await Promise.all(Array.from({ length: concurrency }, processRemaining))
  return values
}

/**
 * Runs each scenario once against the design and once against the baseline, with the same load, seed and faults.
 *
 * @throws Error when a run ends without a result
 *
 * @example
 * for await (const line of measureRequests({ seed: 1, durationMs: 3000, concurrency: 5 })) console.log(line)
 */
export async function * measureRequests ({ seed, durationMs, concurrency, isBaselineConcurrent = false, scenarioNames = allScenarioNames }: RequestOptions): AsyncGenerator<Measurement> {
  const runs = await mapConcurrently(scenarioNames, concurrency, async scenario => {
    const designRun = runJobInProcess({ scenario, side: 'design', seed, durationMs })
    if (!isBaselineConcurrent) await designRun
    const baselineRun = runJobInProcess({ scenario, side: 'baseline', seed, durationMs })
    const [designOutcome, baselineOutcome] = await Promise.all([designRun, baselineRun])
    return { scenario, design: designOutcome, baseline: baselineOutcome }
  })
  for (const { scenario, design, baseline } of runs) yield * toMeasurements(scenario, design, baseline)
}
