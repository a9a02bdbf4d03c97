import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createCircuitBreakers, type CircuitBreakers } from './circuit-breaker.js'

const test = suite('circuit breakers')

interface Case {
  readonly name: string
  readonly run: (breakers: CircuitBreakers) => void
  /** Expected states by time in ms. */
  readonly states: ReadonlyArray<readonly [at: number, state: string]>
}

const cases: readonly Case[] = [
  { name: 'a circuit is closed initially', run: () => {}, states: [[0, 'sound']] },
  {
    name: 'one failure opens the circuit, which becomes half-open afterwards',
    run: breakers => { breakers.recordFailure('t', 0) },
    states: [[0, 'held'], [999, 'held'], [1000, 'due'], [60_000, 'due']]
  },
  {
    name: 'a success of a request that started after the failure closes the circuit',
    run: breakers => {
      breakers.recordFailure('t', 0)
      breakers.recordSuccess('t', 1000)
    },
    states: [[1200, 'sound']]
  },
  {
    name: 'a success of a request that started before the failure is ignored',
    run: breakers => {
      breakers.recordFailure('t', 100)
      breakers.recordSuccess('t', 50)
    },
    states: [[300, 'held']]
  },
  {
    name: 'a failed probe opens the circuit for longer',
    run: breakers => {
      breakers.recordFailure('t', 0)
      breakers.recordFailure('t', 1000)
    },
    states: [[2400, 'held'], [2500, 'due']]
  },
  {
    name: 'concurrent failures count as one failure',
    run: breakers => {
      breakers.recordFailure('t', 0)
      breakers.recordFailure('t', 10)
      breakers.recordFailure('t', 20)
    },
    states: [[1019, 'held'], [1020, 'due']]
  },
  {
    name: 'a failure just after a success makes the circuit half-open immediately',
    run: breakers => {
      breakers.recordFailure('t', 300, 100)
    },
    states: [[300, 'due']]
  },
  {
    name: 'a failure long after a success opens the circuit',
    run: breakers => {
      breakers.recordFailure('t', 400, 100)
    },
    states: [[400, 'held'], [1400, 'due']]
  },
  {
    name: 'closing the circuit clears earlier failures',
    run: breakers => {
      breakers.recordFailure('t', 0)
      breakers.close('t')
    },
    states: [[1, 'sound']]
  }
]

for (const { name, run, states } of cases) {
  test(name, () => {
    const breakers = createCircuitBreakers([1000, 1500])
    run(breakers)
    for (const [at, state] of states) assert.is(breakers.stateOf('t', at), state, `at ${at}`)
  })
}

test('only events that change the state are reported', () => {
  const breakers = createCircuitBreakers([1000])
  assert.equal([breakers.recordFailure('t', 0), breakers.recordFailure('t', 1)], [true, false])
  assert.equal([breakers.recordSuccess('t', 2), breakers.recordSuccess('t', 4)], [true, false])
})

test.run()
