/** Compares the outlier detector with circuit breakers that do not share evidence (the baseline), at rising failure rates and with gray targets. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { HORIZON_MS, runNoise, type Noise, type NoisyPool } from './noise.fixture.js'

const noisy = suite('noise')
/** Detection has to be at least this many times faster than with the baseline. */
const MIN_SPEEDUP = 5

const holds: NoisyPool = { targets: 6, reporters: 6, ratePerSecond: 60, preference: 'detection' }
const certification: NoisyPool = { targets: 8, reporters: 4, ratePerSecond: 60, preference: 'accuracy' }
const listing: NoisyPool = { targets: 30, reporters: 8, ratePerSecond: 600, preference: 'detection' }

interface HealthyCase {
  readonly pool: NoisyPool
  readonly noise: Noise
  readonly seed: number
  readonly runs: number
}

const step: Noise = { from: 0.005, to: 0.04, riseMs: 0 }
const rise: Noise = { from: 0.005, to: 0.04, riseMs: 2_000 }
const steep: Noise = { from: 0.005, to: 0.1, riseMs: 2_000 }
const steepest: Noise = { from: 0.005, to: 0.2, riseMs: 2_000 }

/** Single runs have seeds with which a detector without the exact test ejects a healthy target. */
const healthy: readonly HealthyCase[] = [
  { pool: holds, noise: rise, seed: 1, runs: 80 },
  { pool: holds, noise: steep, seed: 1, runs: 80 },
  { pool: holds, noise: steep, seed: 249, runs: 1 },
  ...[56, 109, 219, 244].map(seed => ({ pool: holds, noise: steepest, seed, runs: 1 })),
  { pool: certification, noise: rise, seed: 1, runs: 80 },
  { pool: certification, noise: steep, seed: 1, runs: 80 },
  { pool: listing, noise: rise, seed: 1, runs: 8 },
  ...[109, 144, 238].map(seed => ({ pool: listing, noise: step, seed, runs: 1 }))
]

for (const { pool, noise, seed, runs } of healthy) {
  // Guards against ejections of healthy targets because the pool's failure rate is underestimated.
  noisy(`${pool.targets} targets, failure rate up to ${100 * noise.to} % within ${noise.riseMs} ms, ${runs} runs from seed ${seed}`, () => {
    const results = Array.from({ length: runs }, (_, i) => runNoise(pool, noise, seed + i))
    const sum = results.reduce((total, { falseEjections }) => total + falseEjections, 0)
    const baseline = results.reduce((total, { baselineFalseEjections }) => total + baselineFalseEjections, 0)
    assert.ok(sum <= baseline, `${sum} false ejections, ${baseline} of the baseline`)
  })
}

interface GrayCase {
  readonly pool: NoisyPool
  readonly gray: number
  readonly noise: number
}

const RUNS = 5

// There is no bound for targets that fail 20 %: the detector looks for targets that fail half of the time.
const grayCases: readonly GrayCase[] = [holds, certification, listing].flatMap(pool =>
  [0.005, 0.04].flatMap(noise => [0.5, 1].map(gray => ({ pool, gray, noise }))))

for (const { pool, gray, noise } of grayCases) {
  // Guards against a detector that avoids false ejections by slow detection.
  noisy(`${pool.targets} targets, one fails ${100 * gray} % and the others ${100 * noise} % (seeds 1 to ${RUNS})`, () => {
    const results = Array.from({ length: RUNS }, (_, i) => runNoise(pool, { from: noise, to: noise, riseMs: 0, gray }, 1 + i))
    const times = results.map(({ detectionMs }) => detectionMs).toSorted((a, b) => a - b)
    const baseline = results.map(({ baselineDetectionMs }) => baselineDetectionMs).toSorted((a, b) => a - b)
    const middle = Math.floor(RUNS / 2)
    const median = times[middle] ?? HORIZON_MS
    assert.ok(median * MIN_SPEEDUP <= (baseline[middle] ?? 0), `after ${median} ms, baseline after ${baseline[middle]} ms`)
    assert.is(results.reduce((sum, { falseEjections }) => sum + falseEjections, 0), 0)
  })
}

noisy.run()
