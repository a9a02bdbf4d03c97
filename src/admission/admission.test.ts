import { Effect, Fiber } from 'effect'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createWorld, finish, observation, outcome, target, teachLatency } from '../../tests/support/admission-world.js'

const queue = suite('admission queue')

queue('a released slot is granted to the queued request', () => {
  const world = createWorld({ targets: [target('a')] })
  const [first, second] = [world.ask(), world.ask()]
  assert.is(world.admission.waiting('listing'), 1)
  finish(world, first)
  assert.is(outcome(second), 'a')
  assert.is(world.admission.waiting('listing'), 0)
  assert.is(world.admission.inUse('listing', 'a'), 1)
})

queue('a second release has no effect', () => {
  // Guards against a slot that is released twice, and against an outcome that is recorded twice.
  const world = createWorld({ targets: [target('a')] })
  const first = world.ask()
  const state = first.state()
  finish(world, first)
  const second = world.ask()
  if (state.kind === 'slot') state.slot.release(observation('a', 'reset'), world.clock.now)
  assert.is(world.admission.inUse('listing', 'a'), 1)
  assert.is(world.observed.length, 1)
  assert.is(outcome(second), 'a')
})

queue('an interrupted request is removed from the queue', () => {
  // Guards against a slot that is granted to a fiber that has ended.
  const world = createWorld({ targets: [target('a')] })
  const [first, interrupted, third] = [world.ask(), world.ask(), world.ask()]
  interrupted.interrupt()
  assert.is(world.admission.waiting('listing'), 1)
  finish(world, first)
  assert.is(outcome(third), 'a')
})

queue('an effect that is not run takes no slot', () => {
  const world = createWorld({ targets: [target('a')] })
  world.admission.acquire({ service: 'listing', class: 'read', caller: 'c', deadlineAt: 9e9, avoid: new Set(), avoidPlaces: new Set() }, 0)
  assert.is(world.admission.inUse('listing', 'a'), 0)
})

queue('a request that reaches the age limit in the queue is refused', () => {
  const world = createWorld({ targets: [target('a')], queue: { length: 64, ageMs: 500 } })
  world.ask()
  const waiting = world.ask()
  world.clock.now += 499
  world.admission.sweep(world.clock.now)
  assert.is(outcome(waiting), 'waiting')
  world.clock.now += 1
  world.admission.sweep(world.clock.now)
  assert.is(outcome(waiting), 'overloaded')
})

queue('a queued request is refused once it cannot complete before its deadline, and takes no slot later', () => {
  // Guards against a slot for a request whose response would be too late.
  const world = createWorld({ targets: [target('a')] })
  teachLatency(world, 100)
  const first = world.ask()
  const waiting = world.ask({ deadlineAt: world.clock.now + 300 })
  world.clock.now += 150
  world.admission.sweep(world.clock.now)
  assert.is(outcome(waiting), 'waiting')
  world.clock.now += 60
  finish(world, first)
  assert.is(outcome(waiting), 'deadline-too-short')
  assert.is(world.admission.inUse('listing', 'a'), 0)
})

queue('a request with less time than the median latency of its class is refused on arrival', () => {
  const world = createWorld({ targets: [target('a')] })
  teachLatency(world, 100)
  assert.is(outcome(world.ask({ deadlineAt: world.clock.now + 90 })), 'deadline-too-short')
  assert.is(outcome(world.ask({ deadlineAt: world.clock.now + 110 })), 'a')
})

queue('the median latency expires', () => {
  // Guards against a service whose requests are all refused, so that none can lower its median latency.
  const world = createWorld({ targets: [target('a')] })
  teachLatency(world, 100)
  world.clock.now += 10_000
  assert.is(outcome(world.ask({ deadlineAt: world.clock.now + 50 })), 'a')
})

queue('queued requests are served at the first sweep after the share grows', () => {
  const world = createWorld({ targets: [target('a')], limit: () => 0 })
  const waiting = world.ask()
  world.setting.limit = () => 1
  world.admission.sweep(world.clock.now)
  assert.is(outcome(waiting), 'a')
})

queue('a queued request that cannot use a free slot does not block others', () => {
  // Guards against a slot that stays free because the retry at the head of the queue may not use it.
  const world = createWorld({ targets: [target('a'), target('b')], limit: id => id === 'a' ? 1 : 0 })
  const retry = world.ask({ avoid: new Set(['a']) })
  assert.equal([outcome(retry), outcome(world.ask())], ['waiting', 'a'])
})

queue('queued requests of a removed service are refused', () => {
  const world = createWorld({ targets: [target('a')] })
  const first = world.ask()
  const waiting = world.ask()
  world.configure([])
  world.admission.sweep(world.clock.now)
  assert.is(outcome(waiting), 'service-unknown')
  finish(world, first)
  assert.is(world.admission.inUse('listing', 'a'), 0)
})

queue('a queued request with a higher priority is served first', () => {
  const world = createWorld({ targets: [target('a')] })
  const first = world.ask()
  const [low, high] = [world.ask(), world.ask({ class: 'hold' })]
  finish(world, first)
  assert.equal([outcome(low), outcome(high)], ['waiting', 'a'])
})

queue('maintain refuses expired requests without other requests', async () => {
  // Guards against a request that stays queued because no other event causes a check.
  const world = createWorld({ targets: [target('a')], limit: () => 0, queue: { length: 4, ageMs: 10 } })
  const loop = Effect.runFork(world.admission.maintain)
  const waiting = world.ask()
  world.clock.now += 10
  for (let i = 0; i < 100 && outcome(waiting) === 'waiting'; i++) await new Promise(resolve => setTimeout(resolve, 5))
  await Effect.runPromise(Fiber.interrupt(loop))
  assert.is(outcome(waiting), 'overloaded')
})

queue('an arriving request does not overtake queued ones when the share grows', () => {
  // Guards against a slot that is granted to the first request that arrives after a new allocation.
  const world = createWorld({ targets: [target('a')], limit: () => 0 })
  const waiting = world.ask()
  world.setting.limit = () => 1
  const arriving = world.ask()
  assert.equal([outcome(waiting), outcome(arriving)], ['a', 'waiting'])
})

queue('a slot that was granted to an interrupted request is released', () => {
  // Guards against a slot that leaks when the fiber is interrupted between the grant and its delivery.
  const world = createWorld({ targets: [target('a'), target('b')], limit: () => 0 })
  const interrupted: Array<() => void> = []
  const first = Effect.runFork(world.admission.acquire(world.request(), world.clock.now).pipe(
    Effect.tap(() => Effect.sync(() => { for (const interrupt of interrupted) interrupt() }))
  ))
  interrupted.push(world.ask().interrupt)
  world.setting.limit = () => 1
  world.admission.sweep(world.clock.now)
  assert.ok(first.pollUnsafe() !== undefined)
  const inUse = ['a', 'b'].map(id => world.admission.inUse('listing', id))
  assert.equal(inUse.sort(), [0, 1])
})

queue.run()
