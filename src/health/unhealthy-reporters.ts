/** Detects VMs that are unhealthy themselves: most targets fail for them, and not for the other VMs. */
import type { Sample } from './evidence.js'
import { addSample, rateOf, type Tally } from './failure-rates.js'

/** An unhealthy VM reports more than this multiple of the failures that the other VMs see at the same targets. */
const EXCESS_FACTOR = 3
/** Added to the expected failures, so that single failures at a low request rate do not exclude a VM. */
const EXPECTED_FAILURES_PRIOR = 0.5
/** A VM is suspected only if at least two targets, and at least this fraction of those that it uses, fail for it. */
const MIN_FAILING_TARGETS = 2
const MIN_FAILING_FRACTION = 0.5

/** Tallies by reporter, then by target. */
type ReporterTallies = ReadonlyMap<string, ReadonlyMap<string, Tally>>

function tallyByReporter (samplesByTarget: ReadonlyMap<string, readonly Sample[]>): ReporterTallies {
  const tallies = new Map<string, Map<string, Tally>>()
  for (const [target, samples] of samplesByTarget) {
    for (const sample of samples) {
      const row = tallies.get(sample.reporter) ?? new Map<string, Tally>()
      tallies.set(sample.reporter, row)
      row.set(target, addSample(row.get(target), sample))
    }
  }
  return tallies
}

function tallyOfOthers (tallies: ReporterTallies, reporter: string, target: string): Tally {
  let good = 0
  let bad = 0
  for (const [other, row] of tallies) {
    if (other === reporter) continue
    good += row.get(target)?.good ?? 0
    bad += row.get(target)?.bad ?? 0
  }
  return { good, bad }
}

function isUnhealthy (tallies: ReporterTallies, reporter: string, row: ReadonlyMap<string, Tally>): boolean {
  const active = [...row].filter(([, { good, bad }]) => good + bad > 0)
  const failing = active.filter(([, { bad }]) => bad > 0)
  if (failing.length < Math.max(MIN_FAILING_TARGETS, active.length * MIN_FAILING_FRACTION)) return false
  let observed = 0
  let expected = 0
  for (const [target, tally] of active) {
    observed += tally.bad
    expected += (tally.good + tally.bad) * rateOf(tallyOfOthers(tallies, reporter, target))
  }
  return observed > EXCESS_FACTOR * (expected + EXPECTED_FAILURES_PRIOR)
}

/**
 * Returns the reporters whose evidence has to be excluded.
 *
 * The failures of a VM are compared with those that the other VMs would have seen with the same attempts. A VM
 * for which only few of its targets fail is not suspected: the targets, or the paths to them, are the likelier cause.
 *
 * @example
 * unhealthyReporters(new Map([['t1', samples1], ['t2', samples2]])) // Set { 'entry-3' }
 */
export function unhealthyReporters (samplesByTarget: ReadonlyMap<string, readonly Sample[]>): ReadonlySet<string> {
  const tallies = tallyByReporter(samplesByTarget)
  if (tallies.size < 2) return new Set()
  return new Set([...tallies].flatMap(([reporter, row]) => isUnhealthy(tallies, reporter, row) ? [reporter] : []))
}
