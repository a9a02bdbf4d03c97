import { createCounter, formatSamples, type Counter, type CounterSeries, type Sample } from './counter.js'
import { createLatencyHistograms, type LatencySummary } from './latency-histograms.js'
import type { MetricDefinition } from './series.js'

/** Limits of the histograms per dimension. At 10 KB each, all histograms take about 8 MB. */
const MAX_CLASSES = 256
const MAX_TARGETS = 512
const DEFAULT_MAX_TENANTS = 64

const classLatency: MetricDefinition = {
  name: 'camphorbay_class_duration_seconds',
  help: 'Time from the arrival of a request to the headers of its answer, by service and class.',
  labels: ['service', 'class']
}
const targetLatency: MetricDefinition = {
  name: 'camphorbay_target_duration_seconds',
  help: 'Time from sending a request to a target to the headers of its answer.',
  labels: ['service', 'target']
}
const tenantLatency: MetricDefinition = {
  name: 'camphorbay_tenant_duration_seconds',
  help: 'Time from the arrival of a request to the headers of its answer, by caller. The busiest callers have series of their own.',
  labels: ['tenant']
}

/** An answered request. */
export interface RequestSample {
  readonly service: string
  readonly class: string
  /** Key that identifies the caller. */
  readonly tenant: string
  /** Time from the arrival of the request to the response headers. */
  readonly latencyMs: number
}

/** An answered attempt. */
export interface AttemptSample {
  readonly service: string
  readonly target: string
  /** Time from sending the request to the response headers. */
  readonly latencyMs: number
}

/** Snapshot of all metrics for operators. */
export interface MetricsSnapshot {
  readonly counters: Readonly<Record<string, readonly Sample[]>>
  readonly gauges: Readonly<Record<string, readonly Sample[]>>
  readonly classes: readonly LatencySummary[]
  readonly targets: readonly LatencySummary[]
  readonly tenants: readonly LatencySummary[]
}

/** Options of {@link createMetrics}. */
export interface MetricsOptions {
  /** Maximum number of callers with their own histogram. Default: 64. */
  readonly tenants?: number
}

/** Metrics of one VM. */
export interface Metrics {
  /** Registers a counter, or returns the existing one with this name. */
  readonly counter: (definition: MetricDefinition) => Counter
  /** Registers a gauge whose values are read on each export. Replaces a gauge with the same name. */
  readonly gauge: (definition: MetricDefinition, read: () => readonly Sample[]) => void
  readonly recordRequest: (sample: RequestSample) => void
  readonly recordAttempt: (sample: AttemptSample) => void
  /** All metrics in the Prometheus text format, version 0.0.4. */
  readonly text: () => string
  readonly explain: () => MetricsSnapshot
}

interface Gauge {
  readonly definition: MetricDefinition
  readonly read: () => readonly Sample[]
}

/**
 * Creates an empty metrics registry. The number of series is bounded for every
 * metric; label sets beyond the limit are counted under the label value `other`.
 *
 * @example
 * const metrics = createMetrics({ tenants: 64 })
 * const refusals = metrics.counter({ name: 'camphorbay_refusals_total', help: 'Refused requests.', labels: ['service', 'kind'] })
 * refusals.add({ service: 'holds', kind: 'overloaded' })
 * metrics.recordRequest({ service: 'holds', class: 'place', tenant: '127.0.0.1', latencyMs: 12 })
 * response.end(metrics.text())
 */
export function createMetrics ({ tenants = DEFAULT_MAX_TENANTS }: MetricsOptions = {}): Metrics {
  const counters = new Map<string, CounterSeries>()
  const gauges = new Map<string, Gauge>()
  const classes = createLatencyHistograms(classLatency, MAX_CLASSES)
  const targets = createLatencyHistograms(targetLatency, MAX_TARGETS)
  const callers = createLatencyHistograms(tenantLatency, tenants)
  return {
    counter: definition => {
      const counter = counters.get(definition.name) ?? createCounter(definition)
      counters.set(definition.name, counter)
      return counter
    },
    gauge: (definition, read) => { gauges.set(definition.name, { definition, read }) },
    recordRequest: ({ service, class: className, tenant, latencyMs }) => {
      classes.record({ service, class: className }, latencyMs)
      callers.record({ tenant }, latencyMs)
    },
    recordAttempt: ({ service, target, latencyMs }) => targets.record({ service, target }, latencyMs),
    text: () => [
      ...[...counters.values()].map(counter => counter.text()),
      ...[...gauges.values()].map(({ definition, read }) => formatSamples(definition, 'gauge', read())),
      ...[classes, targets, callers].map(latencies => latencies.text())
    ].join(''),
    explain: () => ({
      counters: Object.fromEntries([...counters].map(([name, counter]) => [name, counter.samples()])),
      gauges: Object.fromEntries([...gauges].map(([name, { read }]) => [name, read()])),
      classes: classes.summaries(),
      targets: targets.summaries(),
      tenants: callers.summaries()
    })
  }
}
