import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createLoadMeter, type EventLoopTime } from './load-meter.js'

const test = suite('load meter')

const at = (idleMs: number, activeMs: number): EventLoopTime => ({ idleMs, activeMs })

const cases: ReadonlyArray<readonly [name: string, times: readonly EventLoopTime[], utilisation: number]> = [
  ['a single sample gives no utilisation', [at(100, 900)], 0],
  ['an idle event loop', [at(0, 10), at(250, 10)], 0],
  ['a busy event loop', [at(10, 0), at(10, 250)], 1],
  ['a partly busy event loop', [at(0, 0), at(150, 50)], 0.25],
  ['samples before the window do not count', [at(0, 0), at(0, 1000), at(100, 1000), at(200, 1000), at(300, 1000), at(400, 1000)], 0]
]

for (const [name, times, utilisation] of cases) {
  test(name, () => {
    const queue = [...times]
    const meter = createLoadMeter(() => queue.shift() ?? at(0, 0))
    for (let i = 0; i < times.length; i++) meter.sample(0)
    assert.is(meter.utilisation(), utilisation)
  })
}

const requestCases: ReadonlyArray<readonly [name: string, framesPerSecond: number, requestCores: number]> = [
  ['without messages, all work counts', 0, 0.2],
  ['messages between VMs do not count', 500, 0.1],
  ['the result is never negative', 5000, 0]
]

for (const [name, framesPerSecond, requestCores] of requestCases) {
  test(`processor time for requests: ${name}`, () => {
    const queue = [at(0, 0), at(200, 800)]
    const meter = createLoadMeter(() => queue.shift() ?? at(0, 0))
    meter.sample(0)
    meter.sample(framesPerSecond)
    assert.is(Number(meter.requestCores(0.25).toFixed(6)), requestCores)
  })
}

test.run()
