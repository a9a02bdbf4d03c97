import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createAdmissionFixture, release, outcomeOf, target, type Acquisition, type AdmissionFixture } from '../../tests/support/admission-fixture.js'

const fairSuite = suite('fairness')
const SEED = 20_260_105

interface Completion { readonly caller: string, readonly className: string }

/** Serves a full queue through one slot, one request after the other, and returns the order. */
function drain (world: AdmissionFixture, attempts: ReadonlyArray<Completion & { readonly attempt: Acquisition }>): readonly Completion[] {
  const order: Completion[] = []
  const open = [...attempts]
  for (;;) {
    const index = open.findIndex(({ attempt }) => attempt.state().kind === 'slot')
    const next = open[index]
    if (next === undefined) return order
    open.splice(index, 1)
    order.push({ caller: next.caller, className: next.className })
    release(world, next.attempt)
  }
}

const start = (world: AdmissionFixture, caller: string, className: string, count: number): ReadonlyArray<Completion & { readonly attempt: Acquisition }> =>
  Array.from({ length: count }, () => ({ caller, className, attempt: world.acquire({ caller, class: className }) }))

fairSuite('a light caller waits for one turn of a heavy one', () => {
  const world = createAdmissionFixture({ targets: [target('a')] })
  const heavy = start(world, 'heavy', 'read', 40)
  const light = start(world, 'light', 'read', 2)
  const order = drain(world, [...heavy, ...light]).map(({ caller }) => caller)
  // The first request of the heavy caller runs already.
  assert.ok(order.slice(1, 5).filter(caller => caller === 'light').length === 2, order.slice(0, 8).join())
})

fairSuite('a full queue makes room for a caller with fewer requests', () => {
  // Guards against one caller that fills the queue and locks out the others.
  const world = createAdmissionFixture({ targets: [target('a')], queue: { length: 8, ageMs: 500 } })
  const heavy = start(world, 'heavy', 'read', 9)
  const light = start(world, 'light', 'read', 4)
  const refusedOf = (attempts: typeof heavy): number => attempts.filter(({ attempt }) => outcomeOf(attempt) === 'overloaded').length
  assert.equal([refusedOf(heavy), refusedOf(light)], [4, 0])
  assert.is(world.admission.waiting('listing'), 8)
  assert.is(outcomeOf(world.acquire({ caller: 'heavy' })), 'overloaded')
})

fairSuite('lower priorities are served under a flood of urgent requests', () => {
  const world = createAdmissionFixture({ targets: [target('a')], queue: { length: 64, ageMs: 500 } })
  const low = start(world, 'family', 'read', 9)
  const high = start(world, 'adopter', 'hold', 56)
  const order = drain(world, [...low, ...high]).map(({ className }) => className).slice(1)
  const early = order.slice(0, 24)
  assert.is(early[0], 'hold')
  assert.is(early.filter(name => name === 'read').length, 3)
})

fairSuite('urgent requests push out others, down to the reserved part', () => {
  const world = createAdmissionFixture({ targets: [target('a')], queue: { length: 16, ageMs: 500 } })
  start(world, 'family', 'read', 17)
  const high = start(world, 'adopter', 'hold', 20)
  const waitingHigh = high.filter(({ attempt }) => outcomeOf(attempt) === 'waiting').length
  assert.is(waitingHigh, 14)
  assert.is(world.admission.waiting('listing'), 16)
})

fairSuite('a queue full of urgent requests still admits the reserved part', () => {
  const world = createAdmissionFixture({ targets: [target('a')], queue: { length: 16, ageMs: 500 } })
  start(world, 'adopter', 'hold', 17)
  const low = start(world, 'family', 'read', 5)
  assert.is(low.filter(({ attempt }) => outcomeOf(attempt) === 'waiting').length, 2)
})

fairSuite('callers that wait at the same time are served equally often', () => {
  // Guards against an order that depends on how many requests a caller has.
  const counts = fc.array(fc.integer({ min: 1, max: 12 }), { minLength: 2, maxLength: 5 })
  fc.assert(fc.property(counts, requests => {
    const world = createAdmissionFixture({ targets: [target('a')], limit: () => 0 })
    const attempts = requests.flatMap((count, index) => start(world, `caller-${index}`, 'read', count))
    world.settings.limit = () => 1
    world.admission.sweep(world.clock.now)
    const left = [...requests]
    for (const { caller } of drain(world, attempts)) {
      const index = Number(caller.split('-')[1])
      left[index] = (left[index] ?? 0) - 1
      const served = requests.map((count, other) => count - (left[other] ?? 0))
      const least = Math.min(...served.filter((_, other) => (left[other] ?? 0) > 0))
      assert.ok((served[index] ?? 0) <= least + 1, served.join())
    }
    assert.equal(left, requests.map(() => 0))
  }), { seed: SEED, numRuns: 200 })
})

fairSuite.run()
