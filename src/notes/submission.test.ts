import { Effect, Exit } from 'effect'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Refusal } from '../errors/index.js'
import type { AcceptedNote, Note } from '../model/index.js'
import { createMemoryPlatform, createNoteHolder, createStore, createVirtualTime, SERVED, type CallBehaviour, type NoteHolder, type Store, type VirtualTime } from '../../stand-ins/platform/index.js'
import { parseNote } from './index.js'

const submission = suite('submission')

/** Longer than the delay of late writes. */
const SETTLE_MS = 60_000

interface TestEnvironment {
  readonly time: VirtualTime
  readonly store: Store
  /** Creates a VM. The platform applies the behaviours to the first calls and serves the others. */
  readonly createVM: (vm: string, behaviours?: readonly CallBehaviour[], canCommit?: (now: number) => boolean) => NoteHolder
}

function createEnvironment (): TestEnvironment {
  const time = createVirtualTime()
  const store = createStore()
  const createVM: TestEnvironment['createVM'] = (vm, behaviours = [], canCommit = () => true) => {
    const remaining = [...behaviours]
    const platform = createMemoryPlatform(store, time.clock, () => remaining.shift() ?? SERVED)
    return createNoteHolder({ platform, clock: time.clock, vm, canCommit })
  }
  return { time, store, createVM }
}

/** Creates a note that adds a service. */
const noteOf = (id: string, service = id, base = 0): Note => parseNote(JSON.stringify({
  id, base, added: { services: [{ name: service, classes: [{ name: 'read' }], floor: 0, preference: 'accuracy' }] }
}))._unsafeUnwrap()

/** Returns `accepted` with the revision, or the kind and run state of the refusal. */
function describeResult (exit: Exit.Exit<AcceptedNote, Refusal>): string {
  if (Exit.isSuccess(exit)) return `accepted ${exit.value.revision}`
  const [reason] = exit.cause.reasons
  return reason?._tag === 'Fail' ? `${reason.error.kind} (${reason.error.run})` : 'interrupted'
}

const submit = ({ time }: TestEnvironment, vm: NoteHolder, note: Note): string => describeResult(time.run(vm.registry.submit(note)))

/** Checks that head, note and note-id rows are consistent. */
function checkTable ({ store }: TestEnvironment, expected: number): void {
  const notes = store.keys('note/')
  assert.is(notes.length, expected, 'note rows')
  assert.is(store.keys('note-id/').length, expected, 'note-id rows')
  const [head] = store.read(['config/head'], 0)
  assert.equal(head === undefined ? 0 : JSON.parse(head.value), expected === 0 ? 0 : { revision: expected })
}

const refused: CallBehaviour = { delayMs: 1, outcome: 'refused' }
const lostRequest: CallBehaviour = { delayMs: 1, outcome: 'lost-request' }
const lostAcknowledgement: CallBehaviour = { delayMs: 1, outcome: 'lost-acknowledgement' }
const slow: CallBehaviour = { delayMs: 5000, outcome: 'served' }
const stale = (lagMs: number): CallBehaviour => ({ delayMs: 1, outcome: 'served', lagMs })
const repeat = (behaviour: CallBehaviour, count = 10): readonly CallBehaviour[] => Array.from({ length: count }, () => behaviour)

const ACCEPTED = 'accepted 1'
const UNAVAILABLE = 'platform-unavailable (not-run)'
const UNKNOWN = 'outcome-unknown (may-have-run)'

interface FaultCase {
  readonly name: string
  /** Behaviours of the calls: read, commit, then read and commit of each further attempt. */
  readonly behaviours: readonly CallBehaviour[]
  readonly expected: string
  /** Number of notes in the table at the end. */
  readonly notes: 0 | 1
}

