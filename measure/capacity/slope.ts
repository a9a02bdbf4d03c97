/** Fits a straight line to measured values by weighted least squares. */

/** Measured value at one size. */
export interface Point {
  readonly size: number
  readonly value: number
}

/** The line `fixed + slope * size`. */
export interface FittedLine {
  readonly slope: number
  readonly fixed: number
  /** Largest deviation of a point from the line, as a share of the point's value. */
  readonly worstDeviation: number
}

/** Weights a point by its inverse square, because sizes span a factor of 10 or more and relative errors matter. */
function weightOf ({ value }: Point): number {
  return value === 0 ? 1 : 1 / value ** 2
}

/**
 * Fits the line with the least sum of squared relative deviations.
 *
 * @returns slope 0 for fewer than two sizes
 *
 * @example
 * fitLine([{ size: 1, value: 12 }, { size: 2, value: 14 }]) // { slope: 2, fixed: 10, worstDeviation: 0 }
 */
export function fitLine (points: readonly Point[]): FittedLine {
  const weightedSum = (select: (point: Point) => number): number =>
    points.reduce((total, point) => total + weightOf(point) * select(point), 0)
  const totalWeight = weightedSum(() => 1)
  const meanSize = weightedSum(({ size }) => size) / totalWeight
  const meanValue = weightedSum(({ value }) => value) / totalWeight
  const variance = weightedSum(({ size }) => (size - meanSize) ** 2)
  const slope = variance === 0 ? 0 : weightedSum(({ size, value }) => (size - meanSize) * (value - meanValue)) / variance
  const fixed = meanValue - slope * meanSize
  const deviations = points.map(({ size, value }) =>
    value === 0 ? 0 : Math.abs(fixed + slope * size - value) / Math.abs(value))
  return { slope, fixed, worstDeviation: Math.max(0, ...deviations) }
}
