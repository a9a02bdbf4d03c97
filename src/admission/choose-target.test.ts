import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { SlotRequest } from '../model/index.js'
import { createAdmissionFixture, release, outcomeOf, target, type FixtureSettings } from '../../tests/support/admission-fixture.js'

const choiceSuite = suite('choice of target')

interface ChoiceCase {
  readonly name: string
  readonly setting: FixtureSettings
  readonly wanted?: Partial<SlotRequest>
  readonly expected: string
}

const choices: readonly ChoiceCase[] = [
  // Guards against needless traffic between places.
  { name: 'the own place comes first', setting: { targets: [target('b', 'riga-b'), target('a')] }, expected: 'a' },
  // Guards against a retry that meets the same lost rack again.
  {
    name: 'a retry goes to another place',
    setting: { targets: [target('a'), target('a2'), target('b', 'riga-b')] },
    wanted: { avoid: new Set(['a']), avoidPlaces: new Set(['riga-a']) },
    expected: 'b'
  },
  {
    name: 'a retry uses the same place when no other has a free slot',
    setting: { targets: [target('a'), target('a2'), target('b', 'riga-b', 0)] },
    wanted: { avoid: new Set(['a']), avoidPlaces: new Set(['riga-a']) },
    expected: 'a2'
  },
  // Guards against a second run at the target that just failed.
  {
    name: 'a target that was tried is not tried again',
    setting: { targets: [target('a')] },
    wanted: { avoid: new Set(['a']) },
    expected: 'no-target'
  },
  { name: 'an ejected target gets no work', setting: { targets: [target('a')], ejected: ['a'] }, expected: 'no-target' },
  { name: 'a draining target gets no work', setting: { targets: [target('a')], draining: ['a'] }, expected: 'no-target' },
  // Guards against a target that stays on probation because it gets no work.
  {
    name: 'a target on probation gets idempotent work first',
    setting: { targets: [target('a'), target('b', 'riga-b')], probation: ['b'] },
    expected: 'b'
  },
  {
    name: 'a retry prefers targets that are not on probation',
    setting: { targets: [target('a'), target('b'), target('c')], probation: ['b'] },
    wanted: { avoid: new Set(['a']) },
    expected: 'c'
  },
  // Guards against a hold that is lost at a target that has not recovered.
  {
    name: 'a target on probation gets no work that is not idempotent',
    setting: { targets: [target('a')], probation: ['a'] },
    wanted: { class: 'hold' },
    expected: 'no-target'
  },
  { name: 'a request waits when this VM has no slots yet', setting: { targets: [target('a', 'riga-a', 0)] }, expected: 'waiting' },
  { name: 'a full queue refuses', setting: { targets: [target('a', 'riga-a', 0)], queue: { length: 0, ageMs: 500 } }, expected: 'overloaded' },
  { name: 'a passed deadline is refused', setting: { targets: [target('a')] }, wanted: { deadlineAt: 1000 }, expected: 'deadline-too-short' },
  { name: 'an unknown service is refused', setting: { targets: [target('a')] }, wanted: { service: 'x' }, expected: 'service-unknown' },
  { name: 'an unknown class is refused', setting: { targets: [target('a')] }, wanted: { class: 'x' }, expected: 'route-unknown' }
]

for (const { name, setting, wanted, expected } of choices) {
  choiceSuite(name, () => { assert.is(outcomeOf(createAdmissionFixture(setting).acquire(wanted)), expected) })
}

choiceSuite('work spreads by relative use', () => {
  // Guards against a small target that gets as much as a large one.
  const world = createAdmissionFixture({ targets: [target('small', 'riga-a', 2), target('large', 'riga-a', 6)], random: () => 0 })
  const used = Array.from({ length: 4 }, () => outcomeOf(world.acquire()))
  assert.is(used.filter(id => id === 'large').length, 3)
})

choiceSuite('a target on probation runs one request at a time', () => {
  const world = createAdmissionFixture({ targets: [target('a', 'riga-a', 4)], probation: ['a'] })
  assert.equal([outcomeOf(world.acquire()), outcomeOf(world.acquire())], ['a', 'waiting'])
})

for (const result of ['failed', 'truncated', 'timeout', 'unreachable', 'silent', 'reset'] as const) {
  choiceSuite(`after "${result}" another target comes first, and the target is used when it has the only free slot`, () => {
    // Guards against avoidance that costs capacity.
    const world = createAdmissionFixture({ targets: [target('a'), target('b', 'riga-b')] })
    release(world, world.acquire(), result)
    assert.equal([outcomeOf(world.acquire()), outcomeOf(world.acquire()), outcomeOf(world.acquire())], ['b', 'a', 'waiting'])
  })
}

for (const result of ['answered', 'shed', 'cancelled'] as const) {
  choiceSuite(`after "${result}" the target is not avoided`, () => {
    const world = createAdmissionFixture({ targets: [target('a'), target('b', 'riga-b')] })
    release(world, world.acquire(), result)
    assert.is(outcomeOf(world.acquire()), 'a')
  })
}

choiceSuite('avoidance ends', () => {
  // Guards against a target that one failure sets back for good.
  const world = createAdmissionFixture({ targets: [target('a'), target('b', 'riga-b')] })
  release(world, world.acquire(), 'reset')
  world.clock.now += 1000
  assert.is(outcomeOf(world.acquire()), 'a')
})

choiceSuite('a target that announced that it is leaving gets no new work', () => {
  const world = createAdmissionFixture({ targets: [target('a'), target('b')], random: () => 0.99 })
  const first = world.acquire()
  const left = outcomeOf(first)
  release(world, first, 'draining')
  const next = [world.acquire(), world.acquire()].map(outcomeOf)
  assert.is(next.includes(left), false)
  assert.is(next[1], 'waiting')
})

choiceSuite.run()
