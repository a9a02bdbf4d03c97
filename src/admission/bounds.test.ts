import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Result } from '../model/index.js'
import { createAdmissionFixture, release, outcomeOf, target, type Acquisition } from '../../tests/support/admission-fixture.js'

const bounds = suite('invariants of the admission')
const SEED = 20_260_101

type Step =
  | { readonly kind: 'ask', readonly caller: number, readonly hold: boolean, readonly deadlineMs: number, readonly avoid: number }
  | { readonly kind: 'release', readonly index: number, readonly result: Result }
  | { readonly kind: 'interrupt', readonly index: number }
  | { readonly kind: 'wait', readonly ms: number }
  | { readonly kind: 'limit', readonly target: number, readonly limit: number }

const results: readonly Result[] = ['answered', 'failed', 'reset', 'shed', 'cancelled', 'timeout']
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 5, arbitrary: fc.record({ kind: fc.constant('ask' as const), caller: fc.nat(3), hold: fc.boolean(), deadlineMs: fc.integer({ min: 1, max: 400 }), avoid: fc.integer({ min: -1, max: 2 }) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('release' as const), index: fc.nat(20), result: fc.constantFrom(...results) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('interrupt' as const), index: fc.nat(20) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('wait' as const), ms: fc.integer({ min: 1, max: 150 }) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('limit' as const), target: fc.nat(2), limit: fc.nat(3) }) }
)

/** An attempt and its expected properties. */
interface Tracked { readonly attempt: Acquisition, readonly deadlineAt: number, readonly arrivedAt: number, readonly avoid: number, outcome: string }

/** Runs a sequence of steps and checks the invariants after each one. */
function checkInvariants (steps: readonly Step[]): void {
  const limits = [2, 2, 2]
  const ids = ['t0', 't1', 't2']
  const queue = { length: 4, ageMs: 200 }
  const fixture = createAdmissionFixture({ targets: ids.map(id => target(id, 'riga-a', 3)), queue, limit: id => limits[ids.indexOf(id)] ?? 0 })
  const tracked: Tracked[] = []
  const finished = new Set<Tracked>()
  const inUse = (): readonly number[] => ids.map(id => fixture.admission.inUse('listing', id))
  const countHolders = (id: string): number => tracked.filter(entry => entry.outcome === id && !finished.has(entry)).length

  const apply = (next: Step): void => {
    if (next.kind === 'ask') {
      const deadlineAt = fixture.clock.now + next.deadlineMs
      const avoid = new Set(next.avoid < 0 ? [] : [ids[next.avoid] ?? ''])
      const attempt = fixture.acquire({ caller: `c${next.caller}`, class: next.hold ? 'hold' : 'read', deadlineAt, avoid })
      tracked.push({ attempt, deadlineAt, arrivedAt: fixture.clock.now, avoid: next.avoid, outcome: 'waiting' })
    } else if (next.kind === 'release') {
      const holders = tracked.filter(entry => entry.outcome.startsWith('t') && !finished.has(entry))
      const holder = holders[next.index % Math.max(1, holders.length)]
      if (holder === undefined) return
      finished.add(holder)
      release(fixture, holder.attempt, next.result, 5)
    } else if (next.kind === 'interrupt') {
      const waiting = tracked.filter(entry => entry.outcome === 'waiting')
      const entry = waiting[next.index % Math.max(1, waiting.length)]
      if (entry === undefined) return
      entry.outcome = 'gone'
      entry.attempt.interrupt()
    } else if (next.kind === 'wait') {
      fixture.clock.now += next.ms
      fixture.admission.sweep(fixture.clock.now)
    } else {
      limits[next.target] = next.limit
      fixture.admission.sweep(fixture.clock.now)
    }
  }
  for (const next of steps) {
    const before = inUse()
    apply(next)
    for (const entry of tracked) {
      const now = outcomeOf(entry.attempt)
      if (entry.outcome === 'waiting') entry.outcome = now
      else if (entry.outcome !== 'gone') assert.is(now, entry.outcome, 'a refused request got a slot, or an outcome changed')
      if (entry.outcome === 'waiting') {
        assert.ok(fixture.clock.now < entry.deadlineAt, 'a request is queued past its deadline')
        assert.ok(fixture.clock.now - entry.arrivedAt < queue.ageMs, 'a request is queued past the age limit')
      }
      if (entry.avoid >= 0) assert.is.not(entry.outcome, ids[entry.avoid], 'a request got a slot at a target that it avoids')
    }
    const waiting = tracked.filter(entry => entry.outcome === 'waiting')
    assert.is(fixture.admission.waiting('listing'), waiting.length)
    assert.ok(waiting.length <= queue.length, 'the queue is longer than its limit')
    for (const [index, used] of inUse().entries()) {
      assert.is(used, countHolders(ids[index] ?? ''), 'the number of slots in use differs from the number of requests that hold one')
      assert.ok(used <= Math.max(limits[index] ?? 0, before[index] ?? 0), 'more slots are in use than the share allows')
      const usable = waiting.some(entry => entry.avoid !== index)
      if (usable) assert.ok(used >= (limits[index] ?? 0), 'a request is queued while a suitable slot is free')
    }
  }
}

