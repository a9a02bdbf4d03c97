import { build, type Histogram } from 'hdr-histogram-js'
import { createBusiest } from './busiest.js'
import { formatHeader, formatLabels, keyOf, otherLabels, pick, type Definition, type Labels } from './series.js'

const US_PER_MS = 1000
const US_PER_SECOND = 1_000_000
const MIN_LATENCY_US = 1
const MAX_LATENCY_US = 60_000_000
const QUANTILES = [0.5, 0.9, 0.99, 0.999] as const

/** Latencies of one series. */
export interface LatencySummary {
  readonly labels: Labels
  readonly count: number
  readonly p50Ms: number
  readonly p90Ms: number
  readonly p99Ms: number
  readonly maxMs: number
}

/** Latency histograms of a bounded number of series. */
export interface Latencies {
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

function formatSeries ({ name }: Definition, series: Series): string {
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
 * Creates histograms from 1 µs to 60 s with two digits for the `limit` busiest
 * label sets. The others share one series, which also receives the histogram
 * of a label set that loses its place. A histogram takes about 10 KB.
 */
export function createLatencies (definition: Definition, limit: number): Latencies {
  const busiest = createBusiest(limit)
  const series = new Map<string, Series>()
  const other = createSeries(otherLabels(definition))

  const fold = (key: string): void => {
    const displaced = series.get(key)
    if (displaced === undefined) return
    other.histogram.add(displaced.histogram)
    other.sumUs += displaced.sumUs
    series.delete(key)
  }
  const find = (labels: Labels): Series => {
    const key = keyOf(definition, labels)
    const { placed, displaced } = busiest.note(key)
    if (displaced !== undefined) fold(displaced)
    if (!placed) return other
    const found = series.get(key) ?? createSeries(pick(definition, labels))
    series.set(key, found)
    return found
  }
  const all = (): readonly Series[] => other.histogram.totalCount > 0 ? [...series.values(), other] : [...series.values()]
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
