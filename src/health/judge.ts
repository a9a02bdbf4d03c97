/**
 * Judges the targets of one service by the evidence of all VMs together.
 *
 * A target is unhealthy when its CUSUM against the rest of the pool reaches the
 * threshold, when the sum since its failures began does so too against the pool
 * of the same time, when chance does not explain that so many of the failures
 * are its own, and when neither the reporters nor the paths explain it.
 */
import type { Preference } from '../model/index.js'
import { stepsFor, walk, type Steps } from './cusum.js'
import { summarize, type Evidence, type EvidenceSummary, type Sample } from './evidence.js'
import { surprise } from './exact.js'
import { isPathFailure, mayBePath, meaningOf } from './outcome.js'
import { addTo, NO_TALLY, poolRate, poolTally, tallyByClass, type ClassTallies, type Tally } from './rates.js'
import { unhealthyReporters } from './reporters.js'

/** Sum at which a target is unhealthy. */
export const THRESHOLDS: Readonly<Record<Preference, number>> = { detection: 10, accuracy: 14 }
/** The sum without the reporter that saw most failures has to reach this part of the threshold. */
const CONFIRMED_PART = 0.75
/**
 * Good answers of the other targets that a comparison needs. At the start of an
 * outage there are few, from requests sent before it. A target that fails fast
 * draws much of the work, so the number is not in proportion to its failures.
 */
const COMPARED_SUCCESSES = 5
/** Part of the threshold that the exact comparison has to reach; its tests overlap, so their number counts for too much. */
const CHANCE_PART = 0.9
/** A reporter is well elsewhere when it has more good answers than this many times its bad ones. */
const SOUND_FACTOR = 2
/** Part of the threshold that is enough for a target in slow start, whose ejection was for a reason. */
const RETURNING_PART = 0.5
/** Lower bound of the pool's assumed failure rate; rarer failures are not told apart. */
const LEAST_POOL_RATE = 0.03
/** A target has to fail clearly more often than the pool, whose measured rate is uncertain. */
const POOL_RATE_FACTOR = 2
/** From this failure rate of the rest of the pool on, the service fails as a whole and nothing is ejected. */
export const SERVICE_WIDE_RATE = 0.25

/** Result of judging one target. */
export interface Verdict {
  readonly target: string
  readonly unhealthy: boolean
  /** Whether the failures would be enough against a pool that hardly fails; only then can good answers change the verdict. */
  readonly suspected: boolean
  /** Whether most of the failures are path failures, so that the target counts as unreachable. */
  readonly unreachable: boolean
  /** CUSUM over the window. */
  readonly sum: number
  readonly threshold: number
  /** When the failures began, on the coordinator's clock. */
  readonly since: number | undefined
  /** Failure rate of the rest of the pool, the highest of the classes. */
  readonly poolRate: number
  /** Counts by reporter and outcome behind an unhealthy verdict; empty otherwise. */
  readonly evidence: EvidenceSummary
  /** VMs whose reports were left out because they are unhealthy themselves. */
  readonly excludedReporters: readonly string[]
}

/** Judges targets by evidence. */
export interface Judge {
  /**
   * @param targets the targets that take part in the comparison, without those that are ejected or leave
   * @param returning targets among them that have just returned from an ejection
   * @param now in ms
   */
  readonly judge: (evidence: Evidence, targets: readonly string[], returning: ReadonlySet<string>, now: number) => ReadonlyMap<string, Verdict>
}

type SamplesByTarget = ReadonlyMap<string, readonly Sample[]>
type Rest = (className: string) => Tally
type Rates = (className: string) => number

function restOf (target: string, tallies: ReadonlyMap<string, ClassTallies>): Rest {
  const others = [...tallies].flatMap(([other, byClass]) => other === target ? [] : byClass)
  const known = new Map<string, Tally>()
  return className => {
    const tally = known.get(className) ?? poolTally(others.flatMap(other => other.get(className) ?? []))
    known.set(className, tally)
    return tally
  }
}

const ratesOf = (rest: Rest): Rates => className => poolRate(rest(className))

