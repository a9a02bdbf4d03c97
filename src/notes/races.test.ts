/**
 * Operators' races: many registries submit overlapping notes over a faulty platform. The same runs
 * without conditional writes must break the invariants, which shows that they reach the races.
 */
import { Effect, Exit, Fiber } from 'effect'
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Refusal } from '../errors/index.js'
import type { AcceptedNote, Configuration, Note, Platform } from '../model/index.js'
import { createMemoryPlatform, createNoteHolder, createStore, createVirtualTime, type CallBehaviour, type NoteHolder, type Store, type VirtualTime } from '../../stand-ins/platform/index.js'
import { applyNote, EMPTY_CONFIGURATION, parseNote } from './index.js'

const races = suite('operators\' races')

const SEED = 20_260_301
const RUNS = 300
const VMS = 3
/** Longer than the longest late write and the longest submission. */
const SETTLE_MS = 120_000

interface Submission {
  readonly vm: number
  readonly atMs: number
  readonly id: number
  readonly service: number
  /** How many revisions the operator's view is behind that of the VM. */
  readonly age: number
}

interface Scenario {
  readonly submissions: readonly Submission[]
  /** Fates of each VM's calls, repeated from the start when they are used up. */
  readonly fates: ReadonlyArray<readonly CallBehaviour[]>
  /** For each VM, the time in ms from which on it may not commit. */
  readonly splitAtMs: readonly number[]
}

const fate: fc.Arbitrary<CallBehaviour> = fc.record({
  delayMs: fc.oneof({ weight: 6, arbitrary: fc.integer({ min: 0, max: 30 }) }, { weight: 1, arbitrary: fc.integer({ min: 500, max: 5000 }) }),
  outcome: fc.oneof(
    { weight: 8, arbitrary: fc.constant('served' as const) },
    { weight: 4, arbitrary: fc.constantFrom('refused' as const, 'lost-request' as const, 'lost-acknowledgement' as const, 'late' as const) }
  ),
  lateMs: fc.integer({ min: 0, max: 3000 }),
  lagMs: fc.oneof({ weight: 6, arbitrary: fc.constant(0) }, { weight: 1, arbitrary: fc.integer({ min: 0, max: 1000 }) }),
  skewed: fc.boolean()
})

const submission: fc.Arbitrary<Submission> = fc.record({
  vm: fc.integer({ min: 0, max: VMS - 1 }),
  atMs: fc.integer({ min: 0, max: 2000 }),
  id: fc.integer({ min: 0, max: 9 }),
  service: fc.integer({ min: 0, max: 3 }),
  age: fc.integer({ min: 0, max: 2 })
})

const scenario: fc.Arbitrary<Scenario> = fc.record({
  submissions: fc.array(submission, { minLength: 2, maxLength: 16 }),
  fates: fc.array(fc.array(fate, { minLength: 1, maxLength: 24 }), { minLength: VMS, maxLength: VMS }),
  splitAtMs: fc.array(fc.oneof({ weight: 4, arbitrary: fc.constant(Infinity) }, { weight: 1, arbitrary: fc.integer({ min: 0, max: 3000 }) }), { minLength: VMS, maxLength: VMS })
})

/** Note that an operator writes who looks at the VM's configuration: a service is added, or withdrawn if it exists. */
function writeNote ({ id, service, age }: Submission, { revision, services }: Configuration): Note {
  const name = `s-${service}`
  const exists = services.some(other => other.name === name)
  const change = exists
    ? { withdrawn: { services: [name] } }
    : { added: { services: [{ name, classes: [{ name: 'read' }], floor: 0, preference: 'accuracy' }] } }
  return parseNote(JSON.stringify({ id: `n-${id}`, base: Math.max(0, revision - age), ...change }))._unsafeUnwrap()
}

interface Told {
  readonly note: Note
  readonly exit: Exit.Exit<AcceptedNote, Refusal>
}

interface Outcome {
  readonly store: Store
  readonly holders: readonly NoteHolder[]
  readonly told: readonly Told[]
}

type Wrap = (platform: Platform) => Platform

function createHolders (time: VirtualTime, store: Store, { fates, splitAtMs }: Scenario, wrap: Wrap): readonly NoteHolder[] {
  return fates.map((list, i) => {
    let calls = 0
    const platform = createMemoryPlatform(store, time.clock, () => list[calls++ % list.length] ?? { delayMs: 0, outcome: 'served' })
    return createNoteHolder({ platform: wrap(platform), clock: time.clock, vm: `entry-${i}`, canCommit: now => now < (splitAtMs[i] ?? Infinity) })
  })
}

function play (scenario: Scenario, wrap: Wrap = platform => platform): Outcome {
  const time = createVirtualTime()
  const store = createStore()
  const holders = createHolders(time, store, scenario, wrap)
  const submitOne = (submission: Submission): Effect.Effect<Told> => Effect.gen(function * () {
    yield * Effect.sleep(submission.atMs)
    const holder = holders[submission.vm]!
    const note = writeNote(submission, holder.current())
    return { note, exit: yield * Effect.exit(holder.registry.submit(note)) }
  })
  const fibers = scenario.submissions.map(submission => time.fork(submitOne(submission)))
  const told = time.run(Effect.all(fibers.map(Fiber.join), { concurrency: 'unbounded' }))
  time.run(Effect.sleep(SETTLE_MS))
  return { store, holders, told: Exit.isSuccess(told) ? told.value : [] }
}

