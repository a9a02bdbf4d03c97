import { build, type Histogram } from 'hdr-histogram-js'
import { createHeavyHitters } from './heavy-hitters.js'
import { formatHeader, formatLabels, seriesKey, overflowLabels, pickLabels, type MetricDefinition, type Labels } from './series.js'

const US_PER_MS = 1000
const US_PER_SECOND = 1_000_000
const MIN_LATENCY_US = 1
const MAX_LATENCY_US = 60_000_000
const QUANTILES = [0.5, 0.9, 0.99, 0.999] as const

/** Latency quantiles of one series. */
export interface LatencySummary {
  readonly labels: Labels
  readonly count: number
  readonly p50Ms: number
  readonly p90Ms: number
  readonly p99Ms: number
  readonly maxMs: number
}

/** Latency histograms of a bounded number of series. */
export interface LatencyHistograms {
  readonly record: (labels: Labels, latencyMs: number) => void
  readonly summaries: () => readonly LatencySummary[]
  readonly text: () => string
}

interface Series {
  readonly labels: Labels
  readonly histogram: Histogram
  sumUs: number
}

function createSeries (labels: Labels): Series {
  const histogram = build({
    bitBucketSize: 32,
    autoResize: false,
    lowestDiscernibleValue: MIN_LATENCY_US,
    highestTrackableValue: MAX_LATENCY_US,
    numberOfSignificantValueDigits: 2
  })
  return { labels, histogram, sumUs: 0 }
}

const quantileUs = ({ histogram }: Series, quantile: number): number => histogram.getValueAtPercentile(quantile * 100)

function formatSeries ({ name }: MetricDefinition, series: Series): string {
  const quantiles = QUANTILES.map(quantile =>
    `${name}${formatLabels({ ...series.labels, quantile: String(quantile) })} ${quantileUs(series, quantile) / US_PER_SECOND}\n`)
  const labels = formatLabels(series.labels)
  return `${quantiles.join('')}${name}_sum${labels} ${series.sumUs / US_PER_SECOND}\n${name}_count${labels} ${series.histogram.totalCount}\n`
}

function summarize (series: Series): LatencySummary {
  return {
    labels: series.labels,
    count: series.histogram.totalCount,
    p50Ms: quantileUs(series, 0.5) / US_PER_MS,
    p90Ms: quantileUs(series, 0.9) / US_PER_MS,
    p99Ms: quantileUs(series, 0.99) / US_PER_MS,
    maxMs: series.histogram.maxValue / US_PER_MS
  }
}

/**
 * Creates histograms from 1 µs to 60 s with two significant digits for the `maxSeries` most frequent
 * label sets. All others share one overflow series, into which the histogram of an evicted label set
 * is merged. A histogram takes about 10 KB.
 */
export function createLatencyHistograms (definition: MetricDefinition, maxSeries: number): LatencyHistograms {
  const heavyHitters = createHeavyHitters(maxSeries)
  const series = new Map<string, Series>()
  const overflow = createSeries(overflowLabels(definition))

  const mergeIntoOverflow = (key: string): void => {
    const evictedSeries = series.get(key)
    if (evictedSeries === undefined) return
    overflow.histogram.add(evictedSeries.histogram)
    overflow.sumUs += evictedSeries.sumUs
    series.delete(key)
  }
  const find = (labels: Labels): Series => {
    const key = seriesKey(definition, labels)
    const { isTracked, evicted } = heavyHitters.record(key)
    if (evicted !== undefined) mergeIntoOverflow(evicted)
    if (!isTracked) return overflow
    const found = series.get(key) ?? createSeries(pickLabels(definition, labels))
    series.set(key, found)
    return found
  }
  const all = (): readonly Series[] => overflow.histogram.totalCount > 0 ? [...series.values(), overflow] : [...series.values()]
  return {
    record: (labels, latencyMs) => {
      const latencyUs = Math.min(MAX_LATENCY_US, Math.max(MIN_LATENCY_US, Math.round(latencyMs * US_PER_MS)))
      const found = find(labels)
      found.histogram.recordValue(latencyUs)
      found.sumUs += latencyUs
    },
    summaries: () => all().map(summarize),
    text: () => formatHeader(definition, 'summary') + all().map(one => formatSeries(definition, one)).join('')
  }
}
