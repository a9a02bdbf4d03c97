import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createRetryBudget } from './retry-budget.js'

const test = suite('retry budget')
const LIMITS = { ratio: 0.2, windowMs: 10_000, slack: 64 } as const
const SEED = 20_261_204

test('without requests, each VM gets its share of the slack', () => {
  const budget = createRetryBudget(() => LIMITS)
  let taken = 0
  while (budget.tryWithdraw(1 / 8, 0)) taken++
  assert.is(taken, 6)
})

test('retries are available again after the window', () => {
  const budget = createRetryBudget(() => LIMITS)
  while (budget.tryWithdraw(1 / 8, 0));
  assert.is(budget.tryWithdraw(1 / 8, 9999), false)
  assert.is(budget.tryWithdraw(1 / 8, 10_001), true)
})

/** Checks the limit of all VMs together in every window of a random schedule. */
test(`all VMs together stay within the limit (seed ${SEED})`, () => {
  const steps = fc.array(fc.record({ vm: fc.nat(7), pauseMs: fc.nat(400), requests: fc.nat(3), retries: fc.nat(6) }), { maxLength: 300 })
  fc.assert(fc.property(steps, schedule => {
    const budgets = Array.from({ length: 8 }, () => createRetryBudget(() => LIMITS))
    const requests: number[] = []
    const retries: number[] = []
    let now = 0
    for (const { vm, pauseMs, requests: count, retries: desiredRetries } of schedule) {
      now += pauseMs
      const budget = budgets[vm]
      for (let i = 0; i < count; i++) {
        budget?.deposit(now)
        requests.push(now)
      }
      for (let i = 0; i < desiredRetries; i++) if (budget?.tryWithdraw(1 / 8, now) === true) retries.push(now)
    }
    const within = (times: readonly number[], end: number): number =>
      times.filter(at => at > end - LIMITS.windowMs && at <= end).length
    for (const end of retries) {
      assert.ok(within(retries, end) <= LIMITS.ratio * within(requests, end) + LIMITS.slack)
    }
  }), { seed: SEED, numRuns: 300 })
})

test.run()
