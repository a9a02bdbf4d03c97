import { Effect, Exit } from 'effect'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Refusal } from '../errors/index.js'
import type { AcceptedNote, Note } from '../model/index.js'
import { createMemoryPlatform, createNoteHolder, createStore, createVirtualTime, SERVED, type CallBehaviour, type NoteHolder, type Store, type VirtualTime } from '../../stand-ins/platform/index.js'
import { parseNote } from './index.js'

const submission = suite('submission')

/** Long enough for late writes. */
const SETTLE_MS = 60_000

interface World {
  readonly time: VirtualTime
  readonly store: Store
  /** A VM whose platform calls have the given fates; further calls are served. */
  readonly machine: (vm: string, fates?: readonly CallBehaviour[], canCommit?: (now: number) => boolean) => NoteHolder
}

function createWorld (): World {
  const time = createVirtualTime()
  const store = createStore()
  const machine: World['machine'] = (vm, fates = [], canCommit = () => true) => {
    const left = [...fates]
    const platform = createMemoryPlatform(store, time.clock, () => left.shift() ?? SERVED)
    return createNoteHolder({ platform, clock: time.clock, vm, canCommit })
  }
  return { time, store, machine }
}

/** A note that adds a service. */
const noteOf = (id: string, service = id, base = 0): Note => parseNote(JSON.stringify({
  id, base, added: { services: [{ name: service, classes: [{ name: 'read' }], floor: 0, preference: 'accuracy' }] }
}))._unsafeUnwrap()

/** `accepted` or the refusal's kind and run state. */
function show (exit: Exit.Exit<AcceptedNote, Refusal>): string {
  if (Exit.isSuccess(exit)) return `accepted ${exit.value.revision}`
  const [reason] = exit.cause.reasons
  return reason?._tag === 'Fail' ? `${reason.error.kind} (${reason.error.run})` : 'interrupted'
}

const submit = ({ time }: World, machine: NoteHolder, note: Note): string => show(time.run(machine.registry.submit(note)))

