import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createHeavyHitters } from './heavy-hitters.js'
import { createMetrics } from './index.js'

const metricsSuite = suite('metrics')

const refusals = { name: 'camphorbay_refusals_total', help: 'Refused requests.', labels: ['service', 'kind'] }
const request = (tenant: string, latencyMs = 10): { service: string, class: string, tenant: string, latencyMs: number } =>
  ({ service: 's', class: 'c', tenant, latencyMs })

metricsSuite('a counter is exported with its header and labels', () => {
  const metrics = createMetrics()
  const counter = metrics.counter(refusals)
  counter.add({ service: 'holds', kind: 'overloaded' })
  counter.add({ kind: 'overloaded', service: 'holds' }, 2)
  const text = metrics.text()
  assert.ok(text.includes([
    '# HELP camphorbay_refusals_total Refused requests.',
    '# TYPE camphorbay_refusals_total counter',
    'camphorbay_refusals_total{service="holds",kind="overloaded"} 3', ''
  ].join('\n')), text)
})

metricsSuite('registering a counter twice returns the same counter', () => {
  const metrics = createMetrics()
  metrics.counter(refusals).add({})
  metrics.counter(refusals).add({})
  assert.is(metrics.explain().counters[refusals.name]?.[0]?.value, 2)
})

metricsSuite('label values are escaped in the text format', () => {
  // Guards against a caller that injects series through a crafted name.
  const metrics = createMetrics()
  metrics.counter(refusals).add({ service: 'a"} 9\nforged{x="\\', kind: 'k' })
  const lines = metrics.text().split('\n').filter(line => line.startsWith('forged'))
  assert.equal(lines, [])
  assert.ok(metrics.text().includes('{service="a\\"} 9\\nforged{x=\\"\\\\",kind="k"} 1'))
})

metricsSuite('label sets beyond the limit are counted in the overflow series', () => {
  const metrics = createMetrics()
  const counter = metrics.counter(refusals)
  for (let i = 0; i < 5000; i++) counter.add({ service: `s${i}`, kind: 'k' })
  const samples = metrics.explain().counters[refusals.name] ?? []
  assert.is(samples.length, 1000)
  assert.is(samples.reduce((sum, { value }) => sum + value, 0), 5000)
  assert.is(samples.find(({ labels }) => labels['service'] === 'other')?.value, 5000 - 999)
})

metricsSuite('a gauge is read on each export', () => {
  const metrics = createMetrics()
  let waiting = 1
  metrics.gauge({ name: 'camphorbay_waiting', help: 'h', labels: [] }, () => [{ labels: {}, value: waiting }])
  assert.ok(metrics.text().includes('camphorbay_waiting 1\n'))
  waiting = 2
  assert.ok(metrics.text().includes('# TYPE camphorbay_waiting gauge\ncamphorbay_waiting 2\n'))
})

metricsSuite('latencies are exported in seconds, with quantiles, sum and count', () => {
  const metrics = createMetrics()
  for (let ms = 1; ms <= 100; ms++) metrics.recordAttempt({ service: 's', target: 't', latencyMs: ms })
  const value = (line: string): number => {
    const found = metrics.text().split('\n').find(text => text.startsWith(`camphorbay_target_duration_seconds${line} `))
    return Number(found?.split(' ').at(-1))
  }
  assert.ok(Math.abs(value('{service="s",target="t",quantile="0.5"}') - 0.05) <= 0.001)
  assert.ok(Math.abs(value('{service="s",target="t",quantile="0.99"}') - 0.099) <= 0.001)
  assert.is(value('_count{service="s",target="t"}'), 100)
  assert.ok(Math.abs(value('_sum{service="s",target="t"}') - 5.05) < 1e-9)
})

for (const [latencyMs, expectedMs] of [[0, 0.001], [-5, 0.001], [1e9, 60_000]] as const) {
  metricsSuite(`a latency of ${latencyMs} ms is recorded as ${expectedMs} ms`, () => {
    // Guards against an exception of the histogram for a value outside its range, which would fail a request.
    const metrics = createMetrics()
    metrics.recordRequest(request('a', latencyMs))
    const max = metrics.explain().classes[0]?.maxMs ?? NaN
    assert.ok(Math.abs(max - expectedMs) <= expectedMs * 0.01, String(max))
  })
}

metricsSuite('callers beyond the limit share the overflow histogram', () => {
  const metrics = createMetrics({ tenants: 4 })
  for (let i = 0; i < 100; i++) metrics.recordRequest(request(`caller-${i}`))
  const tenants = metrics.explain().tenants
  assert.is(tenants.length, 5)
  assert.is(tenants.reduce((sum, { count }) => sum + count, 0), 100)
})

metricsSuite('a busy caller that arrives late gets its own histogram, and no request is lost', () => {
  // Guards against early idle callers that keep all histograms.
  const metrics = createMetrics({ tenants: 4 })
  for (let i = 0; i < 200; i++) metrics.recordRequest(request(`early-${i % 4}`))
  for (let i = 0; i < 2000; i++) metrics.recordRequest(request(i % 2 === 0 ? 'busy' : `rare-${i}`))
  const tenants = metrics.explain().tenants
  assert.ok(tenants.some(({ labels }) => labels['tenant'] === 'busy'))
  assert.is(tenants.length, 5)
  assert.is(tenants.reduce((sum, { count }) => sum + count, 0), 2200)
})

metricsSuite('two callers with equal load do not evict each other', () => {
  const heavyHitters = createHeavyHitters(1)
  let evictions = 0
  for (let i = 0; i < 10_000; i++) if (heavyHitters.record(i % 2 === 0 ? 'a' : 'b').evicted !== undefined) evictions += 1
  assert.is(evictions, 0)
})

metricsSuite('an idle caller is evicted', () => {
  const heavyHitters = createHeavyHitters(1)
  for (let i = 0; i < 50_000; i++) heavyHitters.record('former')
  let isTracked = false
  for (let i = 0; i < 60_000; i++) isTracked = heavyHitters.record('current').isTracked
  assert.ok(isTracked)
})

metricsSuite.run()