function readTable (store: Store): readonly AcceptedNote[] {
  return store.keys('note/').map(key => JSON.parse(store.read([key], 0)[0]?.value ?? '') as AcceptedNote)
    .sort((one, other) => one.revision - other.revision)
}

const refusalOf = (exit: Exit.Exit<AcceptedNote, Refusal>): Refusal | undefined => {
  const [reason] = Exit.isFailure(exit) ? exit.cause.reasons : []
  return reason?._tag === 'Fail' ? reason.error : undefined
}

/** The accepted notes are one gapless sequence in which no id appears twice. */
function checkSequence ({ store }: Outcome, table: readonly AcceptedNote[]): void {
  assert.equal(table.map(({ revision }) => revision), table.map((_, i) => i + 1))
  assert.is(new Set(table.map(({ note }) => note.id)).size, table.length)
  const [head] = store.read(['config/head'], 0)
  assert.is(head === undefined ? 0 : JSON.parse(head.value).revision, table.length)
  const ids = table.map(({ note }) => `note-id/${note.id}`).sort()
  assert.equal(store.keys('note-id/'), ids)
}

/** What operators were told is true of the table. */
function checkTold ({ told }: Outcome, table: readonly AcceptedNote[]): void {
  for (const { exit, note } of told) {
    if (Exit.isSuccess(exit)) assert.equal(table[exit.value.revision - 1], exit.value)
    else if (refusalOf(exit) === undefined || refusalOf(exit)?.kind === 'internal') assert.unreachable(`${note.id}: ${JSON.stringify(exit)}`)
  }
  const ids = new Set(told.map(({ note }) => note.id))
  for (const id of ids) {
    const attempts = told.filter(({ note }) => note.id === id)
    const allRefused = attempts.every(({ exit }) => refusalOf(exit)?.run === 'not-run')
    if (allRefused) assert.not(table.some(({ note }) => note.id === id), `${id} was refused and is in the table`)
  }
}

/** Every VM applied a prefix of the sequence, and the same prefix gave the same configuration. */
function checkMachines ({ holders }: Outcome, table: readonly AcceptedNote[]): void {
  const states = table.reduce<readonly Configuration[]>((states, accepted) => {
    const next = applyNote(states.at(-1) ?? EMPTY_CONFIGURATION, accepted)
    assert.ok(next.isOk(), `revision ${accepted.revision} does not apply`)
    return [...states, next._unsafeUnwrap()]
  }, [EMPTY_CONFIGURATION])
  for (const { accepted, current } of holders) {
    assert.equal(accepted, table.slice(0, accepted.length))
    assert.is(JSON.stringify(current()), JSON.stringify(states[accepted.length]))
  }
}

function checkInvariants (outcome: Outcome): void {
  assert.is.not(outcome.told.length, 0, 'every submission ends with an answer')
  const table = readTable(outcome.store)
  checkSequence(outcome, table)
  checkTold(outcome, table)
  checkMachines(outcome, table)
}

// Guards against two notes with one revision, notes that revert, and untruthful answers.
races('keep one gapless sequence of notes, and every answer is true of it', () => {
  console.log(`operators' races: seed ${SEED}, ${RUNS} runs`)
  fc.assert(fc.property(scenario, scenario => checkInvariants(play(scenario))), { seed: SEED, numRuns: RUNS })
})

// Guards against scenarios in which nothing is accepted, raced or refused, which would prove nothing.
races('reach acceptance, conflicts, unknown outcomes and lost contact', () => {
  const kinds = new Map<string, number>()
  for (const sampled of fc.sample(scenario, { seed: SEED, numRuns: RUNS })) {
    for (const { exit } of play(sampled).told) {
      const kind = refusalOf(exit)?.kind ?? 'accepted'
      kinds.set(kind, (kinds.get(kind) ?? 0) + 1)
    }
  }
  console.log(`operators' races: ${JSON.stringify(Object.fromEntries(kinds))}`)
  for (const kind of ['accepted', 'note-conflict', 'outcome-unknown', 'platform-unavailable', 'fleet-split']) {
    assert.ok((kinds.get(kind) ?? 0) >= 20, `${kind}: ${kinds.get(kind) ?? 0}`)
  }
})

/** A platform that reads and then writes without any condition. */
const withoutConditions: Wrap = platform => ({
  ...platform,
  transact: writes => platform.transact(writes.map(write => ({ ...write, expect: 'any' })))
})

// Guards against invariants that also hold for a registry that does not use conditional writes.
races('break the invariants without conditional writes', () => {
  const broken = fc.sample(scenario, { seed: SEED, numRuns: RUNS }).filter(sampled => {
    try {
      checkInvariants(play(sampled, withoutConditions))
      return false
    } catch {
      return true
    }
  })
  console.log(`operators' races without conditional writes: ${broken.length} of ${RUNS} runs broken`)
  assert.ok(broken.length > 0)
})

// Guards against a verdict that depends on the machine's load.
races('play the same scenario twice in the same way', () => {
  for (const sampled of fc.sample(scenario, { seed: SEED, numRuns: 20 })) {
    const [one, other] = [play(sampled), play(sampled)].map(({ told, store }) => JSON.stringify([told, readTable(store)]))
    assert.is(one, other)
  }
})

races.run()
