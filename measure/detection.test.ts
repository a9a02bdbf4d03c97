/** One run of each scenario with a small pool; the reported figures come from `measureDetection`. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { runBaseline } from './detection/baseline.js'
import { runDesign } from './detection/design.js'
import { scenarios } from './detection/scenario.js'

const detection = suite('detection')
const SEED = 1
/** Design goal: detection is at least this many times faster than in the baseline. */
const MIN_SPEEDUP = 5
const LARGE_POOL_TARGETS = 30

const smallPoolScenarios = scenarios.filter(({ targets }) => targets < LARGE_POOL_TARGETS)

for (const scenario of smallPoolScenarios) {
  // Guards against unhealthy targets that keep receiving requests, and against the ejection of healthy targets.
  detection(`${scenario.name} (seed ${SEED})`, () => {
    const { detectionMs, falseEjections, floorBreaches, overSlots } = runDesign(scenario, SEED)
    assert.equal({ falseEjections, floorBreaches, overSlots }, { falseEjections: 0, floorBreaches: 0, overSlots: 0 })
    if (detectionMs === undefined) return
    const baseline = runBaseline(scenario, SEED).detectionMs ?? 0
    assert.ok(detectionMs * MIN_SPEEDUP <= baseline, `detection after ${detectionMs} ms, baseline after ${baseline} ms`)
  })
}

detection.run()
