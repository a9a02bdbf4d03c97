import { build, type Histogram, type HistogramSummary } from 'hdr-histogram-js'
import type { Tally } from '../target/index.js'
import type { AttemptResult } from './attempt.js'
import type { Address, RequestKind } from './load-plan.js'

/** One attempt of a request. */
export interface AttemptRecord {
  /** VM that received the attempt; undefined if the caller knew no address. */
  readonly to: Address | undefined
  /** Wall-clock time in ms, as in the log lines of the VMs. */
  readonly sentAt: number
  readonly result: AttemptResult
}

/** Final outcome of a request after its last attempt. */
export interface RequestRecord {
  readonly token: string
  readonly kind: string
  readonly idempotent: boolean
  readonly outcome: AttemptResult
  readonly attempts: number
  /** All attempts, the last one included, in order. */
  readonly history: readonly AttemptRecord[]
  /** Whether the fleet reported every attempt as not run. */
  readonly wasReportedNotRun: boolean
}

/** Results of a load from the view of the caller. */
export interface Report {
  readonly sent: number
  readonly answered: number
  /** Refused requests by error kind and run state, for example `overloaded not-run`. */
  readonly refused: Readonly<Record<string, number>>
  /** Error responses of targets, by status. */
  readonly failed: Readonly<Record<string, number>>
  /** Requests without a complete response, by error and run state. */
  readonly lost: Readonly<Record<string, number>>
  readonly wrong: ReadonlyArray<{ readonly token: string, readonly why: string }>
  readonly attempts: number
  /** Latency from the scheduled send time to the end of the response, in µs. */
  readonly latencyUs: HistogramSummary
  readonly requests: readonly RequestRecord[]
}

/** Violations of the fleet's guarantees, found by comparing the caller's records with the targets' counters. */
export interface GuaranteeViolations {
  /** Tokens of non-idempotent requests that ran more than once. */
  readonly doubleRuns: readonly string[]
  /** Tokens of requests that ran although every attempt was reported as not run. */
  readonly untruthfulRefusals: readonly string[]
  /** Tokens of answered requests that no target ran. */
  readonly answeredWithoutRun: readonly string[]
}

/** Collects the outcomes of requests. */
export interface ReportBuilder {
  readonly add: (record: RequestRecord, latencyMs: number) => void
  readonly build: () => Report
}

const US_PER_MS = 1000
const MAX_LATENCY_US = 60_000_000

function createHistogram (): Histogram {
  return build({ bitBucketSize: 32, autoResize: false, highestTrackableValue: MAX_LATENCY_US, numberOfSignificantValueDigits: 2 })
}

function countBy (names: readonly string[]): Readonly<Record<string, number>> {
  const counts = new Map<string, number>()
  for (const name of names) counts.set(name, (counts.get(name) ?? 0) + 1)
  return Object.fromEntries(counts)
}

/** Creates an empty report builder. */
export function createReportBuilder (): ReportBuilder {
  const latencies = createHistogram()
  const requests: RequestRecord[] = []
  const collect = <Name>(name: (outcome: AttemptResult, record: RequestRecord) => readonly Name[]): readonly Name[] =>
    requests.flatMap(record => name(record.outcome, record))
  return {
    add: (record, latencyMs) => {
      requests.push(record)
      if (record.outcome.kind !== 'answered') return
      latencies.recordValue(Math.min(MAX_LATENCY_US, Math.max(1, Math.round(latencyMs * US_PER_MS))))
    },
    build: () => ({
      sent: requests.length,
      answered: latencies.totalCount,
      refused: countBy(collect(outcome => outcome.kind === 'refused' ? [`${outcome.reason} ${outcome.run}`] : [])),
      failed: countBy(collect(outcome => outcome.kind === 'failed' ? [String(outcome.status)] : [])),
      lost: countBy(collect(outcome => outcome.kind === 'lost' ? [`${outcome.error} ${outcome.run}`] : [])),
      wrong: collect((outcome, { token }) => outcome.kind === 'wrong' ? [{ token, why: outcome.why }] : []),
      attempts: requests.reduce((sum, { attempts }) => sum + attempts, 0),
      latencyUs: latencies.summary,
      requests
    })
  }
}

/** Whether the result reports that no target ran the request. */
export function isReportedNotRun (result: AttemptResult): boolean {
  return 'run' in result && result.run === 'not-run'
}

/** Whether a retry is permitted and cannot run a non-idempotent request twice. */
export function canRetry (result: AttemptResult, { idempotent, key }: RequestKind): boolean {
  if (result.kind === 'answered' || result.kind === 'wrong') return false
  if (result.kind === 'refused' && result.retryAfterMs === undefined) return false
  return isReportedNotRun(result) || idempotent || key
}

/**
 * Compares the outcomes that were reported to the caller with the counters of all targets. The counters
 * must cover the whole load: no target may have been replaced during it, and they must be read after the
 * last work has arrived.
 */
export function findViolations (report: Report, tallies: readonly Tally[]): GuaranteeViolations {
  const runs = new Map<string, number>()
  for (const tally of tallies) {
    for (const [token, count] of Object.entries(tally.runs)) runs.set(token, (runs.get(token) ?? 0) + count)
  }
  const tokens = (matches: (record: RequestRecord, runs: number) => boolean): readonly string[] =>
    report.requests.filter(record => matches(record, runs.get(record.token) ?? 0)).map(({ token }) => token)
  return {
    doubleRuns: tokens(({ idempotent }, count) => !idempotent && count > 1),
    untruthfulRefusals: tokens(({ wasReportedNotRun }, count) => wasReportedNotRun && count > 0),
    answeredWithoutRun: tokens(({ outcome }, count) => outcome.kind === 'answered' && count === 0)
  }
}
