/**
 * Measures the cost of claims: writes to the platform and added latency, compared with a baseline that
 * writes each claim and each response in a transaction of its own.
 */
import { Effect, Fiber } from 'effect'
import { build } from 'hdr-histogram-js'
import { createClaims, type DrainableClaims } from '../src/claims/index.js'
import type { Claim, ClaimRequest, ClaimResult, Platform } from '../src/model/index.js'
import { createPlatform } from '../src/platform/index.js'
import { createPlatformStandIn, type Faults, type Stats } from '../stand-ins/platform/index.js'
import type { Measurement } from './measurement.js'
import { createRandom, exponential } from './random.js'

/** Options of {@link measureClaims}. */
export interface ClaimMeasureOptions {
  /** Duration of each run in s. Default: 5. */
  readonly seconds?: number
  /** Seed of the arrival times. Default: 1. */
  readonly seed?: number
  /** Faults of the platform. Default: none. */
  readonly faults?: Partial<Faults>
}

const DEFAULT_SECONDS = 5
const REQUESTS_PER_S = 200
const MS_PER_S = 1000
/** Time that a target takes for a request; a probe of a target takes as long. */
const SERVICE_TIME_MS = 25
const DEADLINE_MS = 5000
const LATENCY_DIGITS = 3
const MICROS_PER_MS = 1000
const SCENARIOS = [
  { scenario: 'claims-1-vm', vms: 1 },
  // The subset of a service with 24 slots.
  { scenario: 'claims-6-vms', vms: 6 }
] as const

/** Claims under measurement; `drain` waits for the recording of the last responses and ends the background work. */
type MeasuredClaims = Pick<DrainableClaims, 'claim' | 'finish' | 'drain'>
type CreateClaims = (platform: Platform, vm: string, vms: number) => MeasuredClaims

const log = { info: () => {}, warn: () => {}, error: () => {} }
const design: CreateClaims = (platform, vm, vms) => createClaims({ platform, log, vm, writers: () => vms })

/** Writes each claim and each response in a transaction of its own. */
const baseline: CreateClaims = (platform, vm) => {
  let nextNonce = 0
  const recordings: Array<Fiber.Fiber<void>> = []
  return {
    claim: ({ service, idempotencyKey, fingerprint }: ClaimRequest) => {
      const claim: Claim = { key: `claim/${service}/${idempotencyKey}`, nonce: `${vm}/${nextNonce++}`, fingerprint }
      const claimed: ClaimResult = { kind: 'claimed', claim }
      return platform.transact([{ key: claim.key, value: JSON.stringify(claim), expect: 'absent' }]).pipe(Effect.as(claimed), Effect.orDie)
    },
    finish: (claim, { status }) => {
      recordings.push(Effect.runFork(platform.transact([{ key: claim.key, value: JSON.stringify({ ...claim, status }), expect: 'any' }]).pipe(Effect.ignore)))
    },
    drain: () => Effect.forEach(recordings, Fiber.await, { discard: true })
  }
}

/** Arrival time of a request, in ms, and the index of the VM that its caller chose. */
interface Arrival {
  readonly at: number
  readonly vm: number
}

/** Draws arrivals with exponential gaps at VMs that callers choose independently. */
function drawArrivals (vms: number, seconds: number, seed: number): readonly Arrival[] {
  const random = createRandom(seed)
  const arrivals: Arrival[] = []
  for (let at = 0; at < seconds * MS_PER_S;) {
    arrivals.push({ at, vm: Math.floor(random() * vms) })
    at += exponential(random, REQUESTS_PER_S)
  }
  return arrivals
}

interface Run {
  readonly stats: Stats
  readonly p50Ms: number
  readonly p99Ms: number
}

/** Replays the arrivals and returns the statistics of the platform and the latencies of the claims. */
async function run (create: CreateClaims, vms: number, { seconds = DEFAULT_SECONDS, seed = 1, faults = {} }: ClaimMeasureOptions): Promise<Run> {
  const standIn = await createPlatformStandIn()
  standIn.setFaults(faults)
  const clients = Array.from({ length: vms }, () => createPlatform(standIn))
  const claimsByVM = clients.map((client, i) => create(client, `entry-${i}`, vms))
  const latencies = build({ numberOfSignificantValueDigits: LATENCY_DIGITS })
  const startedAt = performance.now()
  const request = ({ at, vm }: Arrival, i: number): Effect.Effect<void> => Effect.gen(function * () {
    yield * Effect.sleep(Math.max(0, startedAt + at - performance.now()))
    const claims = claimsByVM[vm]!
    const now = performance.now()
    const claimRequest = { service: 'holds', idempotencyKey: `k-${i}`, fingerprint: 'f', deadlineAt: now + DEADLINE_MS }
    const result = yield * claims.claim(claimRequest, now).pipe(Effect.orDie)
    latencies.recordValue((performance.now() - now) * MICROS_PER_MS)
    yield * Effect.sleep(SERVICE_TIME_MS)
    if (result.kind === 'claimed') claims.finish(result.claim, { status: 201, headers: {}, body: Buffer.alloc(200) })
  })
  const requests = drawArrivals(vms, seconds, seed).map(request)
  const drain = Effect.forEach(claimsByVM, claims => claims.drain(), { concurrency: 'unbounded', discard: true })
  const close = Effect.promise(async () => {
    for (const client of clients) client.close()
    await standIn.close()
  })
  await Effect.runPromise(Effect.all(requests, { concurrency: 'unbounded', discard: true }).pipe(Effect.ensuring(drain), Effect.ensuring(close)))
  const percentile = (rank: number): number => latencies.getValueAtPercentile(rank) / MICROS_PER_MS
  return { stats: standIn.stats(), p50Ms: percentile(50), p99Ms: percentile(99) }
}

const round = (value: number): number => Number(value.toFixed(2))

/**
 * Measures claims at 200 non-idempotent requests per second against the platform stand-in.
 *
 * @example
 * for await (const line of measureClaims({ seconds: 2 })) console.log(JSON.stringify(line))
 */
export async function * measureClaims (options: ClaimMeasureOptions = {}): AsyncGenerator<Measurement> {
  const { seconds = DEFAULT_SECONDS } = options
  for (const { scenario, vms } of SCENARIOS) {
    const [designRun, baselineRun] = [await run(design, vms, options), await run(baseline, vms, options)]
    const line = (measure: string, unit: string, select: (run: Run) => number): Measurement =>
      ({ scenario, measure, unit, design: round(select(designRun)), baseline: round(select(baselineRun)) })
    yield line('claimWrites', 'writes/s', ({ stats }) => stats.writes / seconds)
    yield line('claimReads', 'reads/s', ({ stats }) => stats.reads / seconds)
    yield line('claimLatency', 'ms p50', ({ p50Ms }) => p50Ms)
    yield line('claimLatency', 'ms p99', ({ p99Ms }) => p99Ms)
  }
}
