import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createWorld, finish, outcome, target, type Attempt, type World } from '../../tests/support/admission-world.js'

const fairQueue = suite('fair queue')
const SEED = 20_260_105

interface Completion { readonly caller: string, readonly className: string }

/** Serves all queued requests one after another through a single slot, and returns their order. */
function drain (world: World, attempts: ReadonlyArray<Completion & { readonly attempt: Attempt }>): readonly Completion[] {
  const order: Completion[] = []
  const open = [...attempts]
  for (;;) {
    const index = open.findIndex(({ attempt }) => attempt.state().kind === 'slot')
    const next = open[index]
    if (next === undefined) return order
    open.splice(index, 1)
    order.push({ caller: next.caller, className: next.className })
    finish(world, next.attempt)
  }
}

const start = (world: World, caller: string, className: string, count: number): ReadonlyArray<Completion & { readonly attempt: Attempt }> =>
  Array.from({ length: count }, () => ({ caller, className, attempt: world.ask({ caller, class: className }) }))

fairQueue('a caller with few requests is delayed by one request of a caller with many', () => {
  const world = createWorld({ targets: [target('a')] })
  const heavy = start(world, 'heavy', 'read', 40)
  const light = start(world, 'light', 'read', 2)
  const order = drain(world, [...heavy, ...light]).map(({ caller }) => caller)
  // The first request of the heavy caller already has the slot.
  assert.ok(order.slice(1, 5).filter(caller => caller === 'light').length === 2, order.slice(0, 8).join())
})

fairQueue('a full queue evicts requests for a caller with fewer requests', () => {
  // Guards against one caller that fills the queue, so that the requests of others are refused.
  const world = createWorld({ targets: [target('a')], queue: { length: 8, ageMs: 500 } })
  const heavy = start(world, 'heavy', 'read', 9)
  const light = start(world, 'light', 'read', 4)
  const refusedOf = (attempts: typeof heavy): number => attempts.filter(({ attempt }) => outcome(attempt) === 'overloaded').length
  assert.equal([refusedOf(heavy), refusedOf(light)], [4, 0])
  assert.is(world.admission.waiting('listing'), 8)
  assert.is(outcome(world.ask({ caller: 'heavy' })), 'overloaded')
})

fairQueue('lower priorities are not starved by many requests of a higher one', () => {
  const world = createWorld({ targets: [target('a')], queue: { length: 64, ageMs: 500 } })
  const low = start(world, 'family', 'read', 9)
  const high = start(world, 'adopter', 'hold', 56)
  const order = drain(world, [...low, ...high]).map(({ className }) => className).slice(1)
  const early = order.slice(0, 24)
  assert.is(early[0], 'hold')
  assert.is(early.filter(name => name === 'read').length, 3)
})

fairQueue('requests of a higher priority evict others, down to the reserved fraction', () => {
  const world = createWorld({ targets: [target('a')], queue: { length: 16, ageMs: 500 } })
  start(world, 'family', 'read', 17)
  const high = start(world, 'adopter', 'hold', 20)
  const waitingHigh = high.filter(({ attempt }) => outcome(attempt) === 'waiting').length
  assert.is(waitingHigh, 14)
  assert.is(world.admission.waiting('listing'), 16)
})

fairQueue('a queue full of requests of a higher priority admits the reserved fraction of others', () => {
  const world = createWorld({ targets: [target('a')], queue: { length: 16, ageMs: 500 } })
  start(world, 'adopter', 'hold', 17)
  const low = start(world, 'family', 'read', 5)
  assert.is(low.filter(({ attempt }) => outcome(attempt) === 'waiting').length, 2)
})

fairQueue('callers with queued requests are served equally often', () => {
  // Guards against an order that depends on the number of requests of a caller.
  const counts = fc.array(fc.integer({ min: 1, max: 12 }), { minLength: 2, maxLength: 5 })
  fc.assert(fc.property(counts, requests => {
    const world = createWorld({ targets: [target('a')], limit: () => 0 })
    const attempts = requests.flatMap((count, index) => start(world, `caller-${index}`, 'read', count))
    world.setting.limit = () => 1
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

fairQueue.run()
