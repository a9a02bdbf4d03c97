import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Preference } from '../model/index.js'
import { createEvidence, createOutlierDetector, type Count, type Outcome } from './index.js'

const detectorSuite = suite('outlier detector')
const NOW = 50_000
const TARGETS = ['t1', 't2', 't3', 't4', 't5', 't6']
const VMS = ['a', 'b', 'c', 'd']

interface Row {
  /** Time before NOW, in ms. */
  readonly agoMs: number
  readonly reporter: string
  readonly target: string
  readonly outcome: Outcome
  readonly count: number
}

interface Case {
  readonly name: string
  readonly rows: readonly Row[]
  readonly unhealthy: readonly string[]
  readonly preference?: Preference
}

const row = (agoMs: number, reporter: string, target: string, outcome: Outcome, count = 1): Row => ({ agoMs, reporter, target, outcome, count })
const each = <T>(items: readonly T[], make: (item: T) => readonly Row[]): readonly Row[] => items.flatMap(make)
/** Successes of all targets for all VMs, several seconds ago. */
const pastSuccesses = each(VMS, vm => each(TARGETS, target => [row(6_000, vm, target, 'answered', 10)]))
const others = TARGETS.filter(target => target !== 't1')
const othersSucceed = (agoMs: number): readonly Row[] => each(VMS, vm => each(others, target => [row(agoMs, vm, target, 'answered')]))

const cases: readonly Case[] = [
  {
    // Guards against a target that stays in service although it fails for several VMs.
    name: 'a target that fails for two VMs is unhealthy after five failures',
    rows: [...pastSuccesses, ...othersSucceed(200), row(200, 'a', 't1', 'failed', 3), row(100, 'b', 't1', 'failed', 2)],
    unhealthy: ['t1']
  },
  {
    // Guards against a threshold for `accuracy` that is no higher than the one for `detection`.
    name: 'the same failures do not suffice for a service that prefers few false ejections',
    rows: [...pastSuccesses, ...othersSucceed(200), row(200, 'a', 't1', 'failed', 3), row(100, 'b', 't1', 'failed', 2)],
    unhealthy: [],
    preference: 'accuracy'
  },
  {
    name: 'slow responses count as failures',
    rows: [...pastSuccesses, ...othersSucceed(200), row(200, 'a', 't1', 'slow', 3), row(100, 'b', 't1', 'slow', 2)],
    unhealthy: ['t1']
  },
  {
    // Guards against an ejection because of a broken path between one VM and the target.
    name: 'path failures of a single VM do not suffice, whatever their number',
    rows: [...pastSuccesses, ...othersSucceed(200), row(200, 'a', 't1', 'unreachable', 20), row(150, 'b', 't1', 'answered', 2)],
    unhealthy: []
  },
  {
    name: 'timeouts of a single VM do not suffice while other VMs do not use the target',
    rows: [...pastSuccesses, ...othersSucceed(200), row(200, 'a', 't1', 'timeout', 20)],
    unhealthy: []
  },
  {
    name: 'path failures of two VMs suffice',
    rows: [...pastSuccesses, ...othersSucceed(200), row(200, 'a', 't1', 'unreachable', 3), row(100, 'b', 't1', 'silent', 3)],
    unhealthy: ['t1']
  },
  {
    // Guards against a gray target with 2 slots that stays in service because no other VM can confirm its failures.
    name: 'failed responses of the only VM that uses a target suffice if its requests to other targets succeed',
    rows: [...pastSuccesses, ...othersSucceed(200), row(200, 'a', 't1', 'failed', 5)],
    unhealthy: ['t1']
  },
  {
    name: 'failed responses of the only VM that uses a target do not suffice without its successes at other targets',
    rows: [...pastSuccesses, row(200, 'a', 't1', 'failed', 5)],
    unhealthy: []
  },
  {
    // Guards against ejections because of an unhealthy VM, for which every target fails.
    name: 'an unhealthy VM ejects no target, even with a single failure of another VM',
    rows: [...pastSuccesses, ...each(TARGETS, target => [row(200, 'a', target, 'failed', 5), row(100, 'b', target, 'answered', 3)]), row(50, 'c', 't1', 'failed')],
    unhealthy: []
  },
  {
    name: 'a gray target is detected despite an unhealthy VM',
    rows: [...pastSuccesses, ...each(TARGETS, target => [row(200, 'a', target, 'failed', 5)]), ...othersSucceed(200),
      row(150, 'b', 't1', 'failed', 3), row(100, 'c', 't1', 'failed', 3)],
    unhealthy: ['t1']
  },
  {
    // Guards against ejections in an outage, in which the targets that fail first look worse than the rest.
    name: 'no target is unhealthy when the whole service begins to fail',
    rows: [...pastSuccesses, ...each(VMS, vm => each(TARGETS, target => [row(200, vm, target, 'failed')])), row(100, 'a', 't1', 'failed', 3), row(100, 'b', 't1', 'failed', 3)],
    unhealthy: []
  },
  {
    name: 'no target is unhealthy when the whole service becomes slow',
    rows: [...pastSuccesses, ...each(VMS, vm => each(TARGETS, target => [row(200, vm, target, 'slow', 3)]))],
    unhealthy: []
  },
  {
    // Guards against a gray target that hides another one by raising the failure rate of the pool.
    name: 'two gray targets of six are detected',
    rows: [...pastSuccesses, ...each(['t3', 't4', 't5', 't6'], target => [row(150, 'a', target, 'answered', 5)]),
      ...each(['t1', 't2'], target => [row(200, 'a', target, 'failed', 5), row(100, 'b', target, 'failed', 5)])],
    unhealthy: ['t1', 't2']
  },
  {
    name: 'shed, draining and cancelled attempts are neutral',
    rows: [...pastSuccesses, ...each(['shed', 'draining', 'cancelled'] as const, outcome => [row(200, 'a', 't1', outcome, 9), row(100, 'b', 't1', outcome, 9)])],
    unhealthy: []
  },
  {
    // Guards against ejections because of the usual failure rate of a healthy pool.
    name: 'a target that fails at the rate of its pool is healthy',
    rows: [...each(VMS, vm => each(TARGETS, target => [row(5_000, vm, target, 'failed'), row(5_000, vm, target, 'answered', 15),
      row(1_000, vm, target, 'failed'), row(1_000, vm, target, 'answered', 15)]))],
    unhealthy: []
  },
  {
    name: 'failures older than the window are ignored',
    rows: [row(11_000, 'a', 't1', 'failed', 9), row(11_000, 'b', 't1', 'failed', 9), ...othersSucceed(500)],
    unhealthy: []
  },
  {
    // Guards against ejections at the start of an outage, when the failures of one target are reported first.
    name: 'failures without successes of other targets at the same time do not suffice',
    rows: [...pastSuccesses, row(200, 'a', 't1', 'failed', 5), row(150, 'b', 't1', 'failed', 5), row(150, 'a', 't2', 'answered', 2)],
    unhealthy: []
  },
  {
    // Guards against a target that fails so fast that it attracts most requests.
    name: 'a target with more failures than all others have successes is unhealthy',
    rows: [...pastSuccesses, ...othersSucceed(200), ...VMS.map(vm => row(150, vm, 't1', 'failed', 50))],
    unhealthy: ['t1']
  },
  {
    // Guards against a failing class that a class with more requests hides.
    name: 'a target that fails one class only is unhealthy',
    rows: [...pastSuccesses, ...othersSucceed(300)],
    unhealthy: ['t1']
  }
]

