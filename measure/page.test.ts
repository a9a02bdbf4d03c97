import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { barLength, drawChart } from './chart.js'
import type { Measurement } from './measurement.js'
import { replaceFigures } from './page.js'

const page = suite('page of measurements')

const line = (design: number, baseline: number): Measurement => ({ scenario: 's', measure: 'm', unit: 'ms', design, baseline })

page('new figures replace the old ones and keep the text', () => {
  // Guards against pages that contain the figures of several runs.
  const text = 'a\n<!-- figures: begin -->\nold\n<!-- figures: end -->\nz\n'
  const once = replaceFigures(text, 'new')
  assert.is(once, 'a\n<!-- figures: begin -->\n\nnew\n\n<!-- figures: end -->\nz\n')
  assert.is(replaceFigures(once, 'new'), once)
})

page('a page without markers is rejected', () => {
  // Guards against figures that are silently dropped.
  assert.throws(() => replaceFigures('text', 'new'), /needs the lines/)
})

const bars: ReadonlyArray<{ readonly title: string, readonly value: number, readonly line: Measurement, readonly expected: number }> = [
  { title: 'linear', value: 1, line: line(1, 2), expected: 0.5 },
  { title: 'logarithmic', value: 1, line: line(1, 100), expected: 0.5 },
  { title: 'zero', value: 0, line: line(0, 100), expected: 0 },
  { title: 'both zero', value: 0, line: line(0, 0), expected: 0 },
  { title: 'below zero', value: -1, line: line(-1, 2), expected: 0 }
]
for (const { title, value, line, expected } of bars) {
  // Guards against bars of a wrong or non-finite length.
  page(`length of a bar: ${title}`, () => assert.is(barLength(value, line), expected))
}

page('every line has two bars', () => {
  // Guards against charts without the bars of the design or the baseline.
  const bars = drawChart([line(1, 2), line(3, 4)]).match(/height="13"/g)
  assert.is(bars?.length, 4)
})

page.run()
