/**
 * Prints the measured values and the slopes that docs/CAPACITY.md is computed from, one JSON object per line.
 *
 * @example
 * node dist/measure/capacity/main.js                 // every measurement
 * node dist/measure/capacity/main.js --only links    // one measurement
 * node dist/measure/capacity/main.js --quick         // small sizes, as a smoke test
 */
import { availableParallelism, loadavg } from 'node:os'
import { parseArgs } from 'node:util'
import { measurements } from './all-measurements.js'
import { runMeasurement } from './measurement.js'

const { values } = parseArgs({ options: { only: { type: 'string' }, quick: { type: 'boolean', default: false } } })
const selected = measurements.filter(({ name }) => values.only === undefined || name === values.only)
const printLine = (line: object): void => { process.stdout.write(JSON.stringify(line) + '\n') }

if (selected.length === 0) {
  process.stderr.write(`unknown measurement "${values.only}"; known measurements: ${measurements.map(({ name }) => name).join(', ')}\n`)
  process.exitCode = 2
}
for (const measurement of selected) {
  // A high load average means that other work ran on the machine during the measurement.
  printLine({ measurement: measurement.name, node: process.version, cores: availableParallelism(), load1: Number(loadavg()[0]?.toFixed(1)) })
  for await (const line of runMeasurement(measurement, values.quick ? measurement.quickSizes : measurement.sizes)) printLine(line)
}
