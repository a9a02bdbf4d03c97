/** Formats measurements as text tables. */
import type { Measurement } from './measurement.js'

const COLUMNS = ['scenario', 'measure', 'unit', 'design', 'baseline'] as const

/** Returns the cells of a line, with numbers rounded to four decimal places. */
export function cellsOf ({ scenario, measure, unit, design, baseline }: Measurement): readonly string[] {
  return [scenario, measure, unit, formatNumber(design), formatNumber(baseline)]
}

/** Formats a number with at most four decimal places. */
export function formatNumber (value: number): string {
  return String(Number(value.toFixed(4)))
}

/** Formats a table with aligned columns for a terminal. */
export function formatTable (lines: readonly Measurement[]): string {
  const rows = [COLUMNS, ...lines.map(cellsOf)]
  const widths = COLUMNS.map((_, column) => Math.max(...rows.map(row => row[column]?.length ?? 0)))
  return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd()).join('\n')
}

/** Formats a Markdown table. */
export function formatMarkdown (lines: readonly Measurement[]): string {
  const row = (cells: readonly string[]): string => `| ${cells.join(' | ')} |`
  return [row(COLUMNS), row(['---', '---', '---', '---:', '---:']), ...lines.map(line => row(cellsOf(line)))].join('\n')
}
