import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { lowestUse, type Trace } from './lowest-use.js'

const lowestUseSuite = suite('lowest use of the healthy targets')

/** Ten requests per second for 4 s; the first `unserved` of each second are not served. */
const ends = (unserved: number): Trace['ends'] => Array.from({ length: 40 }, (_, index) => ({ at: index * 100, isServed: index % 10 >= unserved }))
const arrivals = (...targets: readonly number[]): Trace['arrivals'] => targets.flatMap(target => [0, 1000, 2000, 3000].map(at => ({ at, target })))
const trace = (over: Partial<Trace>): Trace => ({ arrivals: arrivals(0, 1, 2, 3), ends: ends(2), targets: 4, isHealthy: () => true, durationMs: 4000, ...over })

const cases: ReadonlyArray<readonly [name: string, trace: Trace, expected: number]> = [
  ['all targets are used', trace({}), 1],
  ['half of the targets are used', trace({ arrivals: arrivals(0, 1) }), 0.5],
  ['a failing target does not count', trace({ arrivals: arrivals(0, 1), isHealthy: target => target < 2 }), 1],
  ['a target that is unused in one window lowers the result', trace({ arrivals: [...arrivals(0, 1, 2), { at: 2100, target: 3 }] }), 0.75],
  ['idle targets do not count while nearly all requests are served', trace({ arrivals: arrivals(0), ends: ends(0) }), 1],
  ['windows in which most requests go unserved do not count', trace({ arrivals: arrivals(0), ends: ends(6) }), 1]
]

for (const [name, input, expected] of cases) lowestUseSuite(name, () => assert.is(lowestUse(input), expected))

lowestUseSuite.run()
