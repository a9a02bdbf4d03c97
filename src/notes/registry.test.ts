import { Effect, Exit } from 'effect'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Configuration, Note } from '../model/index.js'
import { createMemoryPlatform, createNoteHolder, createStore, createVirtualTime, SERVED, type CallBehaviour, type NoteHolder, type Store, type VirtualTime } from '../../stand-ins/platform/index.js'
import { parseNote, SNAPSHOT_INTERVAL } from './index.js'

const registry = suite('registry')

const createVM = (store: Store, time: VirtualTime, vm = 'entry-1'): NoteHolder =>
  createNoteHolder({ platform: createMemoryPlatform(store, time.clock), clock: time.clock, vm })

const noteOf = (i: number): Note => parseNote(JSON.stringify({
  id: `n-${i}`,
  base: i - 1,
  added: { services: [{ name: `s-${i}`, classes: [{ name: 'read' }], floor: 0, preference: 'accuracy' }] }
}))._unsafeUnwrap()

function submitAll (vm: NoteHolder, time: VirtualTime, from: number, to: number): void {
  for (let i = from; i <= to; i++) {
    assert.ok(Exit.isSuccess(time.run(vm.registry.submit(noteOf(i)))))
  }
  // Snapshots are written in the background.
  time.run(Effect.sleep(1))
}

registry('an accepted note is applied before the submission returns, and can be read back', () => {
  const time = createVirtualTime()
  const store = createStore()
  const vm = createVM(store, time)
  submitAll(vm, time, 1, 2)
  assert.is(vm.current().revision, 2)
  assert.equal(time.run(vm.registry.readNotes(1, 2)), Exit.succeed(vm.accepted))
  assert.equal(store.keys(''), ['config/head', 'note-id/n-1', 'note-id/n-2', 'note/1', 'note/2'])
})

// Guards against a retry by the operator that changes the configuration twice.
registry('a repeated submission returns the accepted note, also at another VM', () => {
  const time = createVirtualTime()
  const store = createStore()
  const vm = createVM(store, time)
  submitAll(vm, time, 1, 1)
  const otherVM = createVM(store, time, 'entry-2')
  assert.equal(time.run(otherVM.registry.submit(noteOf(1))), Exit.succeed(vm.accepted[0]))
  assert.is(otherVM.current().revision, 1)
  assert.is(store.keys('note/').length, 1)
})

// Guards against a VM that refuses notes because its configuration is not the newest.
registry('a VM behind the head applies the missing notes before it checks a submitted one', () => {
  const time = createVirtualTime()
  const store = createStore()
  submitAll(createVM(store, time), time, 1, 120)
  const outdated = createVM(store, time, 'entry-2')
  submitAll(outdated, time, 121, 121)
  assert.equal(outdated.accepted.map(({ revision }) => revision), Array.from({ length: 121 }, (_, i) => i + 1))
})

interface SnapshotCase {
  readonly name: string
  readonly damage: (store: Store) => void
}

const snapshot = (revision: number): string => `snapshot/${revision}`
const older: Configuration = { revision: SNAPSHOT_INTERVAL, services: [], routes: [] }

// Each case guards against a snapshot that hides accepted notes or prevents a VM from starting.
const snapshotCases: readonly SnapshotCase[] = [
  { name: 'with its snapshots', damage: () => {} },
  { name: 'when the newest snapshot is not JSON', damage: store => store.putObject(snapshot(200), Buffer.from('{')) },
  { name: 'when an older snapshot was written to the newest key', damage: store => store.putObject(snapshot(200), Buffer.from(JSON.stringify(older))) },
  { name: 'when a snapshot is malformed', damage: store => store.putObject(snapshot(200), Buffer.from('{"revision":200}')) }
]

for (const { name, damage } of snapshotCases) {
  registry(`the loaded configuration includes all notes ${name}`, () => {
    const time = createVirtualTime()
    const store = createStore()
    const vm = createVM(store, time)
    submitAll(vm, time, 1, 203)
    assert.ok(store.getObject(snapshot(100)) !== undefined && store.getObject(snapshot(200)) !== undefined)
    damage(store)
    const loaded = time.run(createVM(store, time, 'entry-2').registry.load())
    assert.equal(Exit.isSuccess(loaded) && loaded.value.configuration, vm.current())
  })
}

// Guards against a snapshot that is newer than the head that was read.
registry('a snapshot above the requested revision is not used', () => {
  const time = createVirtualTime()
  const store = createStore()
  const vm = createVM(store, time)
  submitAll(vm, time, 1, 100)
  assert.equal(time.run(vm.registry.readSnapshot(99)), Exit.succeed(undefined))
  const exact = time.run(vm.registry.readSnapshot(100))
  assert.is(Exit.isSuccess(exact) && exact.value?.revision, 100)
})

interface LagCase {
  readonly name: string
  /** Number of notes that the reading VM has applied; 3 are accepted. */
  readonly held: number
  /** Staleness of reads in ms. The notes are accepted at intervals of 1 ms, the last one 1 ms before the read. */
  readonly lagMs: number
  readonly expectedRevision: number | undefined
}

// Each case guards against a stale read that confirms an outdated VM, or that prevents the confirmation of a current one.
const lagCases: readonly LagCase[] = [
  { name: 'reads that are not stale', held: 0, lagMs: 0, expectedRevision: 3 },
  { name: 'stale reads at a VM that applied all notes', held: 3, lagMs: 60_000, expectedRevision: 3 },
  { name: 'stale reads at a VM that applied no note', held: 0, lagMs: 60_000, expectedRevision: undefined },
  { name: 'stale reads at a VM without the last note', held: 2, lagMs: 60_000, expectedRevision: undefined },
  { name: 'reads that are stale by less than the duration of the attempts', held: 2, lagMs: 150, expectedRevision: 3 }
]

for (const { name, held, lagMs, expectedRevision } of lagCases) {
  registry(`${name}: ${expectedRevision === undefined ? 'no confirmation' : `revision ${expectedRevision}`}`, () => {
    const time = createVirtualTime()
    const store = createStore()
    const reader = createNoteHolder({
      platform: createMemoryPlatform(store, time.clock, ({ operation }): CallBehaviour => operation === 'read' ? { ...SERVED, lagMs } : SERVED),
      clock: time.clock
    })
    const writer = createVM(store, time, 'entry-2')
    submitAll(writer, time, 1, 3)
    for (const accepted of writer.accepted.slice(0, held)) reader.apply(accepted)
    const read = time.run(reader.registry.readCurrentRevision().pipe(Effect.catch(() => Effect.succeed(undefined))))
    assert.equal(read, Exit.succeed(expectedRevision))
    assert.equal(store.keys(''), ['config/head', 'note-id/n-1', 'note-id/n-2', 'note-id/n-3', 'note/1', 'note/2', 'note/3'])
  })
}

// Guards against an operator who disconnects between commit and propagation.
registry('an interrupted submission is completed', () => {
  const time = createVirtualTime()
  const store = createStore()
  const vm = createVM(store, time)
  time.run(vm.registry.submit(noteOf(1)).pipe(Effect.timeoutOption(0)))
  time.run(Effect.sleep(10))
  assert.is(store.keys('note/').length, 1)
  assert.is(vm.current().revision, 1)
})

registry.run()
