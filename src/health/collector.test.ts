import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Result } from '../model/index.js'
import { createCollector, createEvidence, type Collector, type Outcome } from './index.js'

const collectorSuite = suite('collector')
const NOW = 20_000

const add = (collector: Collector, target: string, latencyMs: number, now = NOW, result: Result = 'answered'): Outcome =>
  collector.add({ service: 's', target, class: 'c', result, latencyMs, fingerprint: '' }, now)

interface Case {
  readonly name: string
  /** Latency of ten responses of the other targets. */
  readonly othersMs: number
  readonly latencyMs: number
  /** Age of the responses of the other targets. */
  readonly agoMs?: number
  readonly result?: Result
  readonly outcome: Outcome
}

const cases: readonly Case[] = [
  { name: 'three times the median is not slow', othersMs: 20, latencyMs: 60, outcome: 'answered' },
  { name: 'more than three times the median is slow', othersMs: 20, latencyMs: 61, outcome: 'slow' },
  // Guards against scheduling delays that make responses of fast services look slow.
  { name: 'less than 20 ms above the median is not slow', othersMs: 2, latencyMs: 21, outcome: 'answered' },
  { name: '20 ms above the median may be slow', othersMs: 2, latencyMs: 22, outcome: 'slow' },
  // Guards against a slow VM, or a slow service, that makes its targets look slow.
  { name: 'a latency close to that of the other targets is not slow', othersMs: 800, latencyMs: 900, outcome: 'answered' },
  { name: 'responses older than 10 s are not compared', othersMs: 20, latencyMs: 500, agoMs: 10_001, outcome: 'answered' },
  { name: 'a slow failure counts as a failure', othersMs: 20, latencyMs: 500, result: 'failed', outcome: 'failed' },
  { name: 'a slow shed response counts as shed', othersMs: 20, latencyMs: 500, result: 'shed', outcome: 'shed' }
]

for (const { name, othersMs, latencyMs, agoMs = 0, result = 'answered', outcome } of cases) {
  collectorSuite(name, () => {
    const collector = createCollector()
    for (let i = 0; i < 10; i++) add(collector, `t${2 + i % 3}`, othersMs, NOW - agoMs)
    assert.is(add(collector, 't1', latencyMs, NOW, result), outcome)
  })
}

collectorSuite('without enough responses of other targets no response is slow', () => {
  const collector = createCollector()
  for (let i = 0; i < 4; i++) add(collector, 't2', 20)
  assert.is(add(collector, 't1', 5_000), 'answered')
})

collectorSuite('equal outcomes are merged, and counts are returned once', () => {
  const collector = createCollector()
  for (let i = 0; i < 3; i++) add(collector, 't1', 20)
  add(collector, 't1', 20, NOW, 'reset')
  assert.equal(collector.take(), [
    { target: 't1', class: 'c', outcome: 'answered', count: 3 },
    { target: 't1', class: 'c', outcome: 'reset', count: 1 }
  ])
  assert.is(collector.isEmpty(), true)
  assert.equal(collector.take(), [])
})

collectorSuite('evidence is summed by reporter and outcome, and expires after 10 s', () => {
  const evidence = createEvidence()
  evidence.add('a', [{ target: 't1', class: 'c', outcome: 'failed', count: 2 }], NOW)
  evidence.add('a', [{ target: 't1', class: 'c', outcome: 'failed', count: 1 }], NOW + 20)
  evidence.add('b', [{ target: 't1', class: 'c', outcome: 'answered', count: 1 }], NOW + 5_000)
  assert.equal(evidence.summary('t1', NOW + 5_000), { a: { failed: 3 }, b: { answered: 1 } })
  assert.equal(evidence.summary('t1', NOW + 10_001), { b: { answered: 1 } })
  evidence.removeTarget('t1')
  assert.equal(evidence.summary('t1', NOW + 10_001), {})
})

collectorSuite.run()