function stepsAgainst (rates: readonly Rates[]): (className: string) => Steps {
  const known = new Map<string, Steps>()
  return className => {
    const steps = known.get(className) ?? stepsAgainstRate(Math.max(...rates.map(rate => rate(className))))
    known.set(className, steps)
    return steps
  }
}

function stepsAgainstRate (rate: number): Steps {
  return rate >= SERVICE_WIDE_RATE
    ? { good: 0, bad: 0 }
    : stepsFor(Math.max(LEAST_POOL_RATE, POOL_RATE_FACTOR * rate))
}

/** Walks each class alone, since one class may fail among many others, and all of them together. */
function highestWalk (samples: readonly Sample[], stepsOf: (className: string) => Steps): ReturnType<typeof walk> {
  const classes = new Set(samples.map(sample => sample.class))
  const together = walk(samples, stepsOf)
  if (classes.size < 2) return together
  const alone = [...classes].map(name => walk(samples.filter(sample => sample.class === name), stepsOf))
  return alone.reduce((best, next) => next.sum > best.sum ? next : best, together)
}

/** Reporters that get good answers from the other targets, so that what fails is not the reporter. */
function soundReporters (elsewhere: readonly Sample[]): ReadonlySet<string> {
  const tallies = new Map<string, Tally>()
  for (const sample of elsewhere) tallies.set(sample.reporter, addTo(tallies.get(sample.reporter), sample))
  return new Set([...tallies].flatMap(([reporter, { good, bad }]) => good > SOUND_FACTOR * bad ? [reporter] : []))
}

/**
 * Whether something else than the target can be the cause. Answers of the
 * target to a VM that is well elsewhere are beyond doubt. Without an answer the
 * path may be broken, as by a one-way cut between one VM and the target; then
 * the failures have to remain when any one reporter is left out.
 */
function isConfirmed (samples: readonly Sample[], elsewhere: readonly Sample[], stepsOf: (className: string) => Steps, threshold: number): boolean {
  const sound = soundReporters(elsewhere)
  const beyondDoubt = samples.filter(({ outcome, reporter }) =>
    meaningOf(outcome) !== 'bad' || (sound.has(reporter) && !mayBePath(outcome)))
  if (highestWalk(beyondDoubt, stepsOf).sum >= threshold) return true
  return [...new Set(samples.map(({ reporter }) => reporter))].every(reporter =>
    highestWalk(samples.filter(sample => sample.reporter !== reporter), stepsOf).sum >= threshold * CONFIRMED_PART)
}

/** Whether the pool of the same time has enough good answers to compare with. */
function isComparable (own: readonly Sample[], elsewhere: readonly Sample[]): boolean {
  return elsewhere.reduce(addTo, NO_TALLY).good >= Math.min(COMPARED_SUCCESSES, own.reduce(addTo, NO_TALLY).bad)
}

/** Logarithm by which a sum of `count` independent surprises has to exceed a single one to be as unlikely. */
function logExcess (sum: number, count: number): number {
  let term = 1
  let total = 1
  for (let i = 1; i < count; i++) total += term *= sum / i
  return Math.log(total)
}

/**
 * Whether chance explains the failures of the last moments. A run of failures
 * is looked at once for each failure that it may begin with and end with, so
 * the probability that counts as chance is divided by these numbers. A class
 * that no other target had is compared with all classes of the others.
 */
function isByChance (own: ClassTallies, elsewhere: readonly Sample[], recent: Rest, window: Rest, threshold: number): boolean {
  const failing = [...own].filter(([, { bad }]) => bad > 0)
  const compared = (className: string): Tally => {
    const { good, bad } = recent(className)
    return good + bad > 0 ? { good, bad } : elsewhere.reduce(addTo, NO_TALLY)
  }
  const surprises = failing.map(([className, tally]) => surprise(tally, compared(className)))
  const sum = surprises.reduce((total, value) => total + value, 0)
  const highest = Math.max(...surprises, sum - logExcess(sum, surprises.length))
  const ends = failing.reduce((total, [, { bad }]) => total + bad, 0)
  const begins = failing.reduce((total, [className]) => total + window(className).bad, 1)
  return highest < threshold * CHANCE_PART + Math.log(begins) + Math.log(ends)
}

