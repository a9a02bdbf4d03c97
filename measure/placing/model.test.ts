/** Simulates peak loads and checks the outcomes of the requests. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { LOADS } from './loads.js'
import { simulateSeeds, type Load } from './model.js'

const model = suite('load balancing under peak load')

interface Case {
  readonly load: Load
  /** Failure that the load provokes without the policy. */
  readonly failure: string
  /** Minimum fraction of the requests answered within their objective. */
  readonly minInAimShare: number
}

/**
 * Maximum mean time in the queues of targets, in ms: an eighth of the longest objective. Requests wait in
 * the queue of the VM instead, from which they can still be sent to any target.
 */
const MAX_MEAN_QUEUED_MS = 100
/** Runs of each load, with a different seed each. */
const SEEDS = 3
/** 100 slots with a service time of 275 ms serve 364 of 459 requests per second, in addition to those still running when the load ends. */
const OVERLOAD_CAPACITY_SHARE = 0.82

/** Required fractions answered within the objective, in normal operation and under overload or failures (issue 10). */
const NORMAL_MIN_SHARE = 0.99
const DEGRADED_MIN_SHARE = 0.9

const cases: readonly Case[] = [
  { load: LOADS.usual, minInAimShare: NORMAL_MIN_SHARE, failure: 'requests that wait although slots are free' },
  { load: LOADS.full, minInAimShare: DEGRADED_MIN_SHARE, failure: 'slots that stay idle because load reports of other VMs are outdated' },
  { load: LOADS.overload, minInAimShare: DEGRADED_MIN_SHARE * OVERLOAD_CAPACITY_SHARE, failure: 'zones that all fill the same targets, so that requests queue twice and are late' },
  { load: LOADS.burst, minInAimShare: DEGRADED_MIN_SHARE, failure: 'queues at the targets that persist after a burst' },
  { load: LOADS['lopsided zones'], minInAimShare: DEGRADED_MIN_SHARE, failure: 'unused slots of other zones' },
  { load: LOADS['full and failing'], minInAimShare: DEGRADED_MIN_SHARE, failure: 'requests that wait for failing targets' },
  { load: LOADS['failing targets'], minInAimShare: NORMAL_MIN_SHARE, failure: 'non-idempotent requests that are used to detect failing targets' }
]

for (const { load, minInAimShare, failure } of cases) {
  model(`load "${load.name}" is served (guards against ${failure})`, async () => {
    const result = await simulateSeeds(load, SEEDS)
    assert.ok(result.inAimShare >= minInAimShare, `${result.inAimShare.toFixed(3)} within the objective, ${minInAimShare.toFixed(3)} expected`)
    assert.ok(result.queuedMs.mean <= MAX_MEAN_QUEUED_MS, `${result.queuedMs.mean.toFixed(0)} ms in the queues of targets`)
  })
}

/** Required fraction of a service's healthy targets in use while requests go unserved. */
const MIN_USE = 0.7

for (const load of [LOADS.overload, LOADS['overload and failing'], LOADS['slow short runs']]) {
  // Guards against requests that are refused while healthy targets are idle.
  model(`load "${load.name}" uses ${MIN_USE} of the healthy targets`, async () => {
    const { lowestUse } = await simulateSeeds(load, SEEDS)
    assert.ok(lowestUse >= MIN_USE, `${lowestUse.toFixed(2)} of the healthy targets in use`)
  })
}

model('under overload, a class of higher priority has at least the share within the objective of a class of lower priority', async () => {
  const { byClass } = await simulateSeeds(LOADS.overload, SEEDS)
  const shares = LOADS.overload.classes.map(({ name, priority }) => {
    const { inAim, late, refused, failed } = byClass[name] ?? { inAim: 0, late: 0, refused: 0, failed: 0 }
    return { priority, share: inAim / (inAim + late + refused + failed) }
  })
  for (const urgent of shares) for (const other of shares) if (urgent.priority < other.priority) assert.ok(urgent.share >= other.share, JSON.stringify(shares))
})

model.run()
