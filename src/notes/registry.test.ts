import { Effect, Exit } from 'effect'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Configuration, Note } from '../model/index.js'
import { createMemoryPlatform, createNoteHolder, createStore, createVirtualTime, SERVED, type CallBehaviour, type NoteHolder, type Store, type VirtualTime } from '../../stand-ins/platform/index.js'
import { parseNote, SNAPSHOT_INTERVAL } from './index.js'

const registry = suite('registry')

const createMachine = (store: Store, time: VirtualTime, vm = 'entry-1'): NoteHolder =>
  createNoteHolder({ platform: createMemoryPlatform(store, time.clock), clock: time.clock, vm })

const noteOf = (i: number): Note => parseNote(JSON.stringify({
  id: `n-${i}`,
  base: i - 1,
  added: { services: [{ name: `s-${i}`, classes: [{ name: 'read' }], floor: 0, preference: 'accuracy' }] }
}))._unsafeUnwrap()

function submitAll (machine: NoteHolder, time: VirtualTime, from: number, to: number): void {
  for (let i = from; i <= to; i++) {
    assert.ok(Exit.isSuccess(time.run(machine.registry.submit(noteOf(i)))))
  }
  // Snapshots are written in the background.
  time.run(Effect.sleep(1))
}

registry('an accepted note is applied before the operator is answered, and can be read back', () => {
  const time = createVirtualTime()
  const store = createStore()
  const machine = createMachine(store, time)
  submitAll(machine, time, 1, 2)
  assert.is(machine.current().revision, 2)
  assert.equal(time.run(machine.registry.readNotes(1, 2)), Exit.succeed(machine.accepted))
  assert.equal(store.keys(''), ['config/head', 'note-id/n-1', 'note-id/n-2', 'note/1', 'note/2'])
})

// Guards against an operator's retry that changes the configuration twice.
registry('a repeated submission returns the accepted note, also at another VM', () => {
  const time = createVirtualTime()
  const store = createStore()
  const machine = createMachine(store, time)
  submitAll(machine, time, 1, 1)
  const other = createMachine(store, time, 'entry-2')
  assert.equal(time.run(other.registry.submit(noteOf(1))), Exit.succeed(machine.accepted[0]))
  assert.is(other.current().revision, 1)
  assert.is(store.keys('note/').length, 1)
})

// Guards against a VM that refuses notes only because it is behind.
registry('a VM that is behind applies the missing notes before it checks its own', () => {
  const time = createVirtualTime()
  const store = createStore()
  submitAll(createMachine(store, time), time, 1, 120)
  const behind = createMachine(store, time, 'entry-2')
  submitAll(behind, time, 121, 121)
  assert.equal(behind.accepted.map(({ revision }) => revision), Array.from({ length: 121 }, (_, i) => i + 1))
})

interface SnapshotCase {
  readonly name: string
  readonly damage: (store: Store) => void
}

const snapshot = (revision: number): string => `snapshot/${revision}`
const older: Configuration = { revision: SNAPSHOT_INTERVAL, services: [], routes: [] }

// Each case guards against a snapshot that hides accepted notes or stops a VM from starting.
const snapshotCases: readonly SnapshotCase[] = [
  { name: 'with its snapshots', damage: () => {} },
  { name: 'when the newest snapshot is not JSON', damage: store => store.putObject(snapshot(200), Buffer.from('{')) },
  { name: 'when an older snapshot was written under the newest key', damage: store => store.putObject(snapshot(200), Buffer.from(JSON.stringify(older))) },
  { name: 'when a snapshot has an unknown form', damage: store => store.putObject(snapshot(200), Buffer.from('{"revision":200}')) }
]

for (const { name, damage } of snapshotCases) {
  registry(`loading gives the configuration of all notes ${name}`, () => {
    const time = createVirtualTime()
    const store = createStore()
    const machine = createMachine(store, time)
    submitAll(machine, time, 1, 203)
    assert.ok(store.getObject(snapshot(100)) !== undefined && store.getObject(snapshot(200)) !== undefined)
    damage(store)
    const loaded = time.run(createMachine(store, time, 'entry-2').registry.load())
    assert.equal(Exit.isSuccess(loaded) && loaded.value.configuration, machine.current())
  })
}

// Guards against a snapshot from the future of a reader's head, which would skip its own notes.
registry('a snapshot above the asked revision is not used', () => {
  const time = createVirtualTime()
  const store = createStore()
  const machine = createMachine(store, time)
  submitAll(machine, time, 1, 100)
  assert.equal(time.run(machine.registry.readSnapshot(99)), Exit.succeed(undefined))
  const exact = time.run(machine.registry.readSnapshot(100))
  assert.is(Exit.isSuccess(exact) && exact.value?.revision, 100)
})

interface LagCase {
  readonly name: string
  /** Notes that the reading VM holds; 3 are accepted. */
  readonly held: number
  /** How far reads lag, in ms; the notes are 1 ms apart, the last one was accepted 1 ms before the read. */
  readonly lagMs: number
  readonly told: number | undefined
}

// Each case guards against a lagging read that confirms a VM that is behind, or that stops a current one.
const lagCases: readonly LagCase[] = [
  { name: 'reads that do not lag', held: 0, lagMs: 0, told: 3 },
  { name: 'lagging reads at a VM that holds all notes', held: 3, lagMs: 60_000, told: 3 },
  { name: 'lagging reads at a VM that holds no note', held: 0, lagMs: 60_000, told: undefined },
  { name: 'lagging reads at a VM that misses the last note', held: 2, lagMs: 60_000, told: undefined },
  { name: 'reads that lag by less than the tries take', held: 2, lagMs: 150, told: 3 }
]

for (const { name, held, lagMs, told } of lagCases) {
  registry(`${name}: ${told === undefined ? 'no confirmation' : `revision ${told}`}`, () => {
    const time = createVirtualTime()
    const store = createStore()
    const reader = createNoteHolder({
      platform: createMemoryPlatform(store, time.clock, ({ operation }): CallBehaviour => operation === 'read' ? { ...SERVED, lagMs } : SERVED),
      clock: time.clock
    })
    const writer = createMachine(store, time, 'entry-2')
    submitAll(writer, time, 1, 3)
    for (const accepted of writer.accepted.slice(0, held)) reader.apply(accepted)
    const read = time.run(reader.registry.readCurrentRevision().pipe(Effect.catch(() => Effect.succeed(undefined))))
    assert.equal(read, Exit.succeed(told))
    assert.equal(store.keys(''), ['config/head', 'note-id/n-1', 'note-id/n-2', 'note-id/n-3', 'note/1', 'note/2', 'note/3'])
  })
}

// Guards against an operator that goes away between commit and propagation.
registry('an interrupted submission is completed', () => {
  const time = createVirtualTime()
  const store = createStore()
  const machine = createMachine(store, time)
  time.run(machine.registry.submit(noteOf(1)).pipe(Effect.timeoutOption(0)))
  time.run(Effect.sleep(10))
  assert.is(store.keys('note/').length, 1)
  assert.is(machine.current().revision, 1)
})

registry.run()
