/**
 * Outlier detection over the targets of one service, based on the evidence of all VMs.
 *
 * A target is unhealthy if all of these hold: its CUSUM against the rest of the pool reaches the threshold; the CUSUM
 * since its failures began also reaches it against the pool of the same time; Fisher's exact test rules out that so
 * many of the failures are the target's by chance; and neither unhealthy reporters nor broken paths can be the cause.
 */
import type { Preference } from '../model/index.js'
import { computeCusum, incrementsFor, type Increments } from './cusum.js'
import { summarize, type Evidence, type EvidenceSummary, type Sample } from './evidence.js'
import { negLogPValue } from './fisher-exact.js'
import { isPathFailure, mayBePathFailure, healthSignalOf } from './outcome.js'
import { addSample, EMPTY_TALLY, poolRate, poolTally, tallyByClass, type ClassTallies, type Tally } from './failure-rates.js'
import { unhealthyReporters } from './unhealthy-reporters.js'

/** CUSUM at which a target is unhealthy. */
export const THRESHOLDS: Readonly<Record<Preference, number>> = { detection: 10, accuracy: 14 }
/** Fraction of the threshold that the CUSUM has to reach without the samples of any single reporter. */
const CONFIRMATION_FRACTION = 0.75
/**
 * Good outcomes of the other targets that a comparison needs. At the start of an outage there are only a few, of
 * requests sent before it. The number is not proportional to the target's failures, because a target that fails fast
 * attracts a large part of the requests.
 */
const MIN_POOL_SUCCESSES = 5
/** Fraction of the threshold for the exact test: its tests overlap, so the correction for their number is too strict. */
const EXACT_TEST_FRACTION = 0.9
/** A reporter is healthy if its good outcomes at other targets exceed this multiple of the bad ones. */
const HEALTHY_REPORTER_FACTOR = 2
/** Fraction of the threshold that applies in slow start, because the recent ejection makes a fault likelier. */
const SLOW_START_FRACTION = 0.5
/** Lower bound of the pool's assumed failure rate; lower rates are not distinguished. */
const MIN_POOL_RATE = 0.03
/** Factor on the observed pool rate, which is uncertain; a target has to fail clearly more often. */
const POOL_RATE_FACTOR = 2
/** When the rest of the pool fails at this rate or above, the service fails as a whole and no target is ejected. */
export const SERVICE_WIDE_RATE = 0.25

/** Result of outlier detection for one target. Some members are copied into the explanation for operators. */
export interface Verdict {
  readonly target: string
  readonly unhealthy: boolean
  /** Whether the failures suffice against a pool that hardly fails. Only then can good outcomes change the verdict. */
  readonly suspected: boolean
  /** Whether the target is unhealthy and most of its outcomes are path failures. */
  readonly unreachable: boolean
  /** CUSUM over the evidence window. */
  readonly sum: number
  readonly threshold: number
  /** When the failures began, in ms on the coordinator's clock. */
  readonly since: number | undefined
  /** Failure rate of the rest of the pool, in the class in which it is highest. */
  readonly poolRate: number
  /** Counts on which an unhealthy verdict is based; empty otherwise. */
  readonly evidence: EvidenceSummary
  /** VMs whose reports were excluded because the VMs themselves are unhealthy. */
  readonly excludedReporters: readonly string[]
}

/** Detects unhealthy targets of one service. */
export interface OutlierDetector {
  /**
   * Returns a verdict for each target.
   *
   * @param targets targets to compare, without those that are ejected or draining
   * @param returning those of them that are in slow start after an ejection
   * @param now in ms
   */
  readonly evaluate: (evidence: Evidence, targets: readonly string[], returning: ReadonlySet<string>, now: number) => ReadonlyMap<string, Verdict>
}

type SamplesByTarget = ReadonlyMap<string, readonly Sample[]>
/** Tally of a pool by class. */
type PoolTallies = (className: string) => Tally
/** Failure rate of a pool by class. */
type PoolRates = (className: string) => number

function tallyOthers (target: string, tallies: ReadonlyMap<string, ClassTallies>): PoolTallies {
  const others = [...tallies].flatMap(([other, byClass]) => other === target ? [] : byClass)
  const known = new Map<string, Tally>()
  return className => {
    const tally = known.get(className) ?? poolTally(others.flatMap(other => other.get(className) ?? []))
    known.set(className, tally)
    return tally
  }
}

const ratesOf = (pool: PoolTallies): PoolRates => className => poolRate(pool(className))

