/** Evaluates a run from the report of the load generator and the counters of the targets. */
import { findViolations, type Report, type RequestRecord } from '../../stand-ins/caller/index.js'
import type { Tally } from '../../stand-ins/target/index.js'

/** Counts and shares of one run, or summed over several runs. */
export interface Outcome {
  /** Non-idempotent requests that ran more than once. */
  readonly doubleRuns: number
  /** Responses that are incomplete, changed, or belong to another request. */
  readonly wrongAnswers: number
  /** Requests that ran although the caller received a refusal that states that they did not run. */
  readonly untruthfulRefusals: number
  /** Complete responses before the deadline, as a share of the requests of the counted kinds. */
  readonly answeredShare: number
}

/** Options of {@link evaluateOutcome}. */
export interface OutcomeOptions {
  /**
   * True if 502 and 503 count as the statement that the request was not run. If a proxy reports no
   * run states, callers have no other way to distinguish a refusal from a run.
   */
  readonly statusIsRefusal: boolean
  /** Selects the kinds of requests that `answeredShare` includes. */
  readonly isCounted: (kind: string) => boolean
}

const REFUSAL_STATUSES: ReadonlySet<number> = new Set([502, 503])

const isStatusRefusal = ({ outcome }: RequestRecord): boolean => outcome.kind === 'failed' && REFUSAL_STATUSES.has(outcome.status)

function share (part: number, whole: number): number {
  return whole === 0 ? NaN : part / whole
}

/**
 * Evaluates a run. The tallies must cover all targets and the whole load.
 *
 * @example
 * evaluateOutcome(report, targets.map(target => target.tally()), { statusIsRefusal: false, isCounted: () => true }).doubleRuns
 */
export function evaluateOutcome (report: Report, tallies: readonly Tally[], { statusIsRefusal, isCounted }: OutcomeOptions): Outcome {
  const { doubleRuns, untruthfulRefusals } = findViolations(report, tallies)
  const tokensRun = new Set(tallies.flatMap(({ runs }) => Object.keys(runs)))
  const untruthfulTokens = new Set(untruthfulRefusals)
  for (const record of report.requests) {
    if (statusIsRefusal && isStatusRefusal(record) && tokensRun.has(record.token)) untruthfulTokens.add(record.token)
  }
  const countedRequests = report.requests.filter(({ kind }) => isCounted(kind))
  return {
    doubleRuns: doubleRuns.length,
    wrongAnswers: report.wrong.length,
    untruthfulRefusals: untruthfulTokens.size,
    answeredShare: share(countedRequests.filter(({ outcome }) => outcome.kind === 'answered').length, countedRequests.length)
  }
}
