import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { expectedWaitMs, inOrder, returnAfterMs, shouldWait, type Waiting } from './line.js'

const test = suite('line')

const NOW = 1000
/** Ten requests end each second. */
const RATE = 0.01
const request = (over: Partial<Waiting> = {}): Waiting => ({ urgency: 1, objectiveAt: NOW + 800, deadlineAt: NOW + 4000, usualMs: 200, ...over })

const waits: ReadonlyArray<readonly [name: string, request: Waiting, ahead: number, rate: number, expected: boolean]> = [
  ['a request waits while its objective can be kept', request(), 2, RATE, true],
  ['it waits for a late answer when too many are ahead for its objective', request(), 4, RATE, true],
  ['it is refused at once when too many are ahead for its deadline', request(), 16, RATE, false],
  ['a request that can only be late waits for its deadline', request({ objectiveAt: NOW + 100 }), 14, RATE, true],
  ['it does not wait for more than a part of its time: others go before it', request({ objectiveAt: NOW + 100 }), 20, RATE, false],
  ['hardly any time left for the objective is no reason to refuse', request({ objectiveAt: NOW + 310 }), 1, RATE, true],
  ['a request that cannot be answered in time is refused', request({ objectiveAt: NOW, deadlineAt: NOW + 150 }), 0, RATE, false],
  ['a service of which no request ends lets nobody wait', request(), 0, 0, false]
]

for (const [name, waiting, ahead, rate, expected] of waits) {
  test(name, () => assert.is(shouldWait(waiting, expectedWaitMs(ahead, rate), NOW), expected))
}

interface Named extends Waiting {
  readonly name: string
}

const orders: ReadonlyArray<readonly [name: string, requests: readonly Named[], order: string]> = [
  ['the more urgent request goes first', [{ name: 'b', ...request() }, { name: 'a', ...request({ urgency: 0, objectiveAt: NOW + 900 }) }], 'ab'],
  ['then the one whose time ends first', [{ name: 'b', ...request() }, { name: 'a', ...request({ objectiveAt: NOW + 700 }) }], 'ab'],
  ['a request that is late anyway makes no other one late', [{ name: 'b', ...request({ urgency: 0, objectiveAt: NOW + 250 }) }, { name: 'a', ...request() }], 'ab'],
  ['among late ones the more urgent goes first', [{ name: 'b', ...request({ objectiveAt: NOW }) }, { name: 'a', ...request({ urgency: 0, objectiveAt: NOW + 100 }) }], 'ab']
]

for (const [name, requests, order] of orders) {
  test(name, () => assert.is(inOrder(requests, NOW).map(each => each.name).join(''), order))
}

test('those refused together come back at different times, after about the time of the line', () => {
  assert.is(returnAfterMs(500, () => 0), 250)
  assert.is(returnAfterMs(500, () => 0.999), 750)
  assert.is(returnAfterMs(10_000, () => 0.5), 1000)
})

/** Twice the load that the slots can serve for 10 s: how many answers are on time. */
test('in a burst of twice the capacity, most of what the slots can serve is on time', () => {
  const SERVICE_MS = 200
  const SLOTS = 4
  const capacity = 10_000 / SERVICE_MS * SLOTS
  let waiting: Waiting[] = []
  let free = SLOTS
  const ends: number[] = []
  const ended: number[] = []
  let onTime = 0
  for (let now = 0; now < 10_000; now += 5) {
    while ((ends[0] ?? Infinity) <= now) {
      ended.push(ends.shift() as number)
      free++
    }
    if (now % 25 === 0) {
      const arrived = request({ objectiveAt: now + 800, deadlineAt: now + 4000 })
      const rate = ended.filter(at => now - at <= 2000).length / 2000
      const ahead = waiting.filter(other => inOrder([arrived, other], now)[0] === other).length
      if (free > 0 || shouldWait(arrived, expectedWaitMs(ahead, rate), now)) waiting.push(arrived)
    }
    waiting = waiting.filter(({ deadlineAt }) => deadlineAt - SERVICE_MS > now)
    for (const next of inOrder(waiting, now)) {
      if (free === 0) break
      free--
      waiting = waiting.filter(other => other !== next)
      ends.push(now + SERVICE_MS)
      if (now + SERVICE_MS <= next.objectiveAt) onTime++
    }
  }
  assert.ok(onTime >= 0.9 * capacity, `${onTime} of ${capacity}`)
})

test.run()
