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
  readonly throughputPerMs?: number
}

const repeat = (count: number, act: () => void): void => { for (let index = 0; index < count; index++) act() }

const cases: readonly Case[] = [
  { name: 'an empty history gives no throughput and does not count as failing', apply: () => {}, now: 0 },
  { name: 'ten successes are enough to calculate the throughput', apply: history => repeat(10, () => history.recordSuccess(100)), now: 200, throughputPerMs: 10 / 2000 },
  { name: 'nine successes are too few to calculate the throughput', apply: history => repeat(9, () => history.recordSuccess(100)), now: 200 },
  { name: 'successes outside the window do not count', apply: history => repeat(20, () => history.recordSuccess(100)), now: 2200 },
  { name: 'a service does not count as failing after a single failure', apply: history => history.recordFailure(100), now: 100 },
  { name: 'a service counts as failing after three failures in twenty requests', apply: history => { repeat(17, () => history.recordSuccess(100)); repeat(3, () => history.recordFailure(100)) }, now: 100, isFailing: true, throughputPerMs: 17 / 2000 },
  { name: 'failures outside the window do not count', apply: history => repeat(5, () => history.recordFailure(100)), now: 3200 },
  { name: 'a recent idempotent request is remembered', apply: history => history.recordRequest(true, 100), now: 3100, hasRecentIdempotent: true },
  { name: 'an idempotent request outside the window does not count', apply: history => history.recordRequest(true, 100), now: 3200 },
  { name: 'a non-idempotent request does not count as an idempotent one', apply: history => history.recordRequest(false, 100), now: 100 }
]

for (const { name, apply, now, isFailing = false, hasRecentIdempotent = false, throughputPerMs } of cases) {
  test(name, () => {
    const history = createRequestHistory()
    apply(history)
    assert.equal([history.isFailing(now), history.hasRecentIdempotent(now), history.throughputPerMs(now)], [isFailing, hasRecentIdempotent, throughputPerMs])
  })
}

test.run()