/** Increments against the highest of several rates. */
function incrementsAgainst (rates: readonly PoolRates[]): (className: string) => Increments {
  const known = new Map<string, Increments>()
  return className => {
    const increments = known.get(className) ?? incrementsAgainstRate(Math.max(...rates.map(rate => rate(className))))
    known.set(className, increments)
    return increments
  }
}

function incrementsAgainstRate (rate: number): Increments {
  return rate >= SERVICE_WIDE_RATE
    ? { good: 0, bad: 0 }
    : incrementsFor(Math.max(MIN_POOL_RATE, POOL_RATE_FACTOR * rate))
}

/** Highest CUSUM of all classes together and of each class alone, because a single class may fail among many others. */
function highestCusum (samples: readonly Sample[], incrementsOf: (className: string) => Increments): ReturnType<typeof computeCusum> {
  const classes = new Set(samples.map(sample => sample.class))
  const overall = computeCusum(samples, incrementsOf)
  if (classes.size < 2) return overall
  const byClass = [...classes].map(name => computeCusum(samples.filter(sample => sample.class === name), incrementsOf))
  return byClass.reduce((highest, next) => next.sum > highest.sum ? next : highest, overall)
}

/** Reporters whose requests to other targets succeed, so that the failures are not their own fault. */
function healthyReporters (elsewhere: readonly Sample[]): ReadonlySet<string> {
  const tallies = new Map<string, Tally>()
  for (const sample of elsewhere) tallies.set(sample.reporter, addSample(tallies.get(sample.reporter), sample))
  return new Set([...tallies].flatMap(([reporter, { good, bad }]) => good > HEALTHY_REPORTER_FACTOR * bad ? [reporter] : []))
}

/**
 * Whether the target, and not a reporter or a path, is the cause of the failures. A failed response or a reset that a
 * healthy reporter received from the target proves that. Otherwise the path may be broken, for example by a one-way
 * cut between one VM and the target; then the failures have to suffice without those of any single reporter.
 */
function isConfirmed (samples: readonly Sample[], elsewhere: readonly Sample[], incrementsOf: (className: string) => Increments, threshold: number): boolean {
  const healthy = healthyReporters(elsewhere)
  const conclusive = samples.filter(({ outcome, reporter }) =>
    healthSignalOf(outcome) !== 'bad' || (healthy.has(reporter) && !mayBePathFailure(outcome)))
  if (highestCusum(conclusive, incrementsOf).sum >= threshold) return true
  return [...new Set(samples.map(({ reporter }) => reporter))].every(reporter =>
    highestCusum(samples.filter(sample => sample.reporter !== reporter), incrementsOf).sum >= threshold * CONFIRMATION_FRACTION)
}

/** Whether the other targets have enough good outcomes in the same time for a comparison. */
function hasComparablePool (own: readonly Sample[], elsewhere: readonly Sample[]): boolean {
  return elsewhere.reduce(addSample, EMPTY_TALLY).good >= Math.min(MIN_POOL_SUCCESSES, own.reduce(addSample, EMPTY_TALLY).bad)
}

/**
 * Difference by which the sum of `count` independent -ln p-values has to exceed a single one to be as unlikely
 * (Fisher's method).
 */
function logExcess (sum: number, count: number): number {
  let term = 1
  let total = 1
  for (let i = 1; i < count; i++) total += term *= sum / i
  return Math.log(total)
}

/**
 * Whether the recent failures may be due to chance. A run of failures is tested once for each failure that it may
 * begin with and each that it may end with, so the p-value that rules out chance is divided by both numbers (Bonferroni
 * correction). A class that no other target served is compared with all classes of the others.
 */
function isDueToChance (own: ClassTallies, elsewhere: readonly Sample[], recentPool: PoolTallies, windowPool: PoolTallies, threshold: number): boolean {
  const failing = [...own].filter(([, { bad }]) => bad > 0)
  const comparedWith = (className: string): Tally => {
    const { good, bad } = recentPool(className)
    return good + bad > 0 ? { good, bad } : elsewhere.reduce(addSample, EMPTY_TALLY)
  }
  const logPValues = failing.map(([className, tally]) => negLogPValue(tally, comparedWith(className)))
  const sum = logPValues.reduce((total, value) => total + value, 0)
  const highest = Math.max(...logPValues, sum - logExcess(sum, logPValues.length))
  const ends = failing.reduce((total, [, { bad }]) => total + bad, 0)
  const begins = failing.reduce((total, [className]) => total + windowPool(className).bad, 1)
  return highest < threshold * EXACT_TEST_FRACTION + Math.log(begins) + Math.log(ends)
}

