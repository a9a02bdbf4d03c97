/**
 * Measuring modules, in the order in which they run. A new module must be added here.
 */
import { measureClaims } from './claims.js'
import { measureControl } from './control.js'
import { scenarios } from './detection/scenario.js'
import { measureDetection } from './detection.js'
import { measureSeeds, type Source } from './measurement.js'
import { measureOverload } from './overload.js'
import { measureAddedLatency } from './requests/added-latency.js'
import { measureRequests, REQUEST_MEASURES } from './requests/requests.js'

/** Scenarios of the quick run: one for each kind of fault. */
const QUICK_DETECTION: ReadonlySet<string> = new Set([
  'gray target, 6 targets', 'straggler, 6 targets', 'flapping target, 6 targets', 'gray target, small pool', 'service-wide slowdown',
  'unhealthy VM that fails', 'one-way cut between one VM and one target'
])
const QUICK_OVERLOAD_MS = 10_000
const OVERLOAD_MS = 60_000
const QUICK_CLAIMS_S = 0.7
const CLAIMS_S = 5
const DETECTION_RUNS_PER_SEED = 4
const QUICK_REQUESTS_MS = 900
const REQUESTS_MS = 8000
const QUICK_CONCURRENT_SCENARIOS = 5
const CONCURRENT_SCENARIOS = 2
const QUICK_LATENCY = { blocks: 1, warmUpBlocks: 1 }
/** 20 blocks are 4,000 requests on each path, or 1,300 at each VM. */
const LATENCY = { blocks: 20, warmUpBlocks: 20 }

const overload: Source = {
  name: 'overload',
  measures: ['retryAmplification', 'answeredShare'],
  run: ({ seeds, quick }) => measureSeeds(seeds, seed => measureOverload({ seed, durationMs: quick ? QUICK_OVERLOAD_MS : OVERLOAD_MS }))
}

const claims: Source = {
  name: 'claims',
  measures: ['claimWrites', 'claimReads', 'claimLatency'],
  run: ({ seeds, quick }) => measureSeeds(seeds, seed => measureClaims({ seed, seconds: quick ? QUICK_CLAIMS_S : CLAIMS_S }))
}

const requests: Source = {
  name: 'requests',
  measures: REQUEST_MEASURES,
  isInBackground: true,
  run: ({ seeds, quick }) => measureSeeds(seeds, seed => measureRequests(quick
    ? { seed, durationMs: QUICK_REQUESTS_MS, concurrency: QUICK_CONCURRENT_SCENARIOS, isBaselineConcurrent: true }
    : { seed, durationMs: REQUESTS_MS, concurrency: CONCURRENT_SCENARIOS }))
}

/** Uses blocks instead of seeds, because the load is the same in every run. */
const addedLatency: Source = {
  name: 'addedLatency',
  measures: ['addedLatency'],
  isSensitive: true,
  run: ({ quick }) => measureAddedLatency(quick ? QUICK_LATENCY : LATENCY)
}

/** Each scenario runs several times, because its percentiles are computed over the runs. */
const detection: Source = {
  name: 'detection',
  measures: ['detection', 'unhealthyWork', 'falseEjections', 'floorBreaches', 'overSlots', 'refused'],
  run: ({ seeds, quick }) => measureDetection(quick
    ? { runs: 1, seed: seeds[0] ?? 1, scenarios: scenarios.filter(({ name }) => QUICK_DETECTION.has(name)) }
    : { runs: DETECTION_RUNS_PER_SEED * seeds.length, seed: seeds[0] ?? 1 })
}

const control: Source = {
  name: 'control',
  measures: ['controlBytesPerSecond', 'controlBytesBothWaysPerSecond', 'controlCpuShare', 'controlMemory', 'noteInForce'],
  isSensitive: true,
  run: ({ quick }) => measureControl({ quick })
}

/** Sources in the order in which they run. */
export const sources: readonly Source[] = [addedLatency, requests, detection, overload, claims, control]
