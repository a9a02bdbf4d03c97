import { Effect, Fiber } from 'effect'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createAdmissionFixture, release, observation, outcomeOf, target, recordLatencies } from '../../tests/support/admission-fixture.js'

const queue = suite('queue')

queue('a released slot goes to the waiting request', () => {
  const world = createAdmissionFixture({ targets: [target('a')] })
  const [first, second] = [world.acquire(), world.acquire()]
  assert.is(world.admission.waiting('listing'), 1)
  release(world, first)
  assert.is(outcomeOf(second), 'a')
  assert.is(world.admission.waiting('listing'), 0)
  assert.is(world.admission.inUse('listing', 'a'), 1)
})

queue('a second release changes nothing', () => {
  // Guards against a slot that is counted free twice, and against evidence that counts twice.
  const world = createAdmissionFixture({ targets: [target('a')] })
  const first = world.acquire()
  const state = first.state()
  release(world, first)
  const second = world.acquire()
  if (state.kind === 'slot') state.slot.release(observation('a', 'reset'), world.clock.now)
  assert.is(world.admission.inUse('listing', 'a'), 1)
  assert.is(world.observed.length, 1)
  assert.is(outcomeOf(second), 'a')
})

queue('a caller that goes away leaves the queue', () => {
  // Guards against a slot that is given to a fiber that no longer exists.
  const world = createAdmissionFixture({ targets: [target('a')] })
  const [first, gone, third] = [world.acquire(), world.acquire(), world.acquire()]
  gone.interrupt()
  assert.is(world.admission.waiting('listing'), 1)
  release(world, first)
  assert.is(outcomeOf(third), 'a')
})

queue('an effect that never runs takes no slot', () => {
  const world = createAdmissionFixture({ targets: [target('a')] })
  world.admission.acquire({ service: 'listing', class: 'read', caller: 'c', deadlineAt: 9e9, avoid: new Set(), avoidPlaces: new Set() }, 0)
  assert.is(world.admission.inUse('listing', 'a'), 0)
})

queue('a request that waited for the age limit is refused', () => {
  const world = createAdmissionFixture({ targets: [target('a')], queue: { length: 64, ageMs: 500 } })
  world.acquire()
  const waiting = world.acquire()
  world.clock.now += 499
  world.admission.sweep(world.clock.now)
  assert.is(outcomeOf(waiting), 'waiting')
  world.clock.now += 1
  world.admission.sweep(world.clock.now)
  assert.is(outcomeOf(waiting), 'overloaded')
})

queue('a request is refused once it can no longer finish, and takes no slot later', () => {
  // Guards against work that starts although its answer comes too late.
  const world = createAdmissionFixture({ targets: [target('a')] })
  recordLatencies(world, 100)
  const first = world.acquire()
  const waiting = world.acquire({ deadlineAt: world.clock.now + 300 })
  world.clock.now += 150
  world.admission.sweep(world.clock.now)
  assert.is(outcomeOf(waiting), 'waiting')
  world.clock.now += 60
  release(world, first)
  assert.is(outcomeOf(waiting), 'deadline-too-short')
  assert.is(world.admission.inUse('listing', 'a'), 0)
})

queue('a deadline under the median latency of the class is refused on arrival', () => {
  const world = createAdmissionFixture({ targets: [target('a')] })
  recordLatencies(world, 100)
  assert.is(outcomeOf(world.acquire({ deadlineAt: world.clock.now + 90 })), 'deadline-too-short')
  assert.is(outcomeOf(world.acquire({ deadlineAt: world.clock.now + 110 })), 'a')
})

queue('the median that refuses requests is forgotten', () => {
  // Guards against a service that stays refused because nothing runs that could lower its median.
  const world = createAdmissionFixture({ targets: [target('a')] })
  recordLatencies(world, 100)
  world.clock.now += 10_000
  assert.is(outcomeOf(world.acquire({ deadlineAt: world.clock.now + 50 })), 'a')
})

queue('a larger share serves waiting requests at the next sweep', () => {
  const world = createAdmissionFixture({ targets: [target('a')], limit: () => 0 })
  const waiting = world.acquire()
  world.settings.limit = () => 1
  world.admission.sweep(world.clock.now)
  assert.is(outcomeOf(waiting), 'a')
})

queue('a request that only some waiting requests cannot use is not held up by them', () => {
  // Guards against a free slot that stays unused behind a retry that may not use it.
  const world = createAdmissionFixture({ targets: [target('a'), target('b')], limit: id => id === 'a' ? 1 : 0 })
  const retry = world.acquire({ avoid: new Set(['a']) })
  assert.equal([outcomeOf(retry), outcomeOf(world.acquire())], ['waiting', 'a'])
})

queue('requests of a withdrawn service are refused', () => {
  const world = createAdmissionFixture({ targets: [target('a')] })
  const first = world.acquire()
  const waiting = world.acquire()
  world.configure([])
  world.admission.sweep(world.clock.now)
  assert.is(outcomeOf(waiting), 'service-unknown')
  release(world, first)
  assert.is(world.admission.inUse('listing', 'a'), 0)
})

queue('a request in progress does not delay one with a higher priority', () => {
  const world = createAdmissionFixture({ targets: [target('a')] })
  const first = world.acquire()
  const [low, high] = [world.acquire(), world.acquire({ class: 'hold' })]
  release(world, first)
  assert.equal([outcomeOf(low), outcomeOf(high)], ['waiting', 'a'])
})

queue('maintain refuses expired requests without other traffic', async () => {
  // Guards against a request that waits forever because nothing else happens.
  const world = createAdmissionFixture({ targets: [target('a')], limit: () => 0, queue: { length: 4, ageMs: 10 } })
  const loop = Effect.runFork(world.admission.maintain)
  const waiting = world.acquire()
  world.clock.now += 10
  for (let i = 0; i < 100 && outcomeOf(waiting) === 'waiting'; i++) await new Promise(resolve => setTimeout(resolve, 5))
  await Effect.runPromise(Fiber.interrupt(loop))
  assert.is(outcomeOf(waiting), 'overloaded')
})

queue('a newcomer does not overtake waiting requests when the share grows', () => {
  // Guards against a slot that goes to whoever asks first after a new allocation.
  const world = createAdmissionFixture({ targets: [target('a')], limit: () => 0 })
  const waiting = world.acquire()
  world.settings.limit = () => 1
  const newcomer = world.acquire()
  assert.equal([outcomeOf(waiting), outcomeOf(newcomer)], ['a', 'waiting'])
})

queue('a slot that was granted to a caller who goes away meanwhile is returned', () => {
  // Guards against a slot that leaks between its grant and its delivery.
  const world = createAdmissionFixture({ targets: [target('a'), target('b')], limit: () => 0 })
  const interrupted: Array<() => void> = []
  const first = Effect.runFork(world.admission.acquire(world.request(), world.clock.now).pipe(
    Effect.tap(() => Effect.sync(() => { for (const interrupt of interrupted) interrupt() }))
  ))
  interrupted.push(world.acquire().interrupt)
  world.settings.limit = () => 1
  world.admission.sweep(world.clock.now)
  assert.ok(first.pollUnsafe() !== undefined)
  const inUse = ['a', 'b'].map(id => world.admission.inUse('listing', id))
  assert.equal(inUse.sort(), [0, 1])
})

queue.run()