bounds('the invariants hold after any sequence of events', () => {
  // Guards against slots that leak, are granted twice, or stay free while a request is queued.
  fc.assert(fc.property(fc.array(step, { minLength: 1, maxLength: 60 }), checkInvariants), { seed: SEED, numRuns: 400 })
})

bounds('avoidance causes no refusal while any slot is free', () => {
  const failures = fc.array(fc.record({ failed: fc.boolean(), gap: fc.nat(600) }), { maxLength: 30 })
  fc.assert(fc.property(failures, steps => {
    const fixture = createAdmissionFixture({ targets: [target('a'), target('b'), target('c', 'riga-b')], queue: { length: 0, ageMs: 0 } })
    for (const { failed, gap } of steps) {
      release(fixture, fixture.acquire(), failed ? 'reset' : 'answered')
      fixture.clock.now += gap
      const all = [fixture.acquire(), fixture.acquire(), fixture.acquire()]
      assert.equal(all.map(outcomeOf).sort(), ['a', 'b', 'c'])
      assert.is(outcomeOf(fixture.acquire()), 'overloaded')
      for (const attempt of all) release(fixture, attempt, failed ? 'failed' : 'answered')
    }
  }), { seed: SEED, numRuns: 200 })
})

bounds('as many requests are served as by an unbounded FIFO queue', () => {
  // Guards against fairness, priorities or avoidance that leave slots idle.
  const events = fc.array(fc.oneof(
    fc.record({ kind: fc.constant('ask' as const), caller: fc.nat(3), hold: fc.boolean() }),
    fc.record({ kind: fc.constant('release' as const), failed: fc.boolean() })
  ), { maxLength: 60 })
  fc.assert(fc.property(events, steps => {
    const fixture = createAdmissionFixture({ targets: [target('a', 'riga-a', 2), target('b', 'riga-b', 1)], queue: { length: 100, ageMs: 1e6 } })
    const attempts: Acquisition[] = []
    const fifo = { running: 0, waiting: 0 }
    for (const step of steps) {
      if (step.kind === 'ask') {
        attempts.push(fixture.acquire({ caller: `c${step.caller}`, class: step.hold ? 'hold' : 'read' }))
        fifo.waiting += 1
      } else if (fifo.running > 0) {
        const index = attempts.findIndex(attempt => attempt.state().kind === 'slot')
        for (const attempt of attempts.splice(index, 1)) release(fixture, attempt, step.failed ? 'reset' : 'answered')
        fifo.running -= 1
      }
      const started = Math.min(fifo.waiting, 3 - fifo.running)
      fifo.running += started
      fifo.waiting -= started
      assert.equal({ running: attempts.length - fixture.admission.waiting('listing'), waiting: fixture.admission.waiting('listing') }, fifo)
    }
  }), { seed: SEED, numRuns: 300 })
})

bounds.run()
