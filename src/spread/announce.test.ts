/** Announcements of notes: which VMs store them, for how long, and what VMs use in the meantime. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { findDifference } from '../../tests/support/configuration-invariants.js'
import { runFor, setPlatformForAll, startFleet, testNote, type CommitPlan, type Fleet } from '../../tests/support/fleet.js'

const announce = suite('announcements')

const SEED = 12

const start = (size: number): Fleet => startFleet(size, SEED)

function partition (fleet: Fleet, side: readonly string[], isCut: boolean): void {
  for (const from of fleet.names) {
    for (const to of fleet.names) if (side.includes(from) !== side.includes(to)) fleet.network.setCut(from, to, isCut)
  }
}

/** The refusal detail of each running VM; empty for a VM that serves. */
function refusals (fleet: Fleet): readonly string[] {
  return fleet.running().map(({ replica }) => replica.servingRefusal(fleet.schedule.now())?.detail ?? '')
}

function undecidedCounts (fleet: Fleet): readonly number[] {
  return fleet.running().map(({ replica }) => replica.undecided().length)
}

/** Creates a plan that performs an action at one stage. */
function at (stage: Parameters<NonNullable<CommitPlan['onStage']>>[0], act: () => void, plan: CommitPlan = {}): CommitPlan {
  return { ...plan, onStage: reached => { if (reached === stage) act() } }
}

announce('during an outage that starts in the middle of a commit, the fleet serves the intersection of both configurations', () => {
  const fleet = start(5)
  fleet.commit('vm-1', at('committed', () => setPlatformForAll(fleet, false)))
  for (let minute = 0; minute < 60; minute++) {
    runFor(fleet, 60_000)
    assert.equal(refusals(fleet), ['', '', '', '', ''], `minute ${minute}`)
  }
  const { configuration } = fleet.commits[0]!
  for (const { replica } of fleet.running()) {
    assert.is(replica.current().revision, 0)
    const usable = replica.usable(fleet.schedule.now())
    assert.is(findDifference(usable, configuration), undefined)
    // The note changes one of nine targets; the rest stays in use.
    assert.is(usable.configuration.services.flatMap(({ targets }) => targets).length, 8)
  }
  setPlatformForAll(fleet, true)
  runFor(fleet, 5000)
  for (const { replica } of fleet.running()) {
    assert.is(replica.current().revision, 1)
    assert.is(replica.usable(fleet.schedule.now()).configuration, replica.current())
  }
  assert.equal(undecidedCounts(fleet), [0, 0, 0, 0, 0])
})

interface EndCase {
  readonly name: string
  readonly plan: (fleet: Fleet) => CommitPlan
  /** Time after which no VM stores the note as undecided. */
  readonly withinMs: number
  readonly commits: number
}

// Each case guards against a note that stays undecided forever, or that is dropped although it may be accepted.
const ends: readonly EndCase[] = [
  { name: 'a note that is accepted', plan: () => ({}), withinMs: 50, commits: 1 },
  { name: 'a platform outage before the transaction', plan: fleet => at('acknowledged', () => setPlatformForAll(fleet, false)), withinMs: 50, commits: 0 },
  { name: 'a committing VM that terminates before the transaction', plan: fleet => at('acknowledged', () => fleet.kill('vm-1')), withinMs: 15_000, commits: 0 },
  { name: 'a committing VM that terminates after the transaction', plan: () => ({ crashesAfterCommit: true }), withinMs: 2000, commits: 1 },
  { name: 'a lost response', plan: () => ({ losesResponse: true }), withinMs: 2000, commits: 1 },
  { name: 'a transaction that takes effect after 8 s', plan: () => ({ commitDelayMs: 8000 }), withinMs: 11_000, commits: 1 }
]

for (const { name, plan, withinMs, commits } of ends) {
  announce(`${name}: decided everywhere within ${withinMs} ms`, () => {
    const fleet = start(5)
    assert.is(fleet.commit('vm-1', plan(fleet)), true)
    runFor(fleet, withinMs)
    assert.equal(undecidedCounts(fleet), fleet.running().map(() => 0))
    assert.is(fleet.commits.length, commits)
    for (const { replica } of fleet.running()) assert.is(replica.current().revision, commits)
  })
}