function isMostlyPathFailures (samples: readonly Sample[]): boolean {
  let path = 0
  let all = 0
  for (const { outcome, count } of samples) {
    if (isPathFailure(outcome)) path += count
    if (outcome !== 'shed' && outcome !== 'misdirected' && outcome !== 'cancelled') all += count
  }
  return path * 2 > all
}

interface Comparison {
  readonly samples: SamplesByTarget
  readonly tallies: ReadonlyMap<string, ClassTallies>
}

/** Increments against a pool that hardly fails, which give the highest CUSUM. */
const MAX_INCREMENTS = incrementsFor(MIN_POOL_RATE)

interface Evaluation extends Pick<Verdict, 'unhealthy' | 'suspected' | 'unreachable' | 'sum' | 'since' | 'poolRate'> {}

const HEALTHY: Evaluation = { unhealthy: false, suspected: false, unreachable: false, sum: 0, since: undefined, poolRate: 0 }

const hasFailures = (samples: readonly Sample[]): boolean => samples.some(({ outcome }) => healthSignalOf(outcome) === 'bad')

function compareWithPool (target: string, threshold: number, { samples: all, tallies }: Comparison): Evaluation {
  const samples = all.get(target) ?? []
  const windowPool = tallyOthers(target, tallies)
  const rates = ratesOf(windowPool)
  const { sum, since } = highestCusum(samples, incrementsAgainst([rates]))
  const evaluation = { ...HEALTHY, suspected: true, sum, since, poolRate: Math.max(0, ...[...tallies.get(target)?.keys() ?? []].map(rates)) }
  if (sum < threshold || since === undefined) return evaluation
  // At the start of a service-wide failure, the rates of the whole window are still those of a healthy pool.
  const recent = new Map([...all].map(([id, list]) => [id, list.filter(sample => sample.at >= since)]))
  const recentTallies = new Map([...recent].map(([id, list]) => [id, tallyByClass(list)]))
  const recentPool = tallyOthers(target, recentTallies)
  const incrementsOf = incrementsAgainst([rates, ratesOf(recentPool)])
  const own = recent.get(target) ?? []
  const elsewhere = [...recent].flatMap(([id, list]) => id === target ? [] : list)
  const unhealthy = highestCusum(own, incrementsOf).sum >= threshold && hasComparablePool(own, elsewhere) &&
    !isDueToChance(recentTallies.get(target) ?? new Map(), elsewhere, recentPool, windowPool, threshold) && isConfirmed(own, elsewhere, incrementsOf, threshold)
  return { ...evaluation, unhealthy, unreachable: unhealthy && isMostlyPathFailures(own) }
}

/** Excludes the samples of unhealthy reporters and tallies the rest. */
function prepareComparison (all: SamplesByTarget): Comparison & { readonly excluded: readonly string[] } {
  const excluded = unhealthyReporters(all)
  const samples = excluded.size === 0
    ? all
    : new Map([...all].map(([target, list]) => [target, list.filter(({ reporter }) => !excluded.has(reporter))]))
  return { samples, tallies: new Map([...samples].map(([target, list]) => [target, tallyByClass(list)])), excluded: [...excluded] }
}

/**
 * Creates the outlier detector of a service.
 *
 * @example
 * const detector = createOutlierDetector('detection')
 * detector.evaluate(evidence, ['t1', 't2', 't3'], new Set(), now).get('t1')?.unhealthy
 */
export function createOutlierDetector (preference: Preference): OutlierDetector {
  const thresholdOf = (isReturning: boolean): number => THRESHOLDS[preference] * (isReturning ? SLOW_START_FRACTION : 1)
  return {
    evaluate: (evidence, targets, returning, now) => {
      const all = new Map(targets.map(target => [target, evidence.samples(target, now)]))
      let prepared: ReturnType<typeof prepareComparison> | undefined
      return new Map(targets.map(target => {
        const threshold = thresholdOf(returning.has(target))
        // Most targets do not reach the threshold even against a pool that hardly fails, for which the CUSUM is
        // highest; they need no comparison.
        const samples = all.get(target) ?? []
        const highest = hasFailures(samples) ? highestCusum(samples, () => MAX_INCREMENTS) : { sum: 0, since: undefined }
        if (highest.sum < threshold) return [target, { ...HEALTHY, ...highest, target, threshold, evidence: {}, excludedReporters: [] }]
        prepared ??= prepareComparison(all)
        const evaluation = compareWithPool(target, threshold, prepared)
        const summary = evaluation.unhealthy ? summarize(samples) : {}
        return [target, { ...evaluation, target, threshold, evidence: summary, excludedReporters: prepared.excluded }]
      }))
    }
  }
}
