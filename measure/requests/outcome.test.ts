import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { AttemptResult, Report, RequestRecord } from '../../stand-ins/caller/index.js'
import type { Tally } from '../../stand-ins/target/index.js'
import { judgeOutcome, type Outcome } from './outcome.js'

const judge = suite('outcome of a run')

const answered: AttemptResult = { kind: 'answered' }
const wrong: AttemptResult = { kind: 'wrong', why: 'another token' }
const refused: AttemptResult = { kind: 'refused', reason: 'overloaded', run: 'not-run', retryAfterMs: 100, addresses: undefined }
const failed = (status: number): AttemptResult => ({ kind: 'failed', status, run: 'may-have-run' })

function recordOf (outcome: AttemptResult, fields: Partial<RequestRecord> = {}): RequestRecord {
  return { token: 'a', kind: 'order', idempotent: false, outcome, attempts: 1, wasReportedNotRun: 'run' in outcome && outcome.run === 'not-run', ...fields }
}

function reportOf (record: RequestRecord): Report {
  const wrong = record.outcome.kind === 'wrong' ? [{ token: record.token, why: record.outcome.why }] : []
  return { wrong, requests: [record] } as unknown as Report
}

const tallyOf = (runs: number): Tally => ({ runs: runs === 0 ? {} : { a: runs } }) as unknown as Tally

interface Case {
  readonly title: string
  readonly record: RequestRecord
  /** Runs at each of two targets. */
  readonly runs: readonly [number, number]
  readonly statusIsRefusal?: boolean
  readonly expected: Partial<Outcome>
}

const cases: readonly Case[] = [
  { title: 'one run, answered', record: recordOf(answered), runs: [1, 0], expected: { doubleRuns: 0, untruthfulRefusals: 0, answeredShare: 1 } },
  { title: 'two runs at two targets', record: recordOf(answered), runs: [1, 1], expected: { doubleRuns: 1 } },
  { title: 'two runs at one target', record: recordOf(answered), runs: [2, 0], expected: { doubleRuns: 1 } },
  { title: 'an idempotent request may run twice', record: recordOf(answered, { idempotent: true }), runs: [1, 1], expected: { doubleRuns: 0 } },
  { title: 'a wrong answer', record: recordOf(wrong), runs: [1, 0], expected: { wrongAnswers: 1, answeredShare: 0 } },
  { title: 'refused as not run, and ran', record: recordOf(refused), runs: [1, 0], expected: { untruthfulRefusals: 1 } },
  { title: 'refused as not run, and did not run', record: recordOf(refused), runs: [0, 0], expected: { untruthfulRefusals: 0 } },
  { title: 'a bare 502 after a run, from a proxy without run states', record: recordOf(failed(502)), runs: [0, 1], statusIsRefusal: true, expected: { untruthfulRefusals: 1 } },
  { title: 'a bare 502 without a run', record: recordOf(failed(502)), runs: [0, 0], statusIsRefusal: true, expected: { untruthfulRefusals: 0 } },
  { title: 'a 500 of a target is no refusal', record: recordOf(failed(500)), runs: [1, 0], statusIsRefusal: true, expected: { untruthfulRefusals: 0 } },
  { title: 'an untruthful 503 is counted once', record: recordOf(failed(503), { wasReportedNotRun: true }), runs: [1, 0], statusIsRefusal: true, expected: { untruthfulRefusals: 1 } }
]

for (const { title, record, runs, statusIsRefusal = false, expected } of cases) {
  // Guards against a measure that stays at zero whatever happens.
  judge(title, () => {
    const outcome = judgeOutcome(reportOf(record), runs.map(tallyOf), { statusIsRefusal, counted: () => true })
    assert.equal({ ...outcome, ...expected }, outcome)
  })
}

judge('kinds that no side can answer do not count in the share', () => {
  // Guards against a share that depends on how often the crashing request was drawn.
  const outcome = judgeOutcome(reportOf(recordOf(refused, { kind: 'crash' })), [tallyOf(0)], { statusIsRefusal: false, counted: kind => kind !== 'crash' })
  assert.ok(Number.isNaN(outcome.answeredShare))
})

judge.run()
