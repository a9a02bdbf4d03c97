import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createRetryBudget } from './index.js'

const budgetSuite = suite('retry budget')
const SEED = 20_260_102

budgetSuite('a new budget allows no retry', () => {
  // Guards against a burst of retries by every VM that restarts in an outage.
  assert.is(createRetryBudget().tryWithdraw(), false)
})

budgetSuite('ten first attempts allow one retry', () => {
  const budget = createRetryBudget()
  for (let i = 0; i < 9; i++) budget.deposit()
  assert.is(budget.tryWithdraw(), false)
  budget.deposit()
  assert.equal([budget.tryWithdraw(), budget.tryWithdraw()], [true, false])
})

budgetSuite('at most ten tokens are saved', () => {
  const budget = createRetryBudget()
  for (let i = 0; i < 1000; i++) budget.deposit()
  assert.is(budget.tokens(), 10)
  const taken = Array.from({ length: 20 }, () => budget.tryWithdraw()).filter(Boolean).length
  assert.is(taken, 10)
})

budgetSuite('retries stay within a tenth of the first attempts over any sequence', () => {
  // Guards against accumulated rounding errors, and against a negative number of tokens.
  fc.assert(fc.property(fc.array(fc.boolean(), { maxLength: 400 }), steps => {
    const budget = createRetryBudget()
    let attempts = 0
    let retries = 0
    for (const isFirstAttempt of steps) {
      if (isFirstAttempt) {
        attempts += 1
        budget.deposit()
      } else if (budget.tryWithdraw()) {
        retries += 1
      }
      assert.ok(retries * 10 <= attempts)
      assert.ok(budget.tokens() >= 0 && budget.tokens() <= 10)
    }
  }), { seed: SEED, numRuns: 500 })
})

budgetSuite.run()
