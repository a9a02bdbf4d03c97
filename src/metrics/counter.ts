import { formatHeader, formatLabels, seriesKey, overflowLabels, pickLabels, type MetricDefinition, type Labels } from './series.js'

/** Limit of the series of one counter. Further label sets share an overflow series, so that callers cannot exhaust the memory. */
const MAX_SERIES = 1000

/** A monotonically increasing counter. */
export interface Counter {
  /** Adds to the series with these labels. */
  readonly add: (labels: Labels, by?: number) => void
}

/** Value of one series. */
export interface Sample {
  readonly labels: Labels
  readonly value: number
}

/** A counter that can be read and formatted. */
export interface CounterSeries extends Counter {
  readonly samples: () => readonly Sample[]
  readonly text: () => string
}

/** Formats a counter or gauge in the Prometheus text format. */
export function formatSamples (definition: MetricDefinition, type: 'counter' | 'gauge', samples: readonly Sample[]): string {
  const lines = samples.map(({ labels, value }) => `${definition.name}${formatLabels(labels)} ${value}\n`)
  return formatHeader(definition, type) + lines.join('')
}

/** Creates a counter without series. */
export function createCounter (definition: MetricDefinition): CounterSeries {
  const series = new Map<string, { readonly labels: Labels, value: number }>()
  const findOrCreate = (labels: Labels): { value: number } => {
    const key = seriesKey(definition, labels)
    const known = series.get(key)
    if (known !== undefined) return known
    const overflow = overflowLabels(definition)
    // One of the series is reserved for the overflow.
    if (series.size >= MAX_SERIES - 1 && key !== seriesKey(definition, overflow)) return findOrCreate(overflow)
    const created = { labels: pickLabels(definition, labels), value: 0 }
    series.set(key, created)
    return created
  }
  const samples = (): readonly Sample[] => [...series.values()].map(({ labels, value }) => ({ labels, value }))
  return {
    add: (labels, by = 1) => { findOrCreate(labels).value += by },
    samples,
    text: () => formatSamples(definition, 'counter', samples())
  }
}
