import { Effect, Fiber } from 'effect'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createAdmissionFixture, release, observation, outcomeOf, target, recordLatencies } from '../../tests/support/admission-fixture.js'

const queue = suite('admission queue')

queue('a released slot is granted to the queued request', () => {
  const fixture = createAdmissionFixture({ targets: [target('a')] })
  const [first, second] = [fixture.acquire(), fixture.acquire()]
  assert.is(fixture.admission.waiting('listing'), 1)
  release(fixture, first)
  assert.is(outcomeOf(second), 'a')
  assert.is(fixture.admission.waiting('listing'), 0)
  assert.is(fixture.admission.inUse('listing', 'a'), 1)
})

queue('a second release has no effect', () => {
  // Guards against a slot that is released twice, and against an outcome that is recorded twice.
  const fixture = createAdmissionFixture({ targets: [target('a')] })
  const first = fixture.acquire()
  const state = first.state()
  release(fixture, first)
  const second = fixture.acquire()
  if (state.kind === 'slot') state.slot.release(observation('a', 'reset'), fixture.clock.now)
  assert.is(fixture.admission.inUse('listing', 'a'), 1)
  assert.is(fixture.observed.length, 1)
  assert.is(outcomeOf(second), 'a')
})

queue('an interrupted request is removed from the queue', () => {
  // Guards against a slot that is granted to a fiber that has ended.
  const fixture = createAdmissionFixture({ targets: [target('a')] })
  const [first, interrupted, third] = [fixture.acquire(), fixture.acquire(), fixture.acquire()]
  interrupted.interrupt()
  assert.is(fixture.admission.waiting('listing'), 1)
  release(fixture, first)
  assert.is(outcomeOf(third), 'a')
})

queue('an effect that is not run takes no slot', () => {
  const fixture = createAdmissionFixture({ targets: [target('a')] })
  fixture.admission.acquire({ service: 'listing', class: 'read', caller: 'c', deadlineAt: 9e9, avoid: new Set(), avoidPlaces: new Set() }, 0)
  assert.is(fixture.admission.inUse('listing', 'a'), 0)
})

queue('a request that reaches the age limit in the queue is refused', () => {
  const fixture = createAdmissionFixture({ targets: [target('a')], queue: { length: 64, ageMs: 500 } })
  fixture.acquire()
  const waiting = fixture.acquire()
  fixture.clock.now += 499
  fixture.admission.sweep(fixture.clock.now)
  assert.is(outcomeOf(waiting), 'waiting')
  fixture.clock.now += 1
  fixture.admission.sweep(fixture.clock.now)
  assert.is(outcomeOf(waiting), 'overloaded')
})

queue('a queued request is refused once it cannot complete before its deadline, and takes no slot later', () => {
  // Guards against a slot for a request whose response would be too late.
  const fixture = createAdmissionFixture({ targets: [target('a')] })
  recordLatencies(fixture, 100)
  const first = fixture.acquire()
  const waiting = fixture.acquire({ deadlineAt: fixture.clock.now + 300 })
  fixture.clock.now += 150
  fixture.admission.sweep(fixture.clock.now)
  assert.is(outcomeOf(waiting), 'waiting')
  fixture.clock.now += 60
  release(fixture, first)
  assert.is(outcomeOf(waiting), 'deadline-too-short')
  assert.is(fixture.admission.inUse('listing', 'a'), 0)
})

queue('a request with less time than the median latency of its class is refused on arrival', () => {
  const fixture = createAdmissionFixture({ targets: [target('a')] })
  recordLatencies(fixture, 100)
  assert.is(outcomeOf(fixture.acquire({ deadlineAt: fixture.clock.now + 90 })), 'deadline-too-short')
  assert.is(outcomeOf(fixture.acquire({ deadlineAt: fixture.clock.now + 110 })), 'a')
})

