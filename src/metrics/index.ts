/** Counters, gauges and latency histograms of this VM, with a bounded number of series. */
export { createMetrics, type Metrics, type MetricsOptions, type MetricsSnapshot, type RequestSample, type AttemptSample } from './metrics.js'
export type { Counter, Sample } from './counter.js'
export { createTrafficCounters, type CountedAttempt, type CountedRequest, type TrafficCounters } from './traffic.js'
export type { LatencySummary } from './latency-histograms.js'
export { OVERFLOW_LABEL_VALUE, type MetricDefinition, type Labels } from './series.js'
