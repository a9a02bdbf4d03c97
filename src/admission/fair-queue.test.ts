import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createAdmissionFixture, release, outcomeOf, target, type Acquisition, type AdmissionFixture } from '../../tests/support/admission-fixture.js'

const fairQueue = suite('fair queue')
const SEED = 20_260_105

interface Completion { readonly caller: string, readonly className: string }

/** Serves all queued requests one after another through a single slot, and returns their order. */
function drain (fixture: AdmissionFixture, attempts: ReadonlyArray<Completion & { readonly attempt: Acquisition }>): readonly Completion[] {
  const order: Completion[] = []
  const open = [...attempts]
  for (;;) {
    const index = open.findIndex(({ attempt }) => attempt.state().kind === 'slot')
    const next = open[index]
    if (next === undefined) return order
    open.splice(index, 1)
    order.push({ caller: next.caller, className: next.className })
    release(fixture, next.attempt)
  }
}

const start = (fixture: AdmissionFixture, caller: string, className: string, count: number): ReadonlyArray<Completion & { readonly attempt: Acquisition }> =>
  Array.from({ length: count }, () => ({ caller, className, attempt: fixture.acquire({ caller, class: className }) }))

fairQueue('a caller with few requests is delayed by one request of a caller with many', () => {
  const fixture = createAdmissionFixture({ targets: [target('a')] })
  const heavy = start(fixture, 'heavy', 'read', 40)
  const light = start(fixture, 'light', 'read', 2)
  const order = drain(fixture, [...heavy, ...light]).map(({ caller }) => caller)
  // The first request of the heavy caller already has the slot.
  assert.ok(order.slice(1, 5).filter(caller => caller === 'light').length === 2, order.slice(0, 8).join())
})

fairQueue('a full queue evicts requests for a caller with fewer requests', () => {
  // Guards against one caller that fills the queue, so that the requests of others are refused.
  const fixture = createAdmissionFixture({ targets: [target('a')], queue: { length: 8, ageMs: 500 } })
  const heavy = start(fixture, 'heavy', 'read', 9)
  const light = start(fixture, 'light', 'read', 4)
  const refusedOf = (attempts: typeof heavy): number => attempts.filter(({ attempt }) => outcomeOf(attempt) === 'overloaded').length
  assert.equal([refusedOf(heavy), refusedOf(light)], [4, 0])
  assert.is(fixture.admission.waiting('listing'), 8)
  assert.is(outcomeOf(fixture.acquire({ caller: 'heavy' })), 'overloaded')
})

fairQueue('lower priorities are not starved by many requests of a higher one', () => {
  const fixture = createAdmissionFixture({ targets: [target('a')], queue: { length: 64, ageMs: 500 } })
  const low = start(fixture, 'family', 'read', 9)
  const high = start(fixture, 'adopter', 'hold', 56)
  const order = drain(fixture, [...low, ...high]).map(({ className }) => className).slice(1)
  const early = order.slice(0, 24)
  assert.is(early[0], 'hold')
  assert.is(early.filter(name => name === 'read').length, 3)
})

fairQueue('requests of a higher priority evict others, down to the reserved fraction', () => {
  const fixture = createAdmissionFixture({ targets: [target('a')], queue: { length: 16, ageMs: 500 } })
  start(fixture, 'family', 'read', 17)
  const high = start(fixture, 'adopter', 'hold', 20)
  const waitingHigh = high.filter(({ attempt }) => outcomeOf(attempt) === 'waiting').length
  assert.is(waitingHigh, 14)
  assert.is(fixture.admission.waiting('listing'), 16)
})

fairQueue('a queue full of requests of a higher priority admits the reserved fraction of others', () => {
  const fixture = createAdmissionFixture({ targets: [target('a')], queue: { length: 16, ageMs: 500 } })
  start(fixture, 'adopter', 'hold', 17)
  const low = start(fixture, 'family', 'read', 5)
  assert.is(low.filter(({ attempt }) => outcomeOf(attempt) === 'waiting').length, 2)
})

fairQueue('callers with queued requests are served equally often', () => {
  // Guards against an order that depends on the number of requests of a caller.
  const counts = fc.array(fc.integer({ min: 1, max: 12 }), { minLength: 2, maxLength: 5 })
  fc.assert(fc.property(counts, requests => {
    const fixture = createAdmissionFixture({ targets: [target('a')], limit: () => 0 })
    const attempts = requests.flatMap((count, index) => start(fixture, `caller-${index}`, 'read', count))
    fixture.settings.limit = () => 1
    fixture.admission.sweep(fixture.clock.now)
    const left = [...requests]
    for (const { caller } of drain(fixture, attempts)) {
      const index = Number(caller.split('-')[1])
      left[index] = (left[index] ?? 0) - 1
      const served = requests.map((count, other) => count - (left[other] ?? 0))
      const least = Math.min(...served.filter((_, other) => (left[other] ?? 0) > 0))
      assert.ok((served[index] ?? 0) <= least + 1, served.join())
    }
    assert.equal(left, requests.map(() => 0))
  }), { seed: SEED, numRuns: 200 })
})

fairQueue.run()
