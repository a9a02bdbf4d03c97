import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { measurements } from './all-measurements.js'
import { runMeasurement, type ValueLine, type OutputLine, type SlopeLine } from './measurement.js'

const capacity = suite('capacity measurements')

const isValueLine = (line: OutputLine): line is ValueLine => 'value' in line
const isSlopeLine = (line: OutputLine): line is SlopeLine => 'slope' in line

for (const measurement of measurements) {
  // Guards against a measurement that ends early or yields values that cannot be fitted.
  capacity(`${measurement.name} yields every measure at every size, and its slope`, async () => {
    const lines: OutputLine[] = []
    for await (const line of runMeasurement(measurement, measurement.quickSizes)) lines.push(line)
    const valueLines = lines.filter(isValueLine)
    const slopeLines = lines.filter(isSlopeLine)
    assert.ok(slopeLines.length > 0)
    assert.is(valueLines.length, slopeLines.length * measurement.quickSizes.length)
    for (const { measure } of slopeLines) {
      assert.equal(valueLines.filter(line => line.measure === measure).map(({ size }) => size), measurement.quickSizes)
    }
    for (const { value, unit } of valueLines) assert.ok(Number.isFinite(value) && unit !== '')
    for (const { slope, fixed, worstDeviation } of slopeLines) assert.ok([slope, fixed, worstDeviation].every(Number.isFinite))
  })
}

// Guards against a slope that is fitted to fewer sizes than docs/CAPACITY.md states.
capacity('each measurement has at least three sizes and a unique name', () => {
  assert.is(new Set(measurements.map(({ name }) => name)).size, measurements.length)
  for (const { sizes, quickSizes } of measurements) {
    assert.ok(sizes.length >= 3 && quickSizes.length >= 3)
  }
})

capacity.run()
