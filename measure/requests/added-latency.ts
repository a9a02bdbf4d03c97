/**
 * Latency that a proxy adds to a request, in an unloaded run. Callers, VMs and
 * targets are separate processes. The figures need a quiet machine.
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
  /** Blocks of each path; a block lasts 1 s. */
  readonly blocks: number
  /**
   * Blocks before those. Requests are slower while connections are opened and code is compiled; a VM
   * needs a few thousand requests until its processor time for each of them no longer falls.
   */
  readonly warmUpBlocks: number
}

const RATE_PER_SECOND = 200
const BLOCK_MS = 1000
const MS_PER_SECOND = 1000
const BODY_BYTES = 1024
const SERVICE_TIME_MS = 1
const TARGETS = 30
/** Coordinators need a lease, which a VM that just started grants only after 2 s. */
const SETTLE_MS = 3000
const US_PER_MS = 1000
const DIGITS = 3
const FIRST_NETWORK = 1
const NETWORKS = 60
const NAIVE_PROGRAM = 'dist/measure/requests/naive-main.js'
const PERCENTILES = [50, 99] as const

type PathName = 'direct' | 'design' | 'baseline'
const PATH_NAMES: readonly PathName[] = ['direct', 'design', 'baseline']

/** Time from sending to the end of the answer, in ms. */
function time (to: Endpoint, agent: Agent): Promise<number> {
  return new Promise((resolve, reject) => {
    const startedAt = performance.now()
    const headers = { [TOKEN_HEADER]: 'latency', [RESPONSE_BYTES_HEADER]: BODY_BYTES }
    httpRequest({ host: to.address, port: to.port, path: '/listing/7', agent, headers }, response => {
      if (response.statusCode !== 200) return reject(new Error(`status ${response.statusCode} from ${to.address}:${to.port}`))
      response.resume().once('end', () => resolve(performance.now() - startedAt)).once('error', reject)
    }).once('error', reject).end()
  })
}

/** Sends requests at fixed times for one block, in turn to the endpoints. */
async function runBlock (endpoints: readonly Endpoint[], agent: Agent, latencies: Histogram): Promise<void> {
  const startedAt = performance.now()
  const running: Array<Promise<void>> = []
  const count = RATE_PER_SECOND * BLOCK_MS / MS_PER_SECOND
  for (let i = 0; i < count; i++) {
    await sleep(Math.max(0, startedAt + i * MS_PER_SECOND / RATE_PER_SECOND - performance.now()))
    const to = endpoints[i % endpoints.length]
    if (to !== undefined) running.push(time(to, agent).then(ms => latencies.recordValue(Math.max(1, Math.round(ms * US_PER_MS)))))
  }
  await Promise.all(running)
}

/** Latencies of all paths, in turn, so that a disturbance of the machine hits all of them. */
async function timePaths (paths: Readonly<Record<PathName, readonly Endpoint[]>>, { blocks, warmUpBlocks }: AddedLatencyOptions): Promise<Readonly<Record<PathName, Histogram>>> {
  const agent = new Agent({ keepAlive: true })
  const create = (): Record<PathName, Histogram> => {
    const empty = (): Histogram => build({ numberOfSignificantValueDigits: DIGITS })
    return { direct: empty(), design: empty(), baseline: empty() }
  }
  const [warmUp, measured] = [create(), create()]
  for (let block = 0; block < warmUpBlocks + blocks; block++) {
    const latencies = block < warmUpBlocks ? warmUp : measured
    for (const name of PATH_NAMES) await runBlock(paths[name], agent, latencies[name])
  }
  agent.destroy()
  return measured
}

function linesOf (latencies: Readonly<Record<PathName, Histogram>>): readonly Measurement[] {
  return PERCENTILES.map(percentile => {
    const at = (name: PathName): number => latencies[name].getValueAtPercentile(percentile) / US_PER_MS
    const added = (name: PathName): number => Number((at(name) - at('direct')).toFixed(DIGITS))
    return { scenario: 'unloaded', measure: 'addedLatency', unit: `ms p${percentile}`, design: added('design'), baseline: added('baseline') }
  })
}

/**
 * Measures the difference between the percentiles through a proxy and those of a direct connection
 * in the same run, at 200 requests/s with answers of 1 KB. The compiled programs have to exist.
 *
 * @throws Error when a program does not start or a request fails
 */
export async function * measureAddedLatency (options: AddedLatencyOptions): AsyncGenerator<Measurement> {
  const layout = planFleet(FIRST_NETWORK + process.pid % NETWORKS, { vms: 3, listingTargets: TARGETS, holdsTargets: 6 })
  const fleet = await startFleet(layout, { listing: SERVICE_TIME_MS, holds: SERVICE_TIME_MS })
  const direct = layout.targets.listing
  const naive = startProgram('naive-proxy', NAIVE_PROGRAM, direct.map(({ address, port }) => `${address}:${port}`))
  try {
    const { address, port } = await naive.waitFor('proxy.listening') as unknown as Endpoint
    await submitNote(fleet, initialNote(layout))
    await sleep(SETTLE_MS)
    yield * linesOf(await timePaths({ direct, design: layout.vms.map(vm => vm.callers), baseline: [{ address, port }] }, options))
  } finally {
    naive.signal('SIGKILL')
    await Promise.all([naive.ended, fleet.kill()])
  }
}
