import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { median } from './resource-usage.js'
import { fitLine, type Point } from './slope.js'

const slope = suite('capacity slope')

interface Case {
  readonly name: string
  readonly points: readonly Point[]
  readonly slope: number
  readonly fixed: number
  readonly worstDeviation: number
}

const point = ([size, value]: readonly [number, number]): Point => ({ size, value })

const cases: readonly Case[] = [
  { name: 'a line through the origin', points: ([[10, 50], [100, 500], [1000, 5000]] as const).map(point), slope: 5, fixed: 0, worstDeviation: 0 },
  { name: 'a line with an intercept', points: ([[1, 12], [2, 14], [50, 110]] as const).map(point), slope: 2, fixed: 10, worstDeviation: 0 },
  { name: 'a constant', points: ([[1, 7], [10, 7], [100, 7]] as const).map(point), slope: 0, fixed: 7, worstDeviation: 0 },
  { name: 'a falling line', points: ([[1, 30], [2, 20], [3, 10]] as const).map(point), slope: -10, fixed: 40, worstDeviation: 0 },
  { name: 'a single size', points: [{ size: 5, value: 3 }], slope: 0, fixed: 3, worstDeviation: 0 },
  { name: 'zeros', points: ([[1, 0], [2, 0], [3, 0]] as const).map(point), slope: 0, fixed: 0, worstDeviation: 0 }
]

for (const { name, points, ...expected } of cases) {
  // Guards against capacity figures that are computed from a wrong slope.
  slope(`fits ${name}`, () => {
    const line = fitLine(points)
    for (const key of ['slope', 'fixed', 'worstDeviation'] as const) {
      assert.ok(Math.abs(line[key] - expected[key]) < 1e-9, `${key} is ${line[key]}, not ${expected[key]}`)
    }
  })
}

// Guards against a quadratic cost that is reported as linear.
slope('a quadratic cost appears as a large deviation', () => {
  const line = fitLine([10, 100, 1000].map(size => ({ size, value: size ** 2 })))
  assert.ok(line.worstDeviation > 0.5, `${line.worstDeviation}`)
})

slope('the median is the middle value, or the lower of two middle values', () => {
  assert.is(median([9, 1, 5]), 5)
  assert.is(median([4, 1, 3, 2]), 2)
})

slope.run()
