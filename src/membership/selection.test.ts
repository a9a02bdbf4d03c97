import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { allBits, applyChange, createSelection, deselect, encodeChange, FULL_SELECTION, forEachSelected, isSelected, nextNumber } from './selection.js'

const selection = suite('selection of roster entries')

const SEED = 20_263

function bitsWithout (count: number, excluded: readonly number[]): Uint8Array {
  const bits = allBits(count)
  for (const index of excluded) deselect(bits, index % count)
  return bits
}

// Guards against a peer that assigns the decoded ages to the wrong VMs.
selection(`a sequence of changes gives the peer the same selection as a plain set (seed ${SEED})`, () => {
  const step = fc.record({ more: fc.nat({ max: 40 }), removed: fc.array(fc.nat({ max: 5000 }), { maxLength: 60 }) })
  fc.assert(fc.property(fc.array(step, { minLength: 1, maxLength: 12 }), steps => {
    let current = FULL_SELECTION.bits
    let count = 1
    for (const { more, removed } of steps) {
      count += more
      const next = bitsWithout(count, removed)
      const applied = applyChange(current, encodeChange(current, next))
      assert.equal(applied, next)
      current = next
      const excluded = new Set(removed.map(index => index % count))
      const expected = Array.from({ length: count + 20 }, (_, index) => index).filter(index => !excluded.has(index))
      const visited: number[] = []
      forEachSelected(createSelection(1, current), count + 20, index => { visited.push(index) })
      assert.equal(visited, expected)
    }
  }), { seed: SEED })
})

selection('a small change of a large selection has a short encoding', () => {
  const before = allBits(6900)
  const after = allBits(6900)
  deselect(after, 6000)
  assert.is(encodeChange(before, after).length, 5)
  assert.is(isSelected(after, 6000), false)
  assert.is(isSelected(after, 9000), true)
})

const malformed: ReadonlyArray<readonly [string, readonly number[]]> = [
  ['nothing', []],
  ['an unknown form', [7, 1, 0, 255]],
  ['fewer bits than stated', [0, 2, 0, 255]],
  ['a selection that shrinks', [1, 1, 0]],
  ['half an index', [1, 2, 0, 3]],
  ['an index beyond the bits', [1, 2, 0, 16, 0]]
]

for (const [name, change] of malformed) {
  // Guards against a message that makes the sender of the roster fail or select the wrong entries.
  selection(`${name} is rejected`, () => {
    assert.is(applyChange(allBits(16), Uint8Array.from(change)), undefined)
  })
}

selection('no later selection has the number of the initial one', () => {
  let number = FULL_SELECTION.number
  for (let i = 0; i < 600; i++) {
    number = nextNumber(number)
    assert.ok(number >= 1 && number <= 255)
  }
})

selection.run()
