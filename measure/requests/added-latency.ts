/**
 * Measures the latency that a proxy adds to a request in an unloaded run. Callers, VMs and targets are
 * separate processes. Other work on the machine distorts the percentiles.
 */
import { Agent, request as httpRequest } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { build, type Histogram } from 'hdr-histogram-js'
import type { Endpoint } from '../../src/model/index.js'
import { RESPONSE_BYTES_HEADER, TOKEN_HEADER } from '../../stand-ins/target/index.js'
import { startFleet } from '../../trial/fleet.js'
import { initialNote, planFleet } from '../../trial/layout.js'
import { startProgram } from '../../trial/process.js'
import { submitNote } from '../../trial/submit.js'
import type { Measurement } from '../measurement.js'

/** Options of {@link measureAddedLatency}. */
export interface AddedLatencyOptions {
  /** Measured blocks of each path; a block lasts 1 s. */
  readonly blocks: number
  /**
   * Unmeasured blocks before them. Requests are slower while connections are opened and code is compiled;
   * the processor time of a VM per request falls over the first few thousand requests.
   */
  readonly warmUpBlocks: number
}

const RATE_PER_SECOND = 200
const BLOCK_MS = 1000
const MS_PER_SECOND = 1000
const BODY_BYTES = 1024
const SERVICE_TIME_MS = 1
const TARGETS = 30
/** Time for coordinators to acquire a lease. A VM grants no lease in its first 2 s. */
const LEASE_WAIT_MS = 3000
const US_PER_MS = 1000
const DIGITS = 3
const FIRST_NETWORK = 1
const NETWORKS = 60
const NAIVE_PROGRAM = 'dist/measure/requests/naive-main.js'
const PERCENTILES = [50, 99] as const

type PathName = 'direct' | 'design' | 'baseline'
const PATH_NAMES: readonly PathName[] = ['direct', 'design', 'baseline']

/** Sends a request and returns the time until the end of the response, in ms. */
function measureLatency (endpoint: Endpoint, agent: Agent): Promise<number> {
  return new Promise((resolve, reject) => {
    const startedAt = performance.now()
    const headers = { [TOKEN_HEADER]: 'latency', [RESPONSE_BYTES_HEADER]: BODY_BYTES }
    httpRequest({ host: endpoint.address, port: endpoint.port, path: '/listing/7', agent, headers }, response => {
      if (response.statusCode !== 200) return reject(new Error(`status ${response.statusCode} from ${endpoint.address}:${endpoint.port}`))
      response.resume().once('end', () => resolve(performance.now() - startedAt)).once('error', reject)
    }).once('error', reject).end()
  })
}

/** Sends the requests of one block at fixed intervals to the endpoints in turn. */
async function runBlock (endpoints: readonly Endpoint[], agent: Agent, latencies: Histogram): Promise<void> {
  const startedAt = performance.now()
  const pending: Array<Promise<void>> = []
  const count = RATE_PER_SECOND * BLOCK_MS / MS_PER_SECOND
  for (let i = 0; i < count; i++) {
    await sleep(Math.max(0, startedAt + i * MS_PER_SECOND / RATE_PER_SECOND - performance.now()))
    const endpoint = endpoints[i % endpoints.length]
    if (endpoint !== undefined) pending.push(measureLatency(endpoint, agent).then(ms => latencies.recordValue(Math.max(1, Math.round(ms * US_PER_MS)))))
  }
  await Promise.all(pending)
}

/** Measures the paths in alternating blocks, so that a disturbance of the machine affects all of them. */
async function measurePaths (paths: Readonly<Record<PathName, readonly Endpoint[]>>, { blocks, warmUpBlocks }: AddedLatencyOptions): Promise<Readonly<Record<PathName, Histogram>>> {
  const agent = new Agent({ keepAlive: true })
  const createHistograms = (): Record<PathName, Histogram> => {
    const createHistogram = (): Histogram => build({ numberOfSignificantValueDigits: DIGITS })
    return { direct: createHistogram(), design: createHistogram(), baseline: createHistogram() }
  }
  const [warmUp, measured] = [createHistograms(), createHistograms()]
  for (let block = 0; block < warmUpBlocks + blocks; block++) {
    const latencies = block < warmUpBlocks ? warmUp : measured
    for (const name of PATH_NAMES) await runBlock(paths[name], agent, latencies[name])
  }
  agent.destroy()
  return measured
}

function toMeasurements (latencies: Readonly<Record<PathName, Histogram>>): readonly Measurement[] {
  return PERCENTILES.map(percentile => {
    const latencyMs = (name: PathName): number => latencies[name].getValueAtPercentile(percentile) / US_PER_MS
    const addedMs = (name: PathName): number => Number((latencyMs(name) - latencyMs('direct')).toFixed(DIGITS))
    return { scenario: 'unloaded', measure: 'addedLatency', unit: `ms p${percentile}`, design: addedMs('design'), baseline: addedMs('baseline') }
  })
}

/**
 * Measures the difference between the latency percentiles through a proxy and those of a direct connection
 * in the same run, at 200 requests/s with responses of 1 KB. Requires the compiled programs in `dist`.
 *
 * @throws Error when a program does not start or a request fails
 */
export async function * measureAddedLatency (options: AddedLatencyOptions): AsyncGenerator<Measurement> {
  const layout = planFleet(FIRST_NETWORK + process.pid % NETWORKS, { vms: 3, listingTargets: TARGETS, holdsTargets: 6 })
  const fleet = await startFleet(layout, { listing: SERVICE_TIME_MS, holds: SERVICE_TIME_MS })
  const direct = layout.targets.listing
  const baselineProxy = startProgram('naive-proxy', NAIVE_PROGRAM, direct.map(({ address, port }) => `${address}:${port}`))
  try {
    const { address, port } = await baselineProxy.waitFor('proxy.listening') as unknown as Endpoint
    await submitNote(fleet, initialNote(layout))
    await sleep(LEASE_WAIT_MS)
    yield * toMeasurements(await measurePaths({ direct, design: layout.vms.map(vm => vm.callers), baseline: [{ address, port }] }, options))
  } finally {
    baselineProxy.signal('SIGKILL')
    await Promise.all([baselineProxy.ended, fleet.kill()])
  }
}
