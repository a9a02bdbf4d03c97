import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Measurement } from './measurement.js'
import { measureOverload } from './overload.js'

const overload = suite('overload measurements')
const SEED = 20_260_104
const DURATION_MS = 10_000
const MAX_AMPLIFICATION = 1.1

const lines = [...measureOverload({ seed: SEED, durationMs: DURATION_MS })]
const find = (measure: string): Measurement => {
  const line = lines.find(line => line.measure === measure)
  if (line === undefined) throw new Error(`no line for ${measure}`)
  return line
}

overload('the retry amplification in a full outage stays within the design goal', () => {
  // Guards against retry storms during an outage.
  const { design, baseline } = find('retryAmplification')
  assert.ok(design > 1 && design <= MAX_AMPLIFICATION, String(design))
  assert.is(baseline, 3)
})

overload('at twice the capacity, more requests are answered in time than with an unbounded queue', () => {
  // Guards against slots that are used for requests whose deadline has passed.
  const { design, baseline } = find('answeredShare')
  assert.ok(design > baseline, `${design} against ${baseline}`)
  assert.ok(design <= 1 && baseline >= 0)
})

overload('the same seed gives the same figures', () => {
  assert.equal([...measureOverload({ seed: SEED, durationMs: DURATION_MS })], lines)
})

overload.run()
