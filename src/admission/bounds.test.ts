import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Result } from '../model/index.js'
import { createAdmissionFixture, release, outcomeOf, target, type Acquisition } from '../../tests/support/admission-fixture.js'

const bounds = suite('bounds of admission')
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

interface Tracked { readonly attempt: Acquisition, readonly deadlineAt: number, readonly askedAt: number, readonly avoid: number, outcome: string }

/** Runs a sequence and checks the bounds after each step. */
function checkSequence (steps: readonly Step[]): void {
  const limits = [2, 2, 2]
  const ids = ['t0', 't1', 't2']
  const queue = { length: 4, ageMs: 200 }
  const world = createAdmissionFixture({ targets: ids.map(id => target(id, 'riga-a', 3)), queue, limit: id => limits[ids.indexOf(id)] ?? 0 })
  const tracked: Tracked[] = []
  const finished = new Set<Tracked>()
  const inUse = (): readonly number[] => ids.map(id => world.admission.inUse('listing', id))
  const actual = (id: string): number => tracked.filter(entry => entry.outcome === id && !finished.has(entry)).length

  const apply = (next: Step): void => {
    if (next.kind === 'ask') {
      const deadlineAt = world.clock.now + next.deadlineMs
      const avoid = new Set(next.avoid < 0 ? [] : [ids[next.avoid] ?? ''])
      const attempt = world.acquire({ caller: `c${next.caller}`, class: next.hold ? 'hold' : 'read', deadlineAt, avoid })
      tracked.push({ attempt, deadlineAt, askedAt: world.clock.now, avoid: next.avoid, outcome: 'waiting' })
    } else if (next.kind === 'release') {
      const holders = tracked.filter(entry => entry.outcome.startsWith('t') && !finished.has(entry))
      const holder = holders[next.index % Math.max(1, holders.length)]
      if (holder === undefined) return
      finished.add(holder)
      release(world, holder.attempt, next.result, 5)
    } else if (next.kind === 'interrupt') {
      const waiting = tracked.filter(entry => entry.outcome === 'waiting')
      const entry = waiting[next.index % Math.max(1, waiting.length)]
      if (entry === undefined) return
      entry.outcome = 'gone'
      entry.attempt.interrupt()
    } else if (next.kind === 'wait') {
      world.clock.now += next.ms
      world.admission.sweep(world.clock.now)
    } else {
      limits[next.target] = next.limit
      world.admission.sweep(world.clock.now)
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
        assert.ok(world.clock.now < entry.deadlineAt, 'a request waits past its deadline')
        assert.ok(world.clock.now - entry.askedAt < queue.ageMs, 'a request waits past the age limit')
      }
      if (entry.avoid >= 0) assert.is.not(entry.outcome, ids[entry.avoid], 'a request got a target that it avoids')
    }
    const waiting = tracked.filter(entry => entry.outcome === 'waiting')
    assert.is(world.admission.waiting('listing'), waiting.length)
    assert.ok(waiting.length <= queue.length, 'the queue is longer than its limit')
    for (const [index, used] of inUse().entries()) {
      assert.is(used, actual(ids[index] ?? ''), 'the count of slots differs from the requests that hold one')
      assert.ok(used <= Math.max(limits[index] ?? 0, before[index] ?? 0), 'more slots in use than the share')
      const usable = waiting.some(entry => entry.avoid !== index)
      if (usable) assert.ok(used >= (limits[index] ?? 0), 'a request waits while a suitable slot is free')
    }
  }
}

bounds('bounds hold over any sequence of events', () => {
  // Guards against slots that leak, are granted twice, or stay free while a request waits.
  fc.assert(fc.property(fc.array(step, { minLength: 1, maxLength: 60 }), checkSequence), { seed: SEED, numRuns: 400 })
})

bounds('avoidance never refuses while a slot is free anywhere', () => {
  const failures = fc.array(fc.record({ failed: fc.boolean(), gap: fc.nat(600) }), { maxLength: 30 })
  fc.assert(fc.property(failures, steps => {
    const world = createAdmissionFixture({ targets: [target('a'), target('b'), target('c', 'riga-b')], queue: { length: 0, ageMs: 0 } })
    for (const { failed, gap } of steps) {
      release(world, world.acquire(), failed ? 'reset' : 'answered')
      world.clock.now += gap
      const all = [world.acquire(), world.acquire(), world.acquire()]
      assert.equal(all.map(outcomeOf).sort(), ['a', 'b', 'c'])
      assert.is(outcomeOf(world.acquire()), 'overloaded')
      for (const attempt of all) release(world, attempt, failed ? 'failed' : 'answered')
    }
  }), { seed: SEED, numRuns: 200 })
})

bounds('as many requests are served as by a first-come queue without bounds', () => {
  // Guards against fairness, priority or avoidance that leave slots idle.
  const events = fc.array(fc.oneof(
    fc.record({ kind: fc.constant('ask' as const), caller: fc.nat(3), hold: fc.boolean() }),
    fc.record({ kind: fc.constant('release' as const), failed: fc.boolean() })
  ), { maxLength: 60 })
  fc.assert(fc.property(events, steps => {
    const world = createAdmissionFixture({ targets: [target('a', 'riga-a', 2), target('b', 'riga-b', 1)], queue: { length: 100, ageMs: 1e6 } })
    const attempts: Acquisition[] = []
    const naive = { running: 0, waiting: 0 }
    for (const step of steps) {
      if (step.kind === 'ask') {
        attempts.push(world.acquire({ caller: `c${step.caller}`, class: step.hold ? 'hold' : 'read' }))
        naive.waiting += 1
      } else if (naive.running > 0) {
        const index = attempts.findIndex(attempt => attempt.state().kind === 'slot')
        for (const attempt of attempts.splice(index, 1)) release(world, attempt, step.failed ? 'reset' : 'answered')
        naive.running -= 1
      }
      const started = Math.min(naive.waiting, 3 - naive.running)
      naive.running += started
      naive.waiting -= started
      assert.equal({ running: attempts.length - world.admission.waiting('listing'), waiting: world.admission.waiting('listing') }, naive)
    }
  }), { seed: SEED, numRuns: 300 })
})

bounds.run()
