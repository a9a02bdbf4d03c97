import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { negLogPValue } from './fisher-exact.js'

const fisherSuite = suite('Fisher\'s exact test')

/**
 * Enumerates all samples of `attempts` from a population with `failures` failures, and returns the fraction of them
 * that contains at least `least` failures.
 */
function tailByEnumeration (attempts: number, population: number, failures: number, least: number): number {
  let matches = 0
  let samples = 0
  const choose = (from: number, left: number, found: number): void => {
    if (left === 0) {
      samples += 1
      if (found >= least) matches += 1
      return
    }
    for (let index = from; index <= population - left; index++) choose(index + 1, left - 1, found + (index < failures ? 1 : 0))
  }
  choose(0, attempts, 0)
  return matches / samples
}

// Guards against an underestimated p-value, which causes false ejections in proportion to the error.
for (const [all, bad, others, othersBad] of [[4, 4, 10, 0], [5, 3, 9, 2], [3, 0, 6, 2], [6, 2, 4, 4], [4, 1, 4, 0], [1, 1, 12, 5]] as const) {
  fisherSuite(`${bad} failures of ${all} against ${othersBad} of ${others}`, () => {
    const found = negLogPValue({ good: all - bad, bad }, { good: others - othersBad, bad: othersBad })
    const expected = -Math.log(tailByEnumeration(all, all + others, bad + othersBad, bad))
    assert.ok(Math.abs(found - expected) < 1e-9, `${found}, expected ${expected}`)
  })
}

fisherSuite('the p-value is 1 without failures, or without attempts at other targets', () => {
  assert.is(negLogPValue({ good: 9, bad: 0 }, { good: 9, bad: 3 }), 0)
  assert.ok(negLogPValue({ good: 0, bad: 9 }, { good: 0, bad: 0 }) < 1e-9)
})

fisherSuite.run()
