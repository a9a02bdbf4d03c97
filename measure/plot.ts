/**
 * Program: generates the table in `docs/measurements.md`, between its markers, and
 * the chart `docs/measurements.svg` from a file of measurements.
 *
 * @example
 * node dist/measure/plot.js measure-out.jsonl 'npm run measure -- --out measure-out.jsonl, idle machine'
 */
import { readFileSync, writeFileSync } from 'node:fs'
import { drawChart } from './chart.js'
import type { Measurement } from './measurement.js'
import { replaceFigures } from './page.js'
import { formatMarkdown } from './table.js'

const PAGE = 'docs/measurements.md'
const CHART = 'docs/measurements.svg'
const EXIT_USAGE = 2

const [file, source] = process.argv.slice(2)
if (file === undefined || source === undefined) {
  console.error('usage: plot.js FILE SOURCE   (SOURCE: the command of the run and the state of the machine)')
  process.exit(EXIT_USAGE)
}
const lines = readFileSync(file, 'utf8').split('\n').filter(Boolean).map(text => JSON.parse(text) as Measurement)
writeFileSync(PAGE, replaceFigures(readFileSync(PAGE, 'utf8'), `Run: ${source}.\n\n${formatMarkdown(lines)}`))
writeFileSync(CHART, drawChart(lines))