/** Head, note and note-id rows must belong together at every end. */
function checkTable ({ store }: World, expected: number): void {
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
const many = (fate: CallBehaviour, count = 10): readonly CallBehaviour[] => Array.from({ length: count }, () => fate)

const ACCEPTED = 'accepted 1'
const UNAVAILABLE = 'platform-unavailable (not-run)'
const UNKNOWN = 'outcome-unknown (may-have-run)'

interface FaultCase {
  readonly name: string
  /** Fates of the calls: read, commit, then read and commit of each further try. */
  readonly fates: readonly CallBehaviour[]
  readonly told: string
  /** Notes in the table at the end. */
  readonly notes: 0 | 1
}

// Each case guards against an operator who is told something untrue about the note.
const faultCases: readonly FaultCase[] = [
  { name: 'read refused', fates: [refused], told: UNAVAILABLE, notes: 0 },
  { name: 'read without answer', fates: [lostRequest], told: UNAVAILABLE, notes: 0 },
  { name: 'read slow', fates: [slow], told: ACCEPTED, notes: 1 },
  { name: 'commit refused', fates: [SERVED, refused], told: UNAVAILABLE, notes: 0 },
  { name: 'commit slow', fates: [SERVED, slow], told: ACCEPTED, notes: 1 },
  { name: 'commit lost on its way', fates: [SERVED, lostRequest], told: ACCEPTED, notes: 1 },
  { name: 'acknowledgement lost', fates: [SERVED, lostAcknowledgement], told: ACCEPTED, notes: 1 },
  { name: 'acknowledgement lost, read back slow', fates: [SERVED, lostAcknowledgement, slow], told: ACCEPTED, notes: 1 },
  { name: 'acknowledgement lost, read back refused four times', fates: [SERVED, lostAcknowledgement, ...many(refused, 4)], told: ACCEPTED, notes: 1 },
  { name: 'acknowledgement lost, read back always refused', fates: [SERVED, lostAcknowledgement, ...many(refused)], told: UNKNOWN, notes: 1 },
  { name: 'acknowledgement lost, read back never answered', fates: [SERVED, lostAcknowledgement, ...many(lostRequest)], told: UNKNOWN, notes: 1 },
  { name: 'commit lost on its way, read back always refused', fates: [SERVED, lostRequest, ...many(refused)], told: UNKNOWN, notes: 0 },
  { name: 'commit lost on its way, second commit refused', fates: [SERVED, lostRequest, SERVED, refused], told: ACCEPTED, notes: 1 },
  { name: 'all commits lost on their way', fates: many(SERVED, 6).flatMap(fate => [fate, lostRequest]), told: UNKNOWN, notes: 0 },
  { name: 'both acknowledgements lost', fates: [SERVED, lostAcknowledgement, refused, SERVED, lostAcknowledgement], told: ACCEPTED, notes: 1 },
  { name: 'commit takes effect after the second commit', fates: [SERVED, { delayMs: 1, outcome: 'late', lateMs: 300 }], told: ACCEPTED, notes: 1 },
  {
    name: 'commit takes effect between the second read and the second commit',
    fates: [SERVED, { delayMs: 1, outcome: 'late', lateMs: 60 }, SERVED, { delayMs: 20, outcome: 'served' }],
    told: ACCEPTED,
    notes: 1
  },
  { name: 'commit takes effect after the answer', fates: [SERVED, { delayMs: 1, outcome: 'late', lateMs: 20_000 }, ...many(refused)], told: UNKNOWN, notes: 1 },
  { name: 'acknowledgement lost, reads lag for a second', fates: [SERVED, lostAcknowledgement, ...many(stale(1000))], told: ACCEPTED, notes: 1 },
  { name: 'acknowledgement lost, reads lag for a minute', fates: [SERVED, lostAcknowledgement, ...many(stale(60_000), 20)], told: UNKNOWN, notes: 1 }
]

for (const { name, fates, told, notes } of faultCases) {
  submission(`${name}: ${told}, and ${notes} notes in the table`, () => {
    const world = createWorld()
    const machine = world.machine('entry-1', fates)
    assert.is(submit(world, machine, noteOf('a')), told)
    // Whoever is told that the note is accepted reads a configuration that has it.
    assert.is(machine.current().revision, told === ACCEPTED ? 1 : 0)
    world.time.run(Effect.sleep(SETTLE_MS))
    checkTable(world, notes)
    // The advice of every answer is to submit again under the same id, and that must end in one note.
    assert.is(submit(world, world.machine('entry-2'), noteOf('a')), ACCEPTED)
    checkTable(world, 1)
  })
}

/** A read of head and id in which only the id lags. */
const staleId: CallBehaviour = { ...stale(60_000), skewed: true }

// Guards against a note that conflicts with itself because its id is not shown yet.
submission('acknowledgement lost, the head is shown before the id: accepted', () => {
  const world = createWorld()
  const machine = world.machine('entry-1', [SERVED, lostAcknowledgement, staleId])
  assert.is(submit(world, machine, noteOf('a')), ACCEPTED)
  checkTable(world, 1)
})

// Guards against an id that is accepted twice because a read does not show it yet.
submission('the same id for another note while the id is not shown: nothing is accepted twice', () => {
  const world = createWorld()
  submit(world, world.machine('entry-2'), noteOf('a'))
  const machine = world.machine('entry-1', many(staleId, 3))
  assert.is(submit(world, machine, noteOf('a', 'other', 1)), 'note-conflict (not-run)')
  checkTable(world, 1)
})

interface RaceCase {
  readonly name: string
  readonly slowNote: Note
  readonly fastNote: Note
  readonly told: string
  readonly notes: number
}

const conflict = 'note-conflict (not-run)'

// Each case guards against a slow VM that overwrites the note of a fast one.
const raceCases: readonly RaceCase[] = [
  { name: 'notes on different entries', slowNote: noteOf('a'), fastNote: noteOf('b'), told: 'accepted 2', notes: 2 },
  { name: 'notes on the same entry', slowNote: noteOf('a', 's'), fastNote: noteOf('b', 's'), told: conflict, notes: 1 },
  { name: 'the same note', slowNote: noteOf('a'), fastNote: noteOf('a'), told: ACCEPTED, notes: 1 },
  { name: 'the same id for another note', slowNote: noteOf('a', 's'), fastNote: noteOf('a', 't'), told: conflict, notes: 1 }
]

/** Runs both submissions at once; the first one's commit starts after the second one's end. */
function race (world: World, slow: readonly [NoteHolder, Note], fast: readonly [NoteHolder, Note]): readonly string[] {
  const [told, other] = [slow, fast].map(([machine, note]) => world.time.fork(machine.registry.submit(note).pipe(Effect.exit)))
  world.time.run(Effect.sleep(SETTLE_MS))
  return [told, other].map(fiber => {
    const exit = fiber?.pollUnsafe()
    return exit !== undefined && Exit.isSuccess(exit) ? show(exit.value) : 'not ended'
  })
}

for (const { name, slowNote, fastNote, told, notes } of raceCases) {
  for (const pauseMs of [10, 30_000]) {
    submission(`${name}, commit ${pauseMs} ms after the check: ${told}`, () => {
      const world = createWorld()
      const paused = world.machine('entry-1', [SERVED, { delayMs: pauseMs, outcome: 'served' }])
      assert.equal(race(world, [paused, slowNote], [world.machine('entry-2'), fastNote]), [told, ACCEPTED])
      checkTable(world, notes)
      assert.is(paused.current().revision, notes)
    })
  }
}

// Guards against a lost race that is reported without the note that won it.
submission('a lost race names the note that won it', () => {
  const world = createWorld()
  submit(world, world.machine('entry-2'), noteOf('winner', 's'))
  const exit = world.time.run(world.machine('entry-1').registry.submit(noteOf('loser', 's')).pipe(Effect.flip))
  const conflicts = Exit.isSuccess(exit) ? exit.value.extra['conflicts'] : undefined
  assert.equal(conflicts, [{ note: 'winner', revision: 1, entries: ['service:s'] }])
})

// Guards against a note from a VM that cannot propagate it.
submission('a VM without a majority commits nothing: fleet-split', () => {
  const world = createWorld()
  assert.is(submit(world, world.machine('entry-1', [], () => false), noteOf('a')), 'fleet-split (not-run)')
  checkTable(world, 0)
})

submission('a VM that loses the majority during the check commits nothing: fleet-split', () => {
  const world = createWorld()
  const machine = world.machine('entry-1', [slow], now => now < 3000)
  assert.is(submit(world, machine, noteOf('a')), 'fleet-split (not-run)')
  checkTable(world, 0)
})

// Guards against "nothing was changed" while the first commit may still take effect.
submission('a VM that loses the majority after a commit without acknowledgement: outcome-unknown', () => {
  const world = createWorld()
  const late: CallBehaviour = { delayMs: 1, outcome: 'late', lateMs: 10_000 }
  const machine = world.machine('entry-1', [SERVED, late], now => now < 20)
  assert.is(submit(world, machine, noteOf('a')), UNKNOWN)
  world.time.run(Effect.sleep(SETTLE_MS))
  checkTable(world, 1)
})

// Guards against a VM without a majority that denies a note that was accepted.
submission('a VM without a majority confirms a note that is in the table', () => {
  const world = createWorld()
  submit(world, world.machine('entry-2'), noteOf('a'))
  assert.is(submit(world, world.machine('entry-1', [], () => false), noteOf('a')), ACCEPTED)
})

interface AnnouncedCase {
  readonly name: string
  readonly fates: readonly CallBehaviour[]
  /** Time in ms from which on a transaction may start. */
  readonly currentFrom?: number
  readonly told: string
  readonly abandoned: number
}

// Each case guards against VMs that drop a note that may be accepted, or that hold one for undecided without need.
const announcedCases: readonly AnnouncedCase[] = [
  { name: 'accepted', fates: [], told: ACCEPTED, abandoned: 0 },
  { name: 'commit refused', fates: [SERVED, refused], told: UNAVAILABLE, abandoned: 1 },
  { name: 'acknowledgement lost, read back refused', fates: [SERVED, lostAcknowledgement, ...many(refused)], told: UNKNOWN, abandoned: 0 },
  { name: 'commit lost on its way, second commit refused', fates: [SERVED, lostRequest, SERVED, refused], told: ACCEPTED, abandoned: 1 },
  { name: 'a transaction that could not start in time', fates: [], currentFrom: 60, told: ACCEPTED, abandoned: 2 },
  { name: 'no transaction could start in time', fates: [], currentFrom: Infinity, told: UNAVAILABLE, abandoned: 6 }
]

for (const { name, fates, currentFrom = 0, told, abandoned } of announcedCases) {
  submission(`announced, ${name}: ${told}, ${abandoned} announcements given up`, () => {
    const world = createWorld()
    const left = [...fates]
    const { clock } = world.time
    const platform = createMemoryPlatform(world.store, clock, () => left.shift() ?? SERVED)
    const machine = createNoteHolder({ platform, clock, isCurrent: now => now >= currentFrom })
    assert.is(submit(world, machine, noteOf('a')), told)
    assert.is(machine.abandoned(), abandoned)
  })
}

submission('the announcement of a lost race is given up', () => {
  const world = createWorld()
  const paused = world.machine('entry-1', [SERVED, { delayMs: 10, outcome: 'served' }])
  assert.equal(race(world, [paused, noteOf('a', 's')], [world.machine('entry-2'), noteOf('b', 's')]), [conflict, ACCEPTED])
  assert.is(paused.abandoned(), 1)
})

// Guards against an operator who is told of a split fleet although the note only lost a race.
for (const [service, told] of [['t', 'accepted 2'], ['s', conflict]] as const) {
  submission(`a note of service ${service} that another one overtakes during its announcement: ${told}`, () => {
    const world = createWorld()
    const winner = world.machine('entry-2')
    submit(world, winner, noteOf('winner', 's'))
    const machine: NoteHolder = world.machine('entry-1', [stale(60_000)], () => {
      if (machine.current().revision > 0) return true
      winner.accepted.forEach(machine.apply)
      return false
    })
    assert.is(submit(world, machine, noteOf('loser', service)), told)
  })
}

interface BehindCase {
  readonly name: string
  readonly fates: readonly CallBehaviour[]
  readonly told: string
}

// Each case guards against a check of a note against an old configuration.
const behindCases: readonly BehindCase[] = [
  { name: 'missing notes read', fates: [], told: 'accepted 3' },
  { name: 'missing notes refused once', fates: [SERVED, refused], told: 'accepted 3' },
  { name: 'missing notes always refused', fates: many(SERVED, 6).flatMap(fate => [fate, refused]), told: UNAVAILABLE },
  { name: 'missing notes not shown yet', fates: [SERVED, stale(1000)], told: 'accepted 3' }
]

for (const { name, fates, told } of behindCases) {
  submission(`VM behind the head, ${name}: ${told}`, () => {
    const world = createWorld()
    const ahead = world.machine('entry-2')
    submit(world, ahead, noteOf('a'))
    submit(world, ahead, noteOf('b'))
    assert.is(submit(world, world.machine('entry-1', fates), noteOf('c')), told)
    checkTable(world, told === UNAVAILABLE ? 2 : 3)
  })
}

// Guards against a base so old that its check would read the whole history.
submission('a base more than 2000 revisions old is refused', () => {
  const world = createWorld()
  const machine = world.machine('entry-1')
  for (let i = 0; i < 2001; i++) assert.is(submit(world, machine, noteOf(`n-${i}`, `s-${i}`, i)), `accepted ${i + 1}`)
  assert.is(submit(world, machine, noteOf('old')), conflict)
})

submission.run()
