/** Sliding window over the outcomes that all VMs report for the targets of one service. */
import type { Count, Outcome } from './outcome.js'

/** Length of the sliding window. */
export const EVIDENCE_WINDOW_MS = 10_000
/** Equal outcomes of one reporter within this time are merged. */
const BUCKET_MS = 100
/** Bounds the memory per target. */
const MAX_SAMPLES = 4_000

/** Equal outcomes that one VM reported at about the same time. */
export interface Sample {
  /** When the counts arrived, in ms on the coordinator's clock. */
  readonly at: number
  /** Name of the reporting VM. */
  readonly reporter: string
  readonly class: string
  readonly outcome: Outcome
  readonly count: number
}

/** Counts by reporter, then by outcome; part of the explanations for operators. */
export type EvidenceSummary = Readonly<Record<string, Readonly<Partial<Record<Outcome, number>>>>>

/** Evidence about the targets of one service. */
export interface Evidence {
  /** @param at when the counts arrived, or when they were observed if a member repeats them for a new coordinator */
  readonly add: (reporter: string, counts: readonly Count[], at: number) => void
  /** Removes retracted counts of a reporter, the latest samples first. */
  readonly retract: (reporter: string, counts: readonly Count[]) => void
  /** Returns the samples of a target within the window, oldest first. */
  readonly samples: (target: string, now: number) => readonly Sample[]
  readonly targets: () => readonly string[]
  /** Removes all samples of a target, for example when it is readmitted. */
  readonly removeTarget: (target: string) => void
  /** Sums the samples of a target by reporter and outcome. */
  readonly summary: (target: string, now: number) => EvidenceSummary
}

/** Sums samples by reporter and outcome. */
export function summarize (samples: readonly Sample[]): EvidenceSummary {
  const summary: Record<string, Partial<Record<Outcome, number>>> = {}
  for (const { reporter, outcome, count } of samples) {
    const row = summary[reporter] ??= {}
    row[outcome] = (row[outcome] ?? 0) + count
  }
  return summary
}

function mergeInto (samples: Sample[], sample: Sample): void {
  const last = samples.at(-1)
  const mergeable = last !== undefined && last.at === sample.at && last.reporter === sample.reporter &&
    last.class === sample.class && last.outcome === sample.outcome
  if (mergeable) samples[samples.length - 1] = { ...sample, count: last.count + sample.count }
  else samples.push(sample)
  if (last !== undefined && last.at > sample.at) samples.sort((a, b) => a.at - b.at)
}

function prune (samples: Sample[], now: number): void {
  const firstKept = samples.findIndex(sample => now - sample.at <= EVIDENCE_WINDOW_MS)
  const expired = firstKept === -1 ? samples.length : firstKept
  const excess = Math.max(expired, samples.length - MAX_SAMPLES)
  if (excess > 0) samples.splice(0, excess)
}

/** Removes up to `count` equal outcomes of a reporter, starting with the latest. */
function removeLatest (samples: Sample[], reporter: string, { class: className, outcome, count }: Count): void {
  let left = count
  for (let i = samples.length - 1; i >= 0 && left > 0; i--) {
    const sample = samples[i]
    if (sample === undefined || sample.reporter !== reporter || sample.class !== className || sample.outcome !== outcome) continue
    const removed = Math.min(left, sample.count)
    left -= removed
    if (removed === sample.count) samples.splice(i, 1)
    else samples[i] = { ...sample, count: sample.count - removed }
  }
}

/**
 * Creates a window without samples.
 *
 * @example
 * evidence.add('entry-1', [{ target: 't1', class: 'listing', outcome: 'failed', count: 2 }], now)
 * evidence.summary('t1', now) // { 'entry-1': { failed: 2 } }
 */
export function createEvidence (): Evidence {
  const byTarget = new Map<string, Sample[]>()
  const samplesOf = (target: string, now: number): readonly Sample[] => {
    const samples = byTarget.get(target)
    if (samples === undefined) return []
    prune(samples, now)
    return samples
  }
  return {
    add: (reporter, counts, now) => {
      const at = now - now % BUCKET_MS
      for (const { target, class: className, outcome, count } of counts) {
        const samples = byTarget.get(target) ?? []
        byTarget.set(target, samples)
        mergeInto(samples, { at, reporter, class: className, outcome, count })
        prune(samples, now)
      }
    },
    retract: (reporter, counts) => {
      for (const count of counts) removeLatest(byTarget.get(count.target) ?? [], reporter, count)
    },
    samples: samplesOf,
    targets: () => [...byTarget.keys()],
    removeTarget: target => { byTarget.delete(target) },
    summary: (target, now) => summarize(samplesOf(target, now))
  }
}