/** Additional counts for the test of one failing class, which needs a second class. */
const bookings: readonly Count[] = [{ target: 't1', class: 'booking', outcome: 'failed', count: 3 }, { target: 't1', class: 'listing', outcome: 'answered', count: 6 }]

for (const { name, rows, unhealthy, preference = 'detection' } of cases) {
  detectorSuite(name, () => {
    const evidence = createEvidence()
    for (const { agoMs, reporter, target, outcome, count } of rows.toSorted((a, b) => b.agoMs - a.agoMs)) {
      evidence.add(reporter, [{ target, class: 'listing', outcome, count }], NOW - agoMs)
    }
    if (name.includes('one class')) for (const vm of ['a', 'b']) for (const agoMs of [300, 200]) evidence.add(vm, bookings, NOW - agoMs)
    const verdicts = createOutlierDetector(preference).evaluate(evidence, TARGETS, new Set(), NOW)
    assert.equal([...verdicts.values()].filter(verdict => verdict.unhealthy).map(({ target }) => target), unhealthy)
  })
}

detectorSuite('a verdict contains the counts of each reporter and the excluded VMs', () => {
  const evidence = createEvidence()
  for (const target of TARGETS) evidence.add('a', [{ target, class: 'listing', outcome: 'reset', count: 4 }], NOW)
  for (const target of TARGETS) evidence.add('b', [{ target, class: 'listing', outcome: target === 't1' ? 'failed' : 'answered', count: 5 }], NOW)
  const verdict = createOutlierDetector('detection').evaluate(evidence, TARGETS, new Set(), NOW).get('t1')
  assert.equal(verdict?.evidence, { a: { reset: 4 }, b: { failed: 5 } })
  assert.equal(verdict?.excludedReporters, ['a'])
})

// Guards against a gray target that fails as many requests after each readmission as before.
detectorSuite('a target in slow start is unhealthy after fewer failures', () => {
  const evidence = createEvidence()
  for (const target of others) evidence.add('a', [{ target, class: 'listing', outcome: 'answered', count: 4 }], NOW)
  evidence.add('a', [{ target: 't1', class: 'listing', outcome: 'failed', count: 2 }], NOW)
  const isUnhealthy = (returning: readonly string[]): boolean | undefined =>
    createOutlierDetector('detection').evaluate(evidence, TARGETS, new Set(returning), NOW).get('t1')?.unhealthy
  assert.equal([isUnhealthy([]), isUnhealthy(['t1'])], [false, true])
})

detectorSuite.run()
