import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createCircuitBreaker, type CircuitBreaker, type CallOutcome } from './circuit-breaker.js'

const breaker = suite('circuit breaker of the platform client')

const CONCURRENCY = 8

/** Makes calls one after the other and returns the number of admitted calls. */
function callAll (circuitBreaker: CircuitBreaker, outcomes: readonly CallOutcome[], now: number): number {
  return outcomes.filter(outcome => {
    const permit = circuitBreaker.admit(now)
    if (permit !== undefined) circuitBreaker.record(permit, outcome, now)
    return permit !== undefined
  }).length
}

const failed = (count: number): readonly CallOutcome[] => Array.from({ length: count }, () => 'failed')

interface Case {
  readonly name: string
  readonly outcomes: readonly CallOutcome[]
  readonly admitted: number
}

const cases: readonly Case[] = [
  // Guards against a breaker that opens after a few lost responses.
  { name: 'four consecutive failures do not open the breaker', outcomes: failed(4), admitted: 4 },
  { name: 'five consecutive failures open the breaker', outcomes: failed(8), admitted: 5 },
  { name: 'a response resets the failure count', outcomes: [...failed(4), 'answered', ...failed(4)], admitted: 9 },
  // Guards against callers with short deadlines that open the breaker of a healthy platform.
  { name: 'abandoned calls do not count as failures', outcomes: Array.from({ length: 9 }, () => 'given-up'), admitted: 9 }
]

for (const { name, outcomes, admitted } of cases) {
  breaker(name, () => {
    assert.is(callAll(createCircuitBreaker({ concurrency: CONCURRENCY }), outcomes, 0), admitted)
  })
}

// Guards against many concurrent calls to a platform that has just recovered.
breaker('after the backoff one probe is admitted, and the concurrency doubles with each response', () => {
  const circuitBreaker = createCircuitBreaker({ concurrency: CONCURRENCY, random: () => 0 })
  callAll(circuitBreaker, failed(5), 0)
  assert.is(circuitBreaker.admit(99), undefined)
  assert.is(circuitBreaker.admit(100), 'probe')
  assert.is(circuitBreaker.admit(100), undefined)
  const limits = [circuitBreaker.concurrencyLimit()]
  circuitBreaker.record('probe', 'answered', 101)
  for (let i = 0; i < 4; i++) {
    limits.push(circuitBreaker.concurrencyLimit())
    callAll(circuitBreaker, ['answered'], 102)
  }
  assert.equal(limits, [1, 2, 4, 8, 8])
})

// Guards against a backoff that grows without bound, and against VMs that probe in step.
breaker('the backoff doubles up to 2 s, and half of it is random', () => {
  const backoffsOf = (random: number): readonly number[] => {
    const circuitBreaker = createCircuitBreaker({ concurrency: CONCURRENCY, random: () => random })
    let now = 0
    return Array.from({ length: 7 }, (_, i) => {
      callAll(circuitBreaker, failed(i === 0 ? 5 : 1), now)
      const backoffMs = circuitBreaker.backoffLeftMs(now)
      now += backoffMs
      return backoffMs
    })
  }
  assert.equal(backoffsOf(0), [100, 200, 400, 800, 1600, 2000, 2000])
  assert.equal(backoffsOf(1), [50, 100, 200, 400, 800, 1000, 1000])
})

// Guards against a breaker that stays open forever because its probe was interrupted.
breaker('an abandoned probe is followed by another one', () => {
  const circuitBreaker = createCircuitBreaker({ concurrency: CONCURRENCY, random: () => 0 })
  callAll(circuitBreaker, failed(5), 0)
  circuitBreaker.admit(100)
  circuitBreaker.record('probe', 'given-up', 150)
  assert.is(circuitBreaker.admit(150 + 200), 'probe')
})

// Guards against calls from before the outage that delay the next probe.
breaker('a failure of a call that started before the breaker opened does not extend the backoff', () => {
  const circuitBreaker = createCircuitBreaker({ concurrency: CONCURRENCY, random: () => 0 })
  const early = circuitBreaker.admit(0) ?? 'free'
  callAll(circuitBreaker, failed(5), 0)
  circuitBreaker.record(early, 'failed', 90)
  assert.is(circuitBreaker.admit(100), 'probe')
})

breaker.run()