// Each case guards against a wrong result of the submission.
const faultCases: readonly FaultCase[] = [
  { name: 'read refused', behaviours: [refused], expected: UNAVAILABLE, notes: 0 },
  { name: 'read without response', behaviours: [lostRequest], expected: UNAVAILABLE, notes: 0 },
  { name: 'read slow', behaviours: [slow], expected: ACCEPTED, notes: 1 },
  { name: 'commit refused', behaviours: [SERVED, refused], expected: UNAVAILABLE, notes: 0 },
  { name: 'commit slow', behaviours: [SERVED, slow], expected: ACCEPTED, notes: 1 },
  { name: 'commit request lost', behaviours: [SERVED, lostRequest], expected: ACCEPTED, notes: 1 },
  { name: 'acknowledgement lost', behaviours: [SERVED, lostAcknowledgement], expected: ACCEPTED, notes: 1 },
  { name: 'acknowledgement lost, read back slow', behaviours: [SERVED, lostAcknowledgement, slow], expected: ACCEPTED, notes: 1 },
  { name: 'acknowledgement lost, read back refused four times', behaviours: [SERVED, lostAcknowledgement, ...repeat(refused, 4)], expected: ACCEPTED, notes: 1 },
  { name: 'acknowledgement lost, read back always refused', behaviours: [SERVED, lostAcknowledgement, ...repeat(refused)], expected: UNKNOWN, notes: 1 },
  { name: 'acknowledgement lost, no response to any read back', behaviours: [SERVED, lostAcknowledgement, ...repeat(lostRequest)], expected: UNKNOWN, notes: 1 },
  { name: 'commit request lost, read back always refused', behaviours: [SERVED, lostRequest, ...repeat(refused)], expected: UNKNOWN, notes: 0 },
  { name: 'commit request lost, second commit refused', behaviours: [SERVED, lostRequest, SERVED, refused], expected: ACCEPTED, notes: 1 },
  { name: 'all commit requests lost', behaviours: repeat(SERVED, 6).flatMap(behaviour => [behaviour, lostRequest]), expected: UNKNOWN, notes: 0 },
  { name: 'both acknowledgements lost', behaviours: [SERVED, lostAcknowledgement, refused, SERVED, lostAcknowledgement], expected: ACCEPTED, notes: 1 },
  { name: 'commit takes effect after the second commit', behaviours: [SERVED, { delayMs: 1, outcome: 'late', lateMs: 300 }], expected: ACCEPTED, notes: 1 },
  {
    name: 'commit takes effect between the second read and the second commit',
    behaviours: [SERVED, { delayMs: 1, outcome: 'late', lateMs: 60 }, SERVED, { delayMs: 20, outcome: 'served' }],
    expected: ACCEPTED,
    notes: 1
  },
  { name: 'commit takes effect after the result was returned', behaviours: [SERVED, { delayMs: 1, outcome: 'late', lateMs: 20_000 }, ...repeat(refused)], expected: UNKNOWN, notes: 1 },
  { name: 'acknowledgement lost, reads stale by a second', behaviours: [SERVED, lostAcknowledgement, ...repeat(stale(1000))], expected: ACCEPTED, notes: 1 },
  { name: 'acknowledgement lost, reads stale by a minute', behaviours: [SERVED, lostAcknowledgement, ...repeat(stale(60_000), 20)], expected: UNKNOWN, notes: 1 }
]

for (const { name, behaviours, expected, notes } of faultCases) {
  submission(`${name}: ${expected}, and ${notes} notes in the table`, () => {
    const environment = createEnvironment()
    const vm = environment.createVM('entry-1', behaviours)
    assert.is(submit(environment, vm, noteOf('a')), expected)
    // After an acceptance, the configuration of the VM includes the note.
    assert.is(vm.current().revision, expected === ACCEPTED ? 1 : 0)
    environment.time.run(Effect.sleep(SETTLE_MS))
    checkTable(environment, notes)
    // The response to every failure advises to submit again with the same id, which must lead to one note.
    assert.is(submit(environment, environment.createVM('entry-2'), noteOf('a')), ACCEPTED)
    checkTable(environment, 1)
  })
}

/** A read of head and id in which only the id is stale. */
const staleId: CallBehaviour = { ...stale(60_000), skewed: true }

// Guards against a note that conflicts with itself because a stale read misses its id.
submission('acknowledgement lost, the read shows the head but not the id: accepted', () => {
  const environment = createEnvironment()
  const vm = environment.createVM('entry-1', [SERVED, lostAcknowledgement, staleId])
  assert.is(submit(environment, vm, noteOf('a')), ACCEPTED)
  checkTable(environment, 1)
})

// Guards against an id that is accepted twice because a stale read misses it.
submission('the same id for another note while reads do not show the id: not accepted twice', () => {
  const environment = createEnvironment()
  submit(environment, environment.createVM('entry-2'), noteOf('a'))
  const vm = environment.createVM('entry-1', repeat(staleId, 3))
  assert.is(submit(environment, vm, noteOf('a', 'other', 1)), 'note-conflict (not-run)')
  checkTable(environment, 1)
})

interface RaceCase {
  readonly name: string
  readonly slowNote: Note
  readonly fastNote: Note
  readonly expected: string
  readonly notes: number
}