announce('a note whose committing VM terminated is not dropped within 10 s', () => {
  const fleet = start(5)
  fleet.commit('vm-1', at('acknowledged', () => fleet.kill('vm-1')))
  runFor(fleet, 10_000)
  assert.equal(undecidedCounts(fleet), [1, 1, 1, 1])
})

announce('without the acknowledgements of a majority, nothing is committed and the note is abandoned', () => {
  const fleet = start(5)
  // vm-1 still counts as in contact with all VMs.
  partition(fleet, ['vm-1', 'vm-2'], true)
  assert.is(fleet.commit('vm-1'), true)
  runFor(fleet, 900)
  assert.equal(undecidedCounts(fleet), [1, 1, 0, 0, 0])
  runFor(fleet, 200)
  assert.equal(undecidedCounts(fleet), [0, 0, 0, 0, 0])
  runFor(fleet, 5000)
  assert.is(fleet.commits.length, 0)
})

announce('a VM that missed the announcement gets the content from a peer, and then serves', () => {
  const fleet = start(5)
  partition(fleet, ['vm-5'], true)
  fleet.commit('vm-1', at('committed', () => setPlatformForAll(fleet, false)))
  runFor(fleet, 5000)
  assert.is.not(refusals(fleet)[4], '')
  partition(fleet, ['vm-5'], false)
  runFor(fleet, 3000)
  assert.equal(undecidedCounts(fleet), [1, 1, 1, 1, 1])
  assert.equal(refusals(fleet), ['', '', '', '', ''])
})

announce('a VM that stores the maximum number of announced notes does not acknowledge further ones', () => {
  const fleet = start(3)
  let acknowledged = 0
  const done = (id: string | undefined): void => { if (id !== undefined) acknowledged++ }
  for (const name of ['vm-1', 'vm-2']) {
    for (let i = 0; i < 16; i++) fleet.vm(name).replica.announce({ revision: 1, note: testNote(1, name, `${name}-${i}`).note, acceptedAt: 0, acceptedBy: name }, done)
  }
  runFor(fleet, 100)
  // vm-1 and vm-2 store the maximum number of notes with their own; vm-3 can store 16.
  assert.is(acknowledged, 16)
  setPlatformForAll(fleet, false)
  runFor(fleet, 5000)
  // The others were abandoned, so that all VMs can store the content of those that were acknowledged.
  assert.equal(undecidedCounts(fleet), [16, 16, 16])
  assert.equal(refusals(fleet), ['', '', ''])
})

for (const size of [6, 24, 48]) {
  announce(`${size} VMs: a majority acknowledges within 100 ms, and each message is sent a bounded number of times`, () => {
    const fleet = start(size)
    let acknowledgedMs = Infinity
    const startedAt = fleet.schedule.now()
    const before = fleet.network.sent()
    fleet.commit('vm-1', at('acknowledged', () => { acknowledgedMs = fleet.schedule.now() - startedAt }))
    runFor(fleet, 200)
    assert.ok(acknowledgedMs <= 100, `${acknowledgedMs} ms`)
    const links = fleet.running().reduce((sum, { process: vmProcess }) => sum + vmProcess.ends.size, 0)
    const count = (kind: string): number => (fleet.network.sent().get(kind) ?? 0) - (before.get(kind) ?? 0)
    for (const kind of ['announcement', 'note']) assert.ok(count(kind) <= links, `${kind}: ${count(kind)} of ${links}`)
    assert.ok(count('acknowledged') <= 4 * size, `${count('acknowledged')} acknowledgements`)
    if (process.env['SHOW_COUNTS'] !== undefined) {
      console.log(size, links, ['announcement', 'acknowledged', 'abandoned', 'note'].map(kind => `${kind} ${count(kind)}`).join(', '), `${acknowledgedMs} ms`)
    }
  })
}

announce.run()
