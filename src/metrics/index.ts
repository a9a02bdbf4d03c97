/** Counters, gauges and latency histograms of this VM, bounded in number. */
export { createMetrics, type Metrics, type MetricsOptions, type MetricsSnapshot, type RequestSample, type AttemptSample } from './metrics.js'
export type { Counter, Sample } from './counter.js'
export { createTrafficCounters, type CountedAttempt, type CountedRequest, type TrafficCounters } from './traffic.js'
export type { LatencySummary } from './latencies.js'
export { OTHER, type Definition, type Labels } from './series.js'