queue('the median latency expires', () => {
  // Guards against a service whose requests are all refused, so that none can lower its median latency.
  const fixture = createAdmissionFixture({ targets: [target('a')] })
  recordLatencies(fixture, 100)
  fixture.clock.now += 10_000
  assert.is(outcomeOf(fixture.acquire({ deadlineAt: fixture.clock.now + 50 })), 'a')
})

queue('queued requests are served at the first sweep after the share grows', () => {
  const fixture = createAdmissionFixture({ targets: [target('a')], limit: () => 0 })
  const waiting = fixture.acquire()
  fixture.settings.limit = () => 1
  fixture.admission.sweep(fixture.clock.now)
  assert.is(outcomeOf(waiting), 'a')
})

queue('a queued request that cannot use a free slot does not block others', () => {
  // Guards against a slot that stays free because the retry at the head of the queue may not use it.
  const fixture = createAdmissionFixture({ targets: [target('a'), target('b')], limit: id => id === 'a' ? 1 : 0 })
  const retry = fixture.acquire({ avoid: new Set(['a']) })
  assert.equal([outcomeOf(retry), outcomeOf(fixture.acquire())], ['waiting', 'a'])
})

queue('queued requests of a removed service are refused', () => {
  const fixture = createAdmissionFixture({ targets: [target('a')] })
  const first = fixture.acquire()
  const waiting = fixture.acquire()
  fixture.configure([])
  fixture.admission.sweep(fixture.clock.now)
  assert.is(outcomeOf(waiting), 'service-unknown')
  release(fixture, first)
  assert.is(fixture.admission.inUse('listing', 'a'), 0)
})

queue('a queued request with a higher priority is served first', () => {
  const fixture = createAdmissionFixture({ targets: [target('a')] })
  const first = fixture.acquire()
  const [low, high] = [fixture.acquire(), fixture.acquire({ class: 'hold' })]
  release(fixture, first)
  assert.equal([outcomeOf(low), outcomeOf(high)], ['waiting', 'a'])
})

queue('maintain refuses expired requests without other requests', async () => {
  // Guards against a request that stays queued because no other event causes a check.
  const fixture = createAdmissionFixture({ targets: [target('a')], limit: () => 0, queue: { length: 4, ageMs: 10 } })
  const loop = Effect.runFork(fixture.admission.maintain)
  const waiting = fixture.acquire()
  fixture.clock.now += 10
  for (let i = 0; i < 100 && outcomeOf(waiting) === 'waiting'; i++) await new Promise(resolve => setTimeout(resolve, 5))
  await Effect.runPromise(Fiber.interrupt(loop))
  assert.is(outcomeOf(waiting), 'overloaded')
})

queue('an arriving request does not overtake queued ones when the share grows', () => {
  // Guards against a slot that is granted to the first request that arrives after a new allocation.
  const fixture = createAdmissionFixture({ targets: [target('a')], limit: () => 0 })
  const waiting = fixture.acquire()
  fixture.settings.limit = () => 1
  const arriving = fixture.acquire()
  assert.equal([outcomeOf(waiting), outcomeOf(arriving)], ['a', 'waiting'])
})

queue('a slot that was granted to an interrupted request is released', () => {
  // Guards against a slot that leaks when the fiber is interrupted between the grant and its delivery.
  const fixture = createAdmissionFixture({ targets: [target('a'), target('b')], limit: () => 0 })
  const interrupted: Array<() => void> = []
  const first = Effect.runFork(fixture.admission.acquire(fixture.request(), fixture.clock.now).pipe(
    Effect.tap(() => Effect.sync(() => { for (const interrupt of interrupted) interrupt() }))
  ))
  interrupted.push(fixture.acquire().interrupt)
  fixture.settings.limit = () => 1
  fixture.admission.sweep(fixture.clock.now)
  assert.ok(first.pollUnsafe() !== undefined)
  const inUse = ['a', 'b'].map(id => fixture.admission.inUse('listing', id))
  assert.equal(inUse.sort(), [0, 1])
})

queue.run()
