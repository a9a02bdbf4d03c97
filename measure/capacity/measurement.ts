/** Runs a capacity measurement at several sizes and fits the growth of each measure. */
import { fitLine } from './slope.js'

/** One measured value at one size. */
export interface MeasuredValue {
  readonly measure: string
  /** Unit of the value, for example `B` or `us`. */
  readonly unit: string
  readonly value: number
}

/** A measurement that is repeated at several sizes. */
export interface Measurement {
  readonly name: string
  /** Unit of the size, for example `targets`. */
  readonly by: string
  /** At least three sizes; the largest is close to the expected fleet where a single process has enough memory for it. */
  readonly sizes: readonly number[]
  /** Small sizes for tests; together they run within 2 s. */
  readonly quickSizes: readonly number[]
  readonly run: (size: number) => Promise<readonly MeasuredValue[]> | readonly MeasuredValue[]
}

/** Output line with a measured value at one size. */
export interface ValueLine extends MeasuredValue {
  readonly measurement: string
  readonly by: string
  readonly size: number
}

/** Output line with the growth of a measure by size. */
export interface SlopeLine {
  readonly measurement: string
  readonly by: string
  readonly measure: string
  /** Unit of the slope, for example `B per targets`. */
  readonly unit: string
  readonly slope: number
  /** Value at size 0 on the fitted line. */
  readonly fixed: number
  /** Largest deviation of a measured value from the line, as a share of the value. */
  readonly worstDeviation: number
}

/** One output line. */
export type OutputLine = ValueLine | SlopeLine

const SIGNIFICANT_DIGITS = 4

/** Rounds to four significant digits, more than repeated runs agree on. */
function round (value: number): number {
  return Number(value.toPrecision(SIGNIFICANT_DIGITS))
}

function fitSlopes ({ name, by }: Measurement, valueLines: readonly ValueLine[]): readonly SlopeLine[] {
  const measures = [...new Set(valueLines.map(({ measure }) => measure))]
  return measures.map(measure => {
    const matching = valueLines.filter(valueLine => valueLine.measure === measure)
    const fitted = fitLine(matching.map(({ size, value }) => ({ size, value })))
    return {
      measurement: name,
      by,
      measure,
      unit: `${matching[0]?.unit ?? ''} per ${by}`,
      slope: round(fitted.slope),
      fixed: round(fitted.fixed),
      worstDeviation: round(fitted.worstDeviation)
    }
  })
}

/**
 * Runs a measurement at the given sizes in sequence. Yields each value, then the slope of each measure.
 *
 * @example
 * for await (const line of runMeasurement(routeTable, routeTable.sizes)) console.log(JSON.stringify(line))
 */
export async function * runMeasurement (measurement: Measurement, sizes: readonly number[]): AsyncGenerator<OutputLine> {
  const { name, by } = measurement
  const valueLines: ValueLine[] = []
  for (const size of sizes) {
    for (const { measure, unit, value } of await measurement.run(size)) {
      const line: ValueLine = { measurement: name, by, size, measure, unit, value: round(value) }
      valueLines.push(line)
      yield line
    }
  }
  yield * fitSlopes(measurement, valueLines)
}
