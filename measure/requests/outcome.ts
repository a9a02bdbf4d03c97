/** What a load and the targets' counts say about one side of a scenario. */
import { findViolations, type Report, type RequestRecord } from '../../stand-ins/caller/index.js'
import type { Tally } from '../../stand-ins/target/index.js'

/** Counts of one run, or of several that were added up. */
export interface Outcome {
  /** Requests that are not idempotent and ran more than once. */
  readonly doubleRuns: number
  /** Answers that are incomplete, changed, or belong to another request. */
  readonly wrongAnswers: number
  /** Requests that ran although the caller was told that they were not run. */
  readonly untruthfulRefusals: number
  /** Whole answers before the deadline, as a share of the requests of the counted kinds. */
  readonly answeredShare: number
}

/** How to judge a side. */
export interface OutcomeOptions {
  /**
   * Whether 502 and 503 count as the statement that the request was not run. A proxy without run
   * states leaves callers no other way to tell a refusal from a run.
   */
  readonly statusIsRefusal: boolean
  /** Kinds of requests in `answeredShare`. */
  readonly counted: (kind: string) => boolean
}

const REFUSAL_STATUSES: ReadonlySet<number> = new Set([502, 503])

const isStatusRefusal = ({ outcome }: RequestRecord): boolean => outcome.kind === 'failed' && REFUSAL_STATUSES.has(outcome.status)

function share (part: number, whole: number): number {
  return whole === 0 ? NaN : part / whole
}

/**
 * Judges a run. The tallies have to cover all targets and the whole load.
 *
 * @example
 * judgeOutcome(report, targets.map(target => target.tally()), { statusIsRefusal: false, counted: () => true }).doubleRuns
 */
export function judgeOutcome (report: Report, tallies: readonly Tally[], { statusIsRefusal, counted }: OutcomeOptions): Outcome {
  const { doubleRuns, untruthfulRefusals } = findViolations(report, tallies)
  const ran = new Set(tallies.flatMap(({ runs }) => Object.keys(runs)))
  const refused = new Set(untruthfulRefusals)
  for (const record of report.requests) {
    if (statusIsRefusal && isStatusRefusal(record) && ran.has(record.token)) refused.add(record.token)
  }
  const considered = report.requests.filter(({ kind }) => counted(kind))
  return {
    doubleRuns: doubleRuns.length,
    wrongAnswers: report.wrong.length,
    untruthfulRefusals: refused.size,
    answeredShare: share(considered.filter(({ outcome }) => outcome.kind === 'answered').length, considered.length)
  }
}
