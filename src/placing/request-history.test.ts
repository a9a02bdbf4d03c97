import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createRequestHistory, type RequestHistory } from './request-history.js'

const test = suite('request history')

interface Case {
  readonly name: string
  readonly apply: (history: RequestHistory) => void
  readonly now: number
  readonly isFailing?: boolean
  readonly hasRecentIdempotent?: boolean
  readonly answersPerMs?: number
}

const repeat = (count: number, act: () => void): void => { for (let index = 0; index < count; index++) act() }

const cases: readonly Case[] = [
  { name: 'an empty history', apply: () => {}, now: 0 },
  { name: 'ten answers give a rate', apply: history => repeat(10, () => history.recordAnswer(100)), now: 200, answersPerMs: 10 / 2000 },
  { name: 'nine answers give no rate', apply: history => repeat(9, () => history.recordAnswer(100)), now: 200 },
  { name: 'answers outside the window do not count', apply: history => repeat(20, () => history.recordAnswer(100)), now: 2200 },
  { name: 'a single failure does not make a service failing', apply: history => history.recordFailure(100), now: 100 },
  { name: 'three failures of twenty requests make a service failing', apply: history => { repeat(17, () => history.recordAnswer(100)); repeat(3, () => history.recordFailure(100)) }, now: 100, isFailing: true, answersPerMs: 17 / 2000 },
  { name: 'failures outside the window do not count', apply: history => repeat(5, () => history.recordFailure(100)), now: 3200 },
  { name: 'a recent idempotent request is remembered', apply: history => history.recordRequest(true, 100), now: 3100, hasRecentIdempotent: true },
  { name: 'an idempotent request outside the window does not count', apply: history => history.recordRequest(true, 100), now: 3200 },
  { name: 'a non-idempotent request does not count as an idempotent one', apply: history => history.recordRequest(false, 100), now: 100 }
]

for (const { name, apply, now, isFailing = false, hasRecentIdempotent = false, answersPerMs } of cases) {
  test(name, () => {
    const history = createRequestHistory()
    apply(history)
    assert.equal([history.isFailing(now), history.hasRecentIdempotent(now), history.answersPerMs(now)], [isFailing, hasRecentIdempotent, answersPerMs])
  })
}

test.run()
