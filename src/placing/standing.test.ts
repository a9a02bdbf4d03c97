import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createStandings, type Standings } from './standing.js'

const test = suite('standing')

interface Case {
  readonly name: string
  readonly run: (standings: Standings) => void
  /** Phases by time. */
  readonly phases: ReadonlyArray<readonly [at: number, phase: string]>
}

const cases: readonly Case[] = [
  { name: 'a target without evidence is sound', run: () => {}, phases: [[0, 'sound']] },
  {
    name: 'one failure holds a target back, and it is due afterwards',
    run: standings => { standings.fail('t', 0) },
    phases: [[0, 'held'], [999, 'held'], [1000, 'due'], [60_000, 'due']]
  },
  {
    name: 'a success that began after the failure makes the target sound',
    run: standings => {
      standings.fail('t', 0)
      standings.succeed('t', 1000)
    },
    phases: [[1200, 'sound']]
  },
  {
    name: 'a success that began before the failure proves nothing',
    run: standings => {
      standings.fail('t', 100)
      standings.succeed('t', 50)
    },
    phases: [[300, 'held']]
  },
  {
    name: 'a failed trial holds the target back for longer',
    run: standings => {
      standings.fail('t', 0)
      standings.fail('t', 1000)
    },
    phases: [[2400, 'held'], [2500, 'due']]
  },
  {
    name: 'requests that fail together count as one failure',
    run: standings => {
      standings.fail('t', 0)
      standings.fail('t', 10)
      standings.fail('t', 20)
    },
    phases: [[1019, 'held'], [1020, 'due']]
  },
  {
    name: 'a failure just after a success leads to a trial at once',
    run: standings => {
      standings.fail('t', 300, 100)
    },
    phases: [[300, 'due']]
  },
  {
    name: 'a failure long after a success holds the target back',
    run: standings => {
      standings.fail('t', 400, 100)
    },
    phases: [[400, 'held'], [1400, 'due']]
  },
  {
    name: 'a replaced target starts anew',
    run: standings => {
      standings.fail('t', 0)
      standings.clear('t')
    },
    phases: [[1, 'sound']]
  }
]

for (const { name, run, phases } of cases) {
  test(name, () => {
    const standings = createStandings([1000, 1500])
    run(standings)
    for (const [at, phase] of phases) assert.is(standings.phaseOf('t', at), phase, `at ${at}`)
  })
}

test('only what changes the standing is worth telling', () => {
  const standings = createStandings([1000])
  assert.equal([standings.fail('t', 0), standings.fail('t', 1)], [true, false])
  assert.equal([standings.succeed('t', 2), standings.succeed('t', 4)], [true, false])
})

test.run()