function isMostlyPath (samples: readonly Sample[]): boolean {
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

const STRICTEST = stepsFor(LEAST_POOL_RATE)

interface Finding extends Pick<Verdict, 'unhealthy' | 'suspected' | 'unreachable' | 'sum' | 'since' | 'poolRate'> {}

const HEALTHY: Finding = { unhealthy: false, suspected: false, unreachable: false, sum: 0, since: undefined, poolRate: 0 }

const hasFailures = (samples: readonly Sample[]): boolean => samples.some(({ outcome }) => meaningOf(outcome) === 'bad')

function compare (target: string, threshold: number, { samples: all, tallies }: Comparison): Finding {
  const samples = all.get(target) ?? []
  const rest = restOf(target, tallies)
  const rates = ratesOf(rest)
  const { sum, since } = highestWalk(samples, stepsAgainst([rates]))
  const finding = { ...HEALTHY, suspected: true, sum, since, poolRate: Math.max(0, ...[...tallies.get(target)?.keys() ?? []].map(rates)) }
  if (sum < threshold || since === undefined) return finding
  // At the start of a service-wide failure the long window still shows a healthy pool.
  const recent = new Map([...all].map(([id, list]) => [id, list.filter(sample => sample.at >= since)]))
  const recentTallies = new Map([...recent].map(([id, list]) => [id, tallyByClass(list)]))
  const recentRest = restOf(target, recentTallies)
  const steps = stepsAgainst([rates, ratesOf(recentRest)])
  const own = recent.get(target) ?? []
  const elsewhere = [...recent].flatMap(([id, list]) => id === target ? [] : list)
  const unhealthy = highestWalk(own, steps).sum >= threshold && isComparable(own, elsewhere) &&
    !isByChance(recentTallies.get(target) ?? new Map(), elsewhere, recentRest, rest, threshold) && isConfirmed(own, elsewhere, steps, threshold)
  return { ...finding, unhealthy, unreachable: unhealthy && isMostlyPath(own) }
}

/** Compares with the other targets, without the reports of unhealthy VMs. */
function prepare (all: SamplesByTarget): Comparison & { readonly excluded: readonly string[] } {
  const excluded = unhealthyReporters(all)
  const samples = excluded.size === 0
    ? all
    : new Map([...all].map(([target, list]) => [target, list.filter(({ reporter }) => !excluded.has(reporter))]))
  return { samples, tallies: new Map([...samples].map(([target, list]) => [target, tallyByClass(list)])), excluded: [...excluded] }
}

/**
 * Creates the judge of a service.
 *
 * @example
 * const judge = createJudge('detection')
 * judge.judge(evidence, ['t1', 't2', 't3'], new Set(), now).get('t1')?.unhealthy
 */
export function createJudge (preference: Preference): Judge {
  const thresholdOf = (isReturning: boolean): number => THRESHOLDS[preference] * (isReturning ? RETURNING_PART : 1)
  return {
    judge: (evidence, targets, returning, now) => {
      const all = new Map(targets.map(target => [target, evidence.samples(target, now)]))
      let prepared: ReturnType<typeof prepare> | undefined
      return new Map(targets.map(target => {
        const threshold = thresholdOf(returning.has(target))
        // Against a pool that hardly fails the sum is highest. Most targets do not reach the threshold
        // even so, which saves the comparison.
        const samples = all.get(target) ?? []
        const highest = hasFailures(samples) ? highestWalk(samples, () => STRICTEST) : { sum: 0, since: undefined }
        if (highest.sum < threshold) return [target, { ...HEALTHY, ...highest, target, threshold, evidence: {}, excludedReporters: [] }]
        prepared ??= prepare(all)
        const finding = compare(target, threshold, prepared)
        const summary = finding.unhealthy ? summarize(samples) : {}
        return [target, { ...finding, target, threshold, evidence: summary, excludedReporters: prepared.excluded }]
      }))
    }
  }
}
