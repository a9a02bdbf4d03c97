import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createRetryBudget } from './retry-budget.js'

const test = suite('retry budget')
const ALLOWANCE = { ratio: 0.2, windowMs: 10_000, slack: 64 } as const
const SEED = 20_261_204

test('without requests, each VM has its part of the slack', () => {
  const budget = createRetryBudget(() => ALLOWANCE)
  let taken = 0
  while (budget.take(8, 0)) taken++
  assert.is(taken, 5)
})

test('what was taken comes back when the window has passed', () => {
  const budget = createRetryBudget(() => ALLOWANCE)
  while (budget.take(8, 0));
  assert.is(budget.take(8, 9999), false)
  assert.is(budget.take(8, 10_001), true)
})

/** The bound of all VMs in every window, whatever they do. */
test(`all VMs together stay within the bound (seed ${SEED})`, () => {
  const steps = fc.array(fc.record({ vm: fc.nat(7), pauseMs: fc.nat(400), requests: fc.nat(3), repeats: fc.nat(6) }), { maxLength: 300 })
  fc.assert(fc.property(steps, schedule => {
    const budgets = Array.from({ length: 8 }, () => createRetryBudget(() => ALLOWANCE))
    const requests: number[] = []
    const repeats: number[] = []
    let now = 0
    for (const { vm, pauseMs, requests: count, repeats: wanted } of schedule) {
      now += pauseMs
      const budget = budgets[vm]
      for (let i = 0; i < count; i++) {
        budget?.earn(now)
        requests.push(now)
      }
      for (let i = 0; i < wanted; i++) if (budget?.take(8, now) === true) repeats.push(now)
    }
    const within = (times: readonly number[], end: number): number =>
      times.filter(at => at > end - ALLOWANCE.windowMs && at <= end).length
    for (const end of repeats) {
      assert.ok(within(repeats, end) <= ALLOWANCE.ratio * within(requests, end) + ALLOWANCE.slack)
    }
  }), { seed: SEED, numRuns: 300 })
})

test.run()
