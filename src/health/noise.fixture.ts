/**
 * Simulates a pool whose failure rate rises. The outlier detector with the evidence of all VMs, and as the
 * baseline a circuit breaker at each VM that opens after consecutive failures, observe the same responses.
 */
import { createRandom, type Random } from '../../measure/random.js'
import type { Preference } from '../model/index.js'
import { createEvidence, createOutlierDetector, type Count } from './index.js'

/** A pool and its load, as in `measure/detection/scenario.ts`. */
export interface NoisyPool {
  readonly targets: number
  /** VMs that report to one coordinator. The baseline has `BASELINE_VMS` VMs. */
  readonly reporters: number
  readonly ratePerSecond: number
  readonly preference: Preference
}

/** Failure rates of the pool. The rise and the fault begin at time 0. */
export interface Noise {
  /** Failure rate of a healthy target before and after the rise. */
  readonly from: number
  readonly to: number
  readonly riseMs: number
  /** Failure rate of the first target from time 0 on; undefined if it is healthy. */
  readonly gray?: number
}

/** Result of one run. */
export interface NoiseResult {
  /** Ejections of healthy targets by the outlier detector. */
  readonly falseEjections: number
  /** Ejections of healthy targets by the baseline; an ejection at one VM counts as `1 / BASELINE_VMS`. */
  readonly baselineFalseEjections: number
  /** Time until the outlier detector ejected the first target; the horizon if it did not. */
  readonly detectionMs: number
  /** Time until the first target was ejected at 90 % of the VMs of the baseline; the horizon if it was not. */
  readonly baselineDetectionMs: number
}

export const HORIZON_MS = 20_000
const BASELINE_VMS = 48
/** Consecutive failures after which a circuit breaker of the baseline opens. */
const BASELINE_FAILURES = 5
const BASELINE_HOLD_MS = 10_000
const BASELINE_DETECTED_FRACTION = 0.9
const WARM_UP_MS = 10_000
/** Interval between evidence reports, and so between verdicts. */
const STEP_MS = 100
/** Time for which a healthy target stays ejected. */
const EJECTION_MS = 5_000
const START_MS = 100_000
const CLASS = 'work'

/** Failure detection under test. */
interface Detection {
  readonly add: (vm: number, target: number, isBad: boolean) => void
  /** Evaluates the outcomes since the last step. */
  readonly step: (now: number) => void
  readonly falseEjections: () => number
  readonly detectedAt: () => number | undefined
}

function createSharedDetection ({ targets, reporters, preference }: NoisyPool, isGray: (target: number) => boolean): Detection {
  const evidence = createEvidence()
  const detector = createOutlierDetector(preference)
  const ejectedUntil = new Map<string, number>()
  let counts = new Map<string, { readonly reporter: string, readonly count: Count }>()
  let falseEjections = 0
  let detectedAt: number | undefined
  const idOf = (target: number): string => `t${target}`
  return {
    add: (vm, target, isBad) => {
      const reporter = `vm-${vm % reporters}`
      const outcome = isBad ? 'failed' : 'answered'
      const key = `${reporter} ${target} ${outcome}`
      const count = (counts.get(key)?.count.count ?? 0) + 1
      counts.set(key, { reporter, count: { target: idOf(target), class: CLASS, outcome, count } })
    },
    step: now => {
      let hasFailures = false
      for (const { reporter, count } of counts.values()) {
        if (now < (ejectedUntil.get(count.target) ?? 0)) continue
        evidence.add(reporter, [count], now)
        hasFailures ||= count.outcome === 'failed'
      }
      counts = new Map()
      if (!hasFailures) return
      const ids = Array.from({ length: targets }, (_, i) => idOf(i))
      const compared = ids.filter(id => now >= (ejectedUntil.get(id) ?? 0))
      for (const { target, unhealthy } of detector.evaluate(evidence, compared, new Set(), now).values()) {
        if (!unhealthy) continue
        evidence.removeTarget(target)
        if (isGray(ids.indexOf(target))) {
          detectedAt ??= now
          ejectedUntil.set(target, Infinity)
        } else {
          falseEjections += 1
          ejectedUntil.set(target, now + EJECTION_MS)
        }
      }
    },
    falseEjections: () => falseEjections,
    detectedAt: () => detectedAt
  }
}

function createBaselineDetection ({ targets }: NoisyPool, isGray: (target: number) => boolean): Detection {
  const breakers = Array.from({ length: targets * BASELINE_VMS }, () => ({ failures: 0, times: 0, until: -Infinity }))
  let now = 0
  let falseEjections = 0
  let detectedAt: number | undefined
  return {
    add: (vm, target, isBad) => {
      const breaker = breakers[target * BASELINE_VMS + vm]
      if (breaker === undefined || now < breaker.until) return
      breaker.failures = isBad ? breaker.failures + 1 : 0
      if (breaker.failures < BASELINE_FAILURES) return
      breaker.failures = 0
      breaker.until = now + BASELINE_HOLD_MS * 2 ** breaker.times
      breaker.times += 1
      if (!isGray(target)) falseEjections += 1 / BASELINE_VMS
    },
    step: time => {
      now = time
      const out = breakers.slice(0, BASELINE_VMS).filter(({ until }) => now < until).length
      if (isGray(0) && out >= BASELINE_VMS * BASELINE_DETECTED_FRACTION) detectedAt ??= now
    },
    falseEjections: () => falseEjections,
    detectedAt: () => detectedAt
  }
}

const rateAt = ({ from, to, riseMs }: Noise, now: number): number =>
  now < 0 ? from : now >= riseMs ? to : from + (to - from) * now / riseMs

/** Number of responses in one step, constant on average. Each is of a random target to a random VM. */
function responsesPerStep (pool: NoisyPool, random: Random): number {
  const expected = pool.ratePerSecond * STEP_MS / 1_000
  return Math.floor(expected) + (random() < expected % 1 ? 1 : 0)
}

/**
 * Simulates a pool while its failure rate rises.
 *
 * @example
 * runNoise({ targets: 6, reporters: 6, ratePerSecond: 60, preference: 'detection' }, { from: 0.005, to: 0.04, riseMs: 2_000 }, 1)
 */
export function runNoise (pool: NoisyPool, noise: Noise, seed: number): NoiseResult {
  const random = createRandom(seed)
  const isGray = (target: number): boolean => noise.gray !== undefined && target === 0
  const shared = createSharedDetection(pool, isGray)
  const baseline = createBaselineDetection(pool, isGray)
  for (let now = -WARM_UP_MS; now < HORIZON_MS; now += STEP_MS) {
    for (let left = responsesPerStep(pool, random); left > 0; left--) {
      const vm = Math.floor(random() * BASELINE_VMS)
      const target = Math.floor(random() * pool.targets)
      const isBad = random() < (isGray(target) && now >= 0 ? noise.gray ?? 0 : rateAt(noise, now))
      shared.add(vm, target, isBad)
      baseline.add(vm, target, isBad)
    }
    shared.step(START_MS + now + STEP_MS)
    baseline.step(START_MS + now + STEP_MS)
  }
  const timeOf = (detectedAt: number | undefined): number => detectedAt === undefined ? HORIZON_MS : detectedAt - START_MS
  return {
    falseEjections: shared.falseEjections(),
    baselineFalseEjections: baseline.falseEjections(),
    detectionMs: timeOf(shared.detectedAt()),
    baselineDetectionMs: timeOf(baseline.detectedAt())
  }
}
