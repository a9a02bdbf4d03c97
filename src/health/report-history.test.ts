import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createReportHistory, type Count, type ReportHistory, type Outcome } from './index.js'

const historySuite = suite('report history')
const NOW = 20_000

const counted = (target: string, outcome: Outcome, count = 1): Count => ({ target, class: 'c', outcome, count })

interface Case {
  readonly name: string
  readonly act: (history: ReportHistory) => void
  /** Expected counts by age in ms. */
  readonly listed: ReadonlyArray<readonly [number, readonly Count[]]>
}

const cases: readonly Case[] = [
  {
    name: 'counts within 250 ms are merged',
    act: history => {
      history.add([counted('t1', 'failed'), counted('t2', 'answered', 2)], NOW - 1_000)
      history.add([counted('t1', 'failed', 2), counted('t1', 'answered')], NOW - 751)
      history.add([counted('t1', 'failed')], NOW - 750)
    },
    listed: [
      [1_000, [counted('t1', 'failed', 3), counted('t2', 'answered', 2), counted('t1', 'answered')]],
      [750, [counted('t1', 'failed')]]
    ]
  },
  {
    name: 'counts older than the evidence window are dropped',
    act: history => { history.add([counted('t1', 'failed')], NOW - 10_300); history.add([counted('t1', 'reset')], NOW - 10_000) },
    listed: [[10_000, [counted('t1', 'reset')]]]
  },
  {
    name: 'the latest of equal outcomes is retracted first',
    act: history => {
      history.add([counted('t1', 'reset', 2)], NOW - 1_000)
      history.add([counted('t1', 'reset'), counted('t1', 'failed')], NOW - 500)
      assert.equal([1, 2, 3, 4].map(() => history.retract(counted('t1', 'reset'))), [true, true, true, false])
      history.add([counted('t2', 'answered')], NOW)
    },
    listed: [[1_000, []], [500, [counted('t1', 'failed')]], [0, [counted('t2', 'answered')]]]
  },
  {
    name: 'the counts of a target are removed',
    act: history => { history.add([counted('t1', 'failed'), counted('t2', 'failed')], NOW - 500); history.removeTarget('t1') },
    listed: [[500, [counted('t2', 'failed')]]]
  },
  {
    // Guards against a report that exceeds the maximum frame size.
    name: 'the oldest counts beyond 2,000 are dropped',
    act: history => {
      for (const ago of [900, 600, 300]) history.add(Array.from({ length: 1_000 }, (_, i) => counted(`t${i}`, 'answered')), NOW - ago)
    },
    listed: [600, 300].map(ago => [ago, Array.from({ length: 1_000 }, (_, i) => counted(`t${i}`, 'answered'))])
  }
]

for (const { name, act, listed } of cases) {
  historySuite(name, () => {
    const history = createReportHistory()
    act(history)
    assert.equal(history.list(NOW).map(({ ageMs, counts }) => [ageMs, counts]), listed)
  })
}

historySuite.run()
