import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createZoneDemand } from './zone-demand.js'

const test = suite('zone demand')

type Use = readonly [cores: number, at: number]
const cases: ReadonlyArray<readonly [name: string, uses: readonly Use[], at: number, peak: number]> = [
  ['no demand was recorded', [], 0, 0],
  ['a higher demand counts at once', [[0.2, 0], [0.9, 100]], 100, 0.9],
  ['a lower demand does not count while the peak is recent', [[0.9, 0], [0.2, 3000]], 3000, 0.9],
  ['a peak is forgotten', [[0.9, 0], [0.2, 3000]], 7000, 0.2],
  ['all demand is forgotten', [[0.9, 0]], 7000, 0]
]

for (const [name, uses, at, peak] of cases) {
  test(name, () => {
    const demand = createZoneDemand()
    for (const [cores, usedAt] of uses) demand.record(cores, usedAt)
    assert.is(demand.peakCores(at), peak)
  })
}

test.run()
