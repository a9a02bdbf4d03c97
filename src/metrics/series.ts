/** Metric definitions, label sets and their text format. */

/** Labels of one series, by name. */
export type Labels = Readonly<Record<string, string>>

/** Value of every label of the overflow series, which takes the label sets beyond a limit. */
export const OVERFLOW_LABEL_VALUE = 'other'

/** Name, help text and labels of a metric. */
export interface MetricDefinition {
  /** Lower case with underscores and the unit as suffix, for example `camphorbay_refusals_total`. */
  readonly name: string
  readonly help: string
  readonly labels: readonly string[]
}

const escapeLabelValue = (value: string): string => value.replaceAll('\\', '\\\\').replaceAll('"', '\\"').replaceAll('\n', '\\n')

/**
 * Formats labels in the Prometheus text format.
 *
 * @example
 * formatLabels({ service: 'holds', kind: 'overloaded' }) // {service="holds",kind="overloaded"}
 */
export function formatLabels (labels: Labels): string {
  const pairs = Object.entries(labels).map(([name, value]) => `${name}="${escapeLabelValue(value)}"`)
  return pairs.length === 0 ? '' : `{${pairs.join(',')}}`
}

/** Returns a map key for the values of the defined labels, in the order of the definition. */
export function seriesKey ({ labels }: MetricDefinition, values: Labels): string {
  return labels.map(label => values[label] ?? '').join('\0')
}

/** Returns the defined labels with their values; a missing value becomes an empty string. */
export function pickLabels ({ labels }: MetricDefinition, values: Labels): Labels {
  return Object.fromEntries(labels.map(label => [label, values[label] ?? '']))
}

/** Returns the labels of the overflow series. */
export function overflowLabels ({ labels }: MetricDefinition): Labels {
  return Object.fromEntries(labels.map(label => [label, OVERFLOW_LABEL_VALUE]))
}

/** Formats the HELP and TYPE lines of a metric. */
export function formatHeader ({ name, help }: MetricDefinition, type: 'counter' | 'gauge' | 'summary'): string {
  return `# HELP ${name} ${help.replaceAll('\\', '\\\\').replaceAll('\n', '\\n')}\n# TYPE ${name} ${type}\n`
}
