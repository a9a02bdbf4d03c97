/**
 * Measures the control plane cost of a VM and the time until a note is in
 * effect, for fleets of several sizes in one process over loopback. The baseline
 * is a fleet without links, in which each VM polls the platform on its own.
 *
 * @example
 * node --import tsx measure/control.ts          # sizes 6, 12, 24 and 48
 * node --import tsx measure/control.ts --quick  # sizes 6 and 24, shorter
 * node --import tsx measure/control.ts --sizes 48,96,192 --design
 *                                               # other sizes, without the baseline
 */
import { parseArgs } from 'node:util'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { pathToFileURL } from 'node:url'
import { build } from 'hdr-histogram-js'
import { startFleet, type MeasuredFleet } from './control-fleet.js'
import type { Measurement } from './measurement.js'

interface Plan {
  /** Sizes of the fleets, in VMs. */
  readonly sizes: readonly number[]
  /** Time between the start of a fleet and the measurement. */
  readonly settleMs: number
  readonly windowMs: number
  readonly notes: number
  readonly noteIntervalMs: number
  /** Time for the slowest VM of the baseline to read the last note. */
  readonly lastNoteMs: number
  /** Time for closed connections to release their memory. */
  readonly releaseMs: number
}

const FULL: Plan = { sizes: [6, 12, 24, 48], settleMs: 4000, windowMs: 6000, notes: 30, noteIntervalMs: 100, lastNoteMs: 1500, releaseMs: 700 }
const QUICK: Plan = { sizes: [6, 24], settleMs: 700, windowMs: 400, notes: 5, noteIntervalMs: 60, lastNoteMs: 700, releaseMs: 300 }

/** Larger fleets need more time until all links are open and each VM is reported by two peers only. */
const LARGE_FLEET = 32
const LARGE_SETTLE_MS = 20_000

/** Size of the warm-up fleet. Its values are discarded, so that loading and compiling code count for no size. */
const WARM_UP_SIZE = 4

/** Measured values of one fleet, per VM. */
interface Sample {
  readonly sentBytesPerSecond: number
  readonly bytesPerSecond: number
  readonly cpuPercent: number
  readonly memoryKB: number
  readonly noteInForceMs: number
}

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms))

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

function usedBytes (): number {
  collectGarbage()
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}

function bytesOf (fleet: MeasuredFleet): { readonly sent: number, readonly received: number } {
  const totals = fleet.vms.map(({ mesh }) => mesh.traffic())
  return {
    sent: totals.reduce((sum, { bytesSent }) => sum + bytesSent, 0),
    received: totals.reduce((sum, { bytesReceived }) => sum + bytesReceived, 0)
  }
}

async function measureFleet (size: number, hasLinks: boolean, plan: Plan): Promise<Sample> {
  const histogram = build({ numberOfSignificantValueDigits: 2, useWebAssembly: false })
  const before = usedBytes()
  const fleet = await startFleet({ size, hasLinks, onNoteInEffect: afterMs => histogram.recordValue(Math.max(1, Math.round(afterMs * 1000))) })
  await sleep(size > LARGE_FLEET ? LARGE_SETTLE_MS : plan.settleMs)
  const memory = usedBytes() - before
  const start = { bytes: bytesOf(fleet), cpu: process.cpuUsage(), at: performance.now() }
  await sleep(plan.windowMs)
  const cpu = process.cpuUsage(start.cpu)
  const bytes = bytesOf(fleet)
  const seconds = (performance.now() - start.at) / 1000
  for (let i = 0; i < plan.notes; i++) {
    fleet.commit((i * 7) % size)
    await sleep(plan.noteIntervalMs)
  }
  await sleep(plan.lastNoteMs)
  await fleet.stop()
  await sleep(plan.releaseMs)
  const sent = bytes.sent - start.bytes.sent
  const received = bytes.received - start.bytes.received
  return {
    sentBytesPerSecond: sent / size / seconds,
    bytesPerSecond: (sent + received) / size / seconds,
    cpuPercent: (cpu.user + cpu.system) / 1e4 / size / seconds,
    memoryKB: memory / 1024 / size,
    noteInForceMs: histogram.getValueAtPercentile(99) / 1000
  }
}

/** Least-squares slope of values over sizes. */
function slope (sizes: readonly number[], values: readonly number[]): number {
  const mean = (numbers: readonly number[]): number => numbers.reduce((sum, value) => sum + value, 0) / numbers.length
  const meanSize = mean(sizes)
  const meanValue = mean(values)
  const covariance = sizes.reduce((sum, size, index) => sum + (size - meanSize) * ((values[index] ?? 0) - meanValue), 0)
  return covariance / sizes.reduce((sum, size) => sum + (size - meanSize) ** 2, 0)
}

function round (value: number): number {
  return Number(value.toPrecision(3))
}

const measures: ReadonlyArray<readonly [string, string, (sample: Sample) => number]> = [
  ['controlBytesPerSecond', 'B/s sent by each VM', sample => sample.sentBytesPerSecond],
  ['controlBytesBothWaysPerSecond', 'B/s sent and received by each VM', sample => sample.bytesPerSecond],
  ['controlCpuShare', '% of a core for each VM', sample => sample.cpuPercent],
  ['controlMemory', 'KB for each VM', sample => sample.memoryKB],
  ['noteInForce', 'ms, 99th percentile', sample => sample.noteInForceMs]
]

/** Options of {@link measureControl}. */
export interface ControlOptions {
  /** Fewer sizes and shorter runs. Default: false. */
  readonly quick?: boolean
  /** Fleet sizes. Default: the sizes of the plan. */
  readonly sizes?: readonly number[]
  /** Skips the baseline; its values are NaN. Default: false. */
  readonly designOnly?: boolean
}

const NO_SAMPLE: Sample = { sentBytesPerSecond: NaN, bytesPerSecond: NaN, cpuPercent: NaN, memoryKB: NaN, noteInForceMs: NaN }

/** Measures fleets of all sizes and yields one line for each value, then the slopes over the number of VMs. */
export async function * measureControl ({ quick = false, sizes, designOnly = false }: ControlOptions = {}): AsyncGenerator<Measurement> {
  const defaults = quick ? QUICK : FULL
  const plan = { ...defaults, sizes: sizes ?? defaults.sizes }
  const design: Sample[] = []
  const baseline: Sample[] = []
  if (!quick) await measureFleet(WARM_UP_SIZE, true, QUICK)
  for (const size of plan.sizes) {
    const designSample = await measureFleet(size, true, plan)
    const baselineSample = designOnly ? NO_SAMPLE : await measureFleet(size, false, plan)
    design.push(designSample)
    baseline.push(baselineSample)
    for (const [measure, unit, read] of measures) {
      yield { scenario: `${size} VMs`, measure, unit, design: round(read(designSample)), baseline: round(read(baselineSample)) }
    }
  }
  for (const [measure, unit, read] of measures) {
    yield {
      scenario: `slope over ${plan.sizes[0]} to ${plan.sizes.at(-1)} VMs`,
      measure,
      unit: `${unit}, for each further VM`,
      design: round(slope(plan.sizes, design.map(read))),
      baseline: round(slope(plan.sizes, baseline.map(read)))
    }
  }
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? '').href) {
  const { values } = parseArgs({ options: { quick: { type: 'boolean' }, sizes: { type: 'string' }, design: { type: 'boolean' } } })
  const { quick = false, design: designOnly = false, sizes } = values
  const options = { quick, designOnly, ...(sizes === undefined ? {} : { sizes: sizes.split(',').map(Number) }) }
  for await (const line of measureControl(options)) console.log(JSON.stringify(line))
}
