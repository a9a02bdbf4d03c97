import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { SlotRequest } from '../model/index.js'
import { createAdmissionFixture, release, outcomeOf, target, type FixtureSettings } from '../../tests/support/admission-fixture.js'

const selection = suite('target selection')

interface SelectionCase {
  readonly name: string
  readonly setting: FixtureSettings
  readonly request?: Partial<SlotRequest>
  readonly expected: string
}

const cases: readonly SelectionCase[] = [
  // Guards against needless traffic between zones.
  { name: 'a target in the zone of the VM is preferred', setting: { targets: [target('b', 'riga-b'), target('a')] }, expected: 'a' },
  // Guards against a retry that fails because of the same outage of a rack or zone.
  {
    name: 'a retry prefers another zone',
    setting: { targets: [target('a'), target('a2'), target('b', 'riga-b')] },
    request: { avoid: new Set(['a']), avoidPlaces: new Set(['riga-a']) },
    expected: 'b'
  },
  {
    name: 'a retry uses the same zone if no other zone has a free slot',
    setting: { targets: [target('a'), target('a2'), target('b', 'riga-b', 0)] },
    request: { avoid: new Set(['a']), avoidPlaces: new Set(['riga-a']) },
    expected: 'a2'
  },
  // Guards against a retry at the target that just failed.
  {
    name: 'a retry does not use the same target',
    setting: { targets: [target('a')] },
    request: { avoid: new Set(['a']) },
    expected: 'no-target'
  },
  { name: 'an ejected target gets no requests', setting: { targets: [target('a')], ejected: ['a'] }, expected: 'no-target' },
  { name: 'a draining target gets no requests', setting: { targets: [target('a')], draining: ['a'] }, expected: 'no-target' },
  // Guards against a target that stays on probation because it gets no requests.
  {
    name: 'idempotent requests prefer a target on probation',
    setting: { targets: [target('a'), target('b', 'riga-b')], probation: ['b'] },
    expected: 'b'
  },
  {
    name: 'retries prefer targets that are not on probation',
    setting: { targets: [target('a'), target('b'), target('c')], probation: ['b'] },
    request: { avoid: new Set(['a']) },
    expected: 'c'
  },
  // Guards against a non-idempotent request that is lost at a target that has not recovered.
  {
    name: 'a target on probation gets no non-idempotent requests',
    setting: { targets: [target('a')], probation: ['a'] },
    request: { class: 'hold' },
    expected: 'no-target'
  },
  { name: 'a request is queued while this VM has no slots', setting: { targets: [target('a', 'riga-a', 0)] }, expected: 'waiting' },
  { name: 'a request is refused when the queue is full', setting: { targets: [target('a', 'riga-a', 0)], queue: { length: 0, ageMs: 500 } }, expected: 'overloaded' },
  { name: 'a request past its deadline is refused', setting: { targets: [target('a')] }, request: { deadlineAt: 1000 }, expected: 'deadline-too-short' },
  { name: 'an unknown service is refused', setting: { targets: [target('a')] }, request: { service: 'x' }, expected: 'service-unknown' },
  { name: 'an unknown class is refused', setting: { targets: [target('a')] }, request: { class: 'x' }, expected: 'route-unknown' }
]

for (const { name, setting, request, expected } of cases) {
  selection(name, () => { assert.is(outcomeOf(createAdmissionFixture(setting).acquire(request)), expected) })
}

selection('requests are distributed by relative utilisation', () => {
  // Guards against a small target that gets as many requests as a large one.
  const fixture = createAdmissionFixture({ targets: [target('small', 'riga-a', 2), target('large', 'riga-a', 6)], random: () => 0 })
  const used = Array.from({ length: 4 }, () => outcomeOf(fixture.acquire()))
  assert.is(used.filter(id => id === 'large').length, 3)
})

selection('a target on probation serves one request at a time', () => {
  const fixture = createAdmissionFixture({ targets: [target('a', 'riga-a', 4)], probation: ['a'] })
  assert.equal([outcomeOf(fixture.acquire()), outcomeOf(fixture.acquire())], ['a', 'waiting'])
})

for (const result of ['failed', 'truncated', 'timeout', 'unreachable', 'silent', 'reset'] as const) {
  selection(`after "${result}" other targets are preferred, and the target is used if it has the only free slot`, () => {
    // Guards against avoidance that reduces the capacity.
    const fixture = createAdmissionFixture({ targets: [target('a'), target('b', 'riga-b')] })
    release(fixture, fixture.acquire(), result)
    assert.equal([outcomeOf(fixture.acquire()), outcomeOf(fixture.acquire()), outcomeOf(fixture.acquire())], ['b', 'a', 'waiting'])
  })
}

for (const result of ['answered', 'shed', 'cancelled'] as const) {
  selection(`after "${result}" the target is not avoided`, () => {
    const fixture = createAdmissionFixture({ targets: [target('a'), target('b', 'riga-b')] })
    release(fixture, fixture.acquire(), result)
    assert.is(outcomeOf(fixture.acquire()), 'a')
  })
}

selection('avoidance expires', () => {
  // Guards against a target that is avoided forever after a single failure.
  const fixture = createAdmissionFixture({ targets: [target('a'), target('b', 'riga-b')] })
  release(fixture, fixture.acquire(), 'reset')
  fixture.clock.now += 1000
  assert.is(outcomeOf(fixture.acquire()), 'a')
})

selection('a target that responded that it is draining gets no new requests', () => {
  const fixture = createAdmissionFixture({ targets: [target('a'), target('b')], random: () => 0.99 })
  const first = fixture.acquire()
  const draining = outcomeOf(first)
  release(fixture, first, 'draining')
  const next = [fixture.acquire(), fixture.acquire()].map(outcomeOf)
  assert.is(next.includes(draining), false)
  assert.is(next[1], 'waiting')
})

selection.run()