const conflict = 'note-conflict (not-run)'

// Each case guards against a slow VM that overwrites the note of a fast one.
const raceCases: readonly RaceCase[] = [
  { name: 'notes on different entries', slowNote: noteOf('a'), fastNote: noteOf('b'), expected: 'accepted 2', notes: 2 },
  { name: 'notes on the same entry', slowNote: noteOf('a', 's'), fastNote: noteOf('b', 's'), expected: conflict, notes: 1 },
  { name: 'the same note', slowNote: noteOf('a'), fastNote: noteOf('a'), expected: ACCEPTED, notes: 1 },
  { name: 'the same id for another note', slowNote: noteOf('a', 's'), fastNote: noteOf('a', 't'), expected: conflict, notes: 1 }
]

/** Runs both submissions concurrently. The first one commits after the second one has ended. */
function submitBoth (environment: TestEnvironment, slow: readonly [NoteHolder, Note], fast: readonly [NoteHolder, Note]): readonly string[] {
  const [slowFiber, fastFiber] = [slow, fast].map(([vm, note]) => environment.time.fork(vm.registry.submit(note).pipe(Effect.exit)))
  environment.time.run(Effect.sleep(SETTLE_MS))
  return [slowFiber, fastFiber].map(fiber => {
    const exit = fiber?.pollUnsafe()
    return exit !== undefined && Exit.isSuccess(exit) ? describeResult(exit.value) : 'not ended'
  })
}

for (const { name, slowNote, fastNote, expected, notes } of raceCases) {
  for (const pauseMs of [10, 30_000]) {
    submission(`${name}, commit ${pauseMs} ms after the check: ${expected}`, () => {
      const environment = createEnvironment()
      const pausedVM = environment.createVM('entry-1', [SERVED, { delayMs: pauseMs, outcome: 'served' }])
      assert.equal(submitBoth(environment, [pausedVM, slowNote], [environment.createVM('entry-2'), fastNote]), [expected, ACCEPTED])
      checkTable(environment, notes)
      assert.is(pausedVM.current().revision, notes)
    })
  }
}

// Guards against a conflict after a race that is reported without the accepted note.
submission('a conflict after a race names the accepted note', () => {
  const environment = createEnvironment()
  submit(environment, environment.createVM('entry-2'), noteOf('winner', 's'))
  const exit = environment.time.run(environment.createVM('entry-1').registry.submit(noteOf('loser', 's')).pipe(Effect.flip))
  const conflicts = Exit.isSuccess(exit) ? exit.value.extra['conflicts'] : undefined
  assert.equal(conflicts, [{ note: 'winner', revision: 1, entries: ['service:s'] }])
})

// Guards against a note from a VM that cannot propagate it.
submission('a VM without a majority commits nothing: fleet-split', () => {
  const environment = createEnvironment()
  assert.is(submit(environment, environment.createVM('entry-1', [], () => false), noteOf('a')), 'fleet-split (not-run)')
  checkTable(environment, 0)
})

submission('a VM that loses its majority during the check commits nothing: fleet-split', () => {
  const environment = createEnvironment()
  const vm = environment.createVM('entry-1', [slow], now => now < 3000)
  assert.is(submit(environment, vm, noteOf('a')), 'fleet-split (not-run)')
  checkTable(environment, 0)
})

// Guards against a refusal as not run while the first commit may still take effect.
submission('a VM that loses its majority after an unacknowledged commit: outcome-unknown', () => {
  const environment = createEnvironment()
  const late: CallBehaviour = { delayMs: 1, outcome: 'late', lateMs: 10_000 }
  const vm = environment.createVM('entry-1', [SERVED, late], now => now < 20)
  assert.is(submit(environment, vm, noteOf('a')), UNKNOWN)
  environment.time.run(Effect.sleep(SETTLE_MS))
  checkTable(environment, 1)
})

// Guards against a VM without a majority that refuses a note that was accepted.
submission('a VM without a majority returns a note that is in the table as accepted', () => {
  const environment = createEnvironment()
  submit(environment, environment.createVM('entry-2'), noteOf('a'))
  assert.is(submit(environment, environment.createVM('entry-1', [], () => false), noteOf('a')), ACCEPTED)
})

interface AnnouncedCase {
  readonly name: string
  readonly behaviours: readonly CallBehaviour[]
  /** Time in ms from which a transaction may start. */
  readonly currentFrom?: number
  readonly expected: string
  readonly abandoned: number
}

