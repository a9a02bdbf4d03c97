import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { goesBefore, returnAfterMs, shouldWait, type Flow, type Waiting } from './line.js'

const test = suite('line')

const NOW = 1000
/** Ten requests end each second; an answer takes 200 ms. */
const flow: Flow = { endsPerMs: 0.01, usualMs: 200 }
const request = (over: Partial<Waiting> = {}): Waiting => ({ urgency: 1, since: NOW, objectiveAt: NOW + 800, deadlineAt: NOW + 4000, ...over })

const waits: ReadonlyArray<readonly [name: string, request: Waiting, ahead: number, expected: boolean]> = [
  ['a request waits while its objective can be kept', request(), 2, true],
  ['it is refused at once when too many are ahead', request(), 4, false],
  ['a request that can only be late waits for its deadline', request({ objectiveAt: NOW + 100 }), 4, true],
  ['a request that cannot be answered in time is refused', request({ objectiveAt: NOW, deadlineAt: NOW + 150 }), 0, false]
]

for (const [name, waiting, ahead, expected] of waits) {
  test(name, () => assert.is(shouldWait(waiting, ahead, flow, NOW), expected))
}

test('a service without any flow lets nobody wait', () => {
  assert.is(shouldWait(request(), 0, { endsPerMs: 0, usualMs: 200 }, NOW), false)
})

test('the more urgent request goes first, then the one whose time ends first', () => {
  assert.ok(goesBefore(request({ urgency: 0, objectiveAt: NOW + 900 }), request()))
  assert.ok(goesBefore(request({ objectiveAt: NOW + 100 }), request()))
  assert.not.ok(goesBefore(request({ urgency: 2, objectiveAt: NOW }), request()))
})

test('those refused together come back at different times, after about the time of the line', () => {
  assert.is(returnAfterMs(4, flow, () => 0), 250)
  assert.is(returnAfterMs(4, flow, () => 0.999), 750)
  assert.is(returnAfterMs(100, flow, () => 0.5), 1000)
})

test.run()
