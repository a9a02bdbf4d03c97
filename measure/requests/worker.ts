/**
 * Worker process that runs one scenario against one system under test.
 * In a shared event loop, concurrent scenarios would delay each other.
 */
import { startDesign } from './start-design.js'
import { startBaseline } from './start-baseline.js'
import type { Outcome } from './outcome.js'
import { runScenario } from './run-scenario.js'
import { scenarios } from './scenarios.js'

/** Message to a worker that describes its run. */
export interface Job {
  /** Name of a scenario. */
  readonly scenario: string
  /** System under test: the product or the baseline. */
  readonly side: 'design' | 'baseline'
  readonly seed: number
  /** Length of the load, in ms. */
  readonly durationMs: number
}

/** Message from a worker with the outcome of its run. */
export interface JobResult {
  readonly outcome: Outcome
}

async function executeJob ({ scenario: name, side, seed, durationMs }: Job): Promise<Outcome> {
  const scenario = scenarios.find(candidate => candidate.name === name)
  if (scenario === undefined) throw new Error(`unknown scenario "${name}"`)
  return await runScenario({ scenario, seed, durationMs }, side === 'design' ? startDesign : startBaseline, side === 'baseline')
}

process.once('message', (job: Job) => {
  executeJob(job).then(
    outcome => process.send?.({ outcome } satisfies JobResult, () => process.exit(0)),
    (error: unknown) => {
      console.error(error)
      process.exit(1)
    })
})