// Each case guards against VMs that drop a note that may be accepted, or that keep a note undecided for longer than necessary.
const announcedCases: readonly AnnouncedCase[] = [
  { name: 'accepted', behaviours: [], expected: ACCEPTED, abandoned: 0 },
  { name: 'commit refused', behaviours: [SERVED, refused], expected: UNAVAILABLE, abandoned: 1 },
  { name: 'acknowledgement lost, read back refused', behaviours: [SERVED, lostAcknowledgement, ...repeat(refused)], expected: UNKNOWN, abandoned: 0 },
  { name: 'commit request lost, second commit refused', behaviours: [SERVED, lostRequest, SERVED, refused], expected: ACCEPTED, abandoned: 1 },
  { name: 'a transaction that could not start in time', behaviours: [], currentFrom: 60, expected: ACCEPTED, abandoned: 2 },
  { name: 'no transaction could start in time', behaviours: [], currentFrom: Infinity, expected: UNAVAILABLE, abandoned: 6 }
]

for (const { name, behaviours, currentFrom = 0, expected, abandoned } of announcedCases) {
  submission(`announced, ${name}: ${expected}, ${abandoned} announcements abandoned`, () => {
    const environment = createEnvironment()
    const remaining = [...behaviours]
    const { clock } = environment.time
    const platform = createMemoryPlatform(environment.store, clock, () => remaining.shift() ?? SERVED)
    const vm = createNoteHolder({ platform, clock, isCurrent: now => now >= currentFrom })
    assert.is(submit(environment, vm, noteOf('a')), expected)
    assert.is(vm.abandoned(), abandoned)
  })
}

submission('the announcement is abandoned after a lost race', () => {
  const environment = createEnvironment()
  const pausedVM = environment.createVM('entry-1', [SERVED, { delayMs: 10, outcome: 'served' }])
  assert.equal(submitBoth(environment, [pausedVM, noteOf('a', 's')], [environment.createVM('entry-2'), noteOf('b', 's')]), [conflict, ACCEPTED])
  assert.is(pausedVM.abandoned(), 1)
})

// Guards against `fleet-split` for a note that only lost a race.
for (const [service, expected] of [['t', 'accepted 2'], ['s', conflict]] as const) {
  submission(`a note of service ${service}, while another note is accepted during its announcement: ${expected}`, () => {
    const environment = createEnvironment()
    const winner = environment.createVM('entry-2')
    submit(environment, winner, noteOf('winner', 's'))
    const vm: NoteHolder = environment.createVM('entry-1', [stale(60_000)], () => {
      if (vm.current().revision > 0) return true
      winner.accepted.forEach(vm.apply)
      return false
    })
    assert.is(submit(environment, vm, noteOf('loser', service)), expected)
  })
}

interface BehindCase {
  readonly name: string
  readonly behaviours: readonly CallBehaviour[]
  readonly expected: string
}

// Each case guards against checking a note against an outdated configuration.
const behindCases: readonly BehindCase[] = [
  { name: 'missing notes read', behaviours: [], expected: 'accepted 3' },
  { name: 'missing notes refused once', behaviours: [SERVED, refused], expected: 'accepted 3' },
  { name: 'missing notes always refused', behaviours: repeat(SERVED, 6).flatMap(behaviour => [behaviour, refused]), expected: UNAVAILABLE },
  { name: 'missing notes not shown by a stale read', behaviours: [SERVED, stale(1000)], expected: 'accepted 3' }
]

for (const { name, behaviours, expected } of behindCases) {
  submission(`VM behind the head, ${name}: ${expected}`, () => {
    const environment = createEnvironment()
    const upToDateVM = environment.createVM('entry-2')
    submit(environment, upToDateVM, noteOf('a'))
    submit(environment, upToDateVM, noteOf('b'))
    assert.is(submit(environment, environment.createVM('entry-1', behaviours), noteOf('c')), expected)
    checkTable(environment, expected === UNAVAILABLE ? 2 : 3)
  })
}

// Guards against a check that reads the whole history because of an old base.
submission('a base more than 2000 revisions old is refused', () => {
  const environment = createEnvironment()
  const vm = environment.createVM('entry-1')
  for (let i = 0; i < 2001; i++) assert.is(submit(environment, vm, noteOf(`n-${i}`, `s-${i}`, i)), `accepted ${i + 1}`)
  assert.is(submit(environment, vm, noteOf('old')), conflict)
})

submission.run()
