/** Runs one scenario against one system under test. */
import { setTimeout as sleep } from 'node:timers/promises'
import { runLoad } from '../../stand-ins/caller/index.js'
import { createTargetStandIn, type TargetStandIn } from '../../stand-ins/target/index.js'
import { evaluateOutcome, type Outcome } from './outcome.js'
import type { RequestScenario } from './scenarios.js'
import { ZONES, SERVICE, zoneOf, type StartSystem } from './system-under-test.js'

/** Options of {@link runScenario}. */
export interface RunOptions {
  readonly scenario: RequestScenario
  readonly seed: number
  /** Length of the load, in ms. */
  readonly durationMs: number
}

const TARGET_ADDRESS = '127.0.0.1'
const TARGET_SEEDS_PER_RUN = 100
/** Time for attempts that a proxy still makes after its caller timed out. */
const DRAIN_MS = 1000

function startTargets ({ service }: RequestScenario, seed: number): Promise<readonly TargetStandIn[]> {
  return Promise.all(Array.from({ length: service.targets }, (_, i) => createTargetStandIn({
    id: `t${i + 1}`,
    address: TARGET_ADDRESS,
    place: zoneOf(i),
    slots: service.slots,
    time: { distribution: 'lognormal', meanMs: service.meanMs },
    seed: seed * TARGET_SEEDS_PER_RUN + i
  })))
}

/** Starts targets and a system under test, runs the load and the faults of a scenario, and evaluates the outcome. */
export async function runScenario ({ scenario, seed, durationMs }: RunOptions, startSystem: StartSystem, statusIsRefusal: boolean): Promise<Outcome> {
  const targets = await startTargets(scenario, seed)
  const system = await startSystem(scenario.service, targets)
  const startedAt = performance.now()
  const waitUntil = async (fraction: number): Promise<void> => { await sleep(Math.max(0, startedAt + fraction * durationMs - performance.now())) }
  const loadRun = runLoad({
    contacts: system.contacts,
    service: SERVICE,
    place: ZONES[0],
    host: 'measure.example',
    kinds: scenario.kinds,
    ratePerSecond: scenario.ratePerSecond,
    durationMs,
    seed
  })
  const [report] = await Promise.all([loadRun, scenario.injectFaults({ targets, setPlatformFaults: system.setPlatformFaults, waitUntil })])
  await sleep(DRAIN_MS)
  const outcome = evaluateOutcome(report, targets.map(target => target.tally()), { statusIsRefusal, isCounted: scenario.isCounted })
  await system.close()
  await Promise.all(targets.map(target => target.close()))
  return outcome
}
