/** Memory of the latency histograms and duration of a recording. */
import { createMetrics, type Metrics } from '../../src/metrics/index.js'
import type { Measurement } from './measurement.js'
import { measureHeap, measureTime } from './resource-usage.js'

/** A tenant gets a histogram only after a heavy-hitter comparison, which takes place once per 16 of its events. */
const EVENTS_PER_TENANT = 64

/** Latency histograms of a VM's busiest tenants, by the number of histograms. */
export const tenantHistogramsByCount: Measurement = {
  name: 'tenants',
  by: 'histograms',
  sizes: [64, 256, 1024],
  quickSizes: [4, 8, 16],
  run: count => {
    const record = (metrics: Metrics, index: number): void =>
      metrics.recordRequest({ service: 'service-1', class: 'read', tenant: `tenant-${index}`, latencyMs: 1 + index % 100 })
    const { bytes, value: metrics } = measureHeap(() => {
      const filled = createMetrics({ tenants: count })
      for (let i = 0; i < count * EVENTS_PER_TENANT; i++) record(filled, i % count)
      return filled
    })
    return [
      { measure: 'heap', unit: 'B', value: bytes },
      { measure: 'recordKnown', unit: 'us', value: measureTime(iteration => record(metrics, iteration % count)) },
      { measure: 'recordMany', unit: 'us', value: measureTime(iteration => record(metrics, iteration % (count * 16))) },
      { measure: 'text', unit: 'us', value: measureTime(() => metrics.text()) }
    ]
  }
}
