import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { lowestUse, type Usage } from './floor.js'

const floor = suite('use of the sound targets')

/** Ten requests in each of 4 s, of which the first `unserved` are not served. */
const ends = (unserved: number): Usage['ends'] => Array.from({ length: 40 }, (_, index) => ({ at: index * 100, isServed: index % 10 >= unserved }))
const arrivals = (...targets: readonly number[]): Usage['arrivals'] => targets.flatMap(target => [0, 1000, 2000, 3000].map(at => ({ at, target })))
const usage = (over: Partial<Usage>): Usage => ({ arrivals: arrivals(0, 1, 2, 3), ends: ends(2), targets: 4, isSound: () => true, durationMs: 4000, ...over })

const cases: ReadonlyArray<readonly [name: string, usage: Usage, expected: number]> = [
  ['all targets are used', usage({}), 1],
  ['half of them are', usage({ arrivals: arrivals(0, 1) }), 0.5],
  ['a target that fails need not be used', usage({ arrivals: arrivals(0, 1), isSound: target => target < 2 }), 1],
  ['a target that is used later only', usage({ arrivals: [...arrivals(0, 1, 2), { at: 2100, target: 3 }] }), 0.75],
  ['targets may rest while nearly all is served', usage({ arrivals: arrivals(0), ends: ends(0) }), 1],
  ['most requests go unserved', usage({ arrivals: arrivals(0), ends: ends(6) }), 1]
]

for (const [name, played, expected] of cases) floor(name, () => assert.is(lowestUse(played), expected))

floor.run()
