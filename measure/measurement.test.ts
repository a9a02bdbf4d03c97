import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { combineRuns, type Measurement } from './measurement.js'

const combine = suite('combined runs')

const line = (measure: string, unit: string, design: number, baseline: number): Measurement => ({ scenario: 's', measure, unit, design, baseline })

const cases: ReadonlyArray<{ readonly title: string, readonly unit: string, readonly values: readonly number[], readonly expected: number }> = [
  { title: 'a count from one of three runs is kept', unit: 'requests', values: [0, 1, 0], expected: 1 },
  { title: 'one disturbed run does not change a latency', unit: 'ms p99', values: [2, 90, 3], expected: 3 },
  { title: 'the median of an even number of runs is the mean of the middle values', unit: 'share of requests', values: [0.5, 0.7], expected: 0.6 }
]

for (const { title, unit, values, expected } of cases) {
  // Guards against a rare violation that a median hides, and against means that a single run dominates.
  combine(title, () => {
    const combined = combineRuns(values.map(value => [line('m', unit, value, value)]))
    assert.equal(combined, [line('m', unit, expected, expected)])
  })
}

combine('percentiles of one measure stay separate lines', () => {
  // Guards against lines that combine p50 and p99.
  const run = [line('claimLatency', 'ms p50', 1, 2), line('claimLatency', 'ms p99', 3, 4)]
  assert.equal(combineRuns([run, run]), run)
})

combine.run()
