/**
 * Race conditions of submissions: several VMs submit overlapping notes over a faulty platform. The same runs
 * without conditional writes must violate the invariants, which shows that the scenarios reach the races.
 */
import { Effect, Exit, Fiber } from 'effect'
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Refusal } from '../errors/index.js'
import type { AcceptedNote, Configuration, Note, Platform } from '../model/index.js'
import { createMemoryPlatform, createNoteHolder, createStore, createVirtualTime, type CallBehaviour, type NoteHolder, type Store, type VirtualTime } from '../../stand-ins/platform/index.js'
import { applyNote, EMPTY_CONFIGURATION, parseNote } from './index.js'

const races = suite('submission races')

const SEED = 20_260_301
const RUNS = 300
const VMS = 3
/** Longer than the maximum delay of a late write and the longest submission. */
const SETTLE_MS = 120_000

interface Submission {
  readonly vm: number
  readonly atMs: number
  readonly id: number
  readonly service: number
  /** Number of revisions by which the note's base is behind the VM's configuration. */
  readonly revisionsBehind: number
}

interface Scenario {
  readonly submissions: readonly Submission[]
  /** Behaviours of each VM's platform calls, repeated from the start when all are used. */
  readonly behaviours: ReadonlyArray<readonly CallBehaviour[]>
  /** Time in ms from which each VM has no majority and may not commit. */
  readonly majorityLostAtMs: readonly number[]
}

const behaviour: fc.Arbitrary<CallBehaviour> = fc.record({
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
  revisionsBehind: fc.integer({ min: 0, max: 2 })
})

const scenario: fc.Arbitrary<Scenario> = fc.record({
  submissions: fc.array(submission, { minLength: 2, maxLength: 16 }),
  behaviours: fc.array(fc.array(behaviour, { minLength: 1, maxLength: 24 }), { minLength: VMS, maxLength: VMS }),
  majorityLostAtMs: fc.array(fc.oneof({ weight: 4, arbitrary: fc.constant(Infinity) }, { weight: 1, arbitrary: fc.integer({ min: 0, max: 3000 }) }), { minLength: VMS, maxLength: VMS })
})

/** Creates a note for the VM's configuration: it adds the service, or withdraws it if it exists. */
function createNote ({ id, service, revisionsBehind }: Submission, { revision, services }: Configuration): Note {
  const name = `s-${service}`
  const exists = services.some(other => other.name === name)
  const change = exists
    ? { withdrawn: { services: [name] } }
    : { added: { services: [{ name, classes: [{ name: 'read' }], floor: 0, preference: 'accuracy' }] } }
  return parseNote(JSON.stringify({ id: `n-${id}`, base: Math.max(0, revision - revisionsBehind), ...change }))._unsafeUnwrap()
}

interface SubmissionResult {
  readonly note: Note
  readonly exit: Exit.Exit<AcceptedNote, Refusal>
}

interface Outcome {
  readonly store: Store
  readonly holders: readonly NoteHolder[]
  readonly results: readonly SubmissionResult[]
}

type WrapPlatform = (platform: Platform) => Platform

function createHolders (time: VirtualTime, store: Store, { behaviours, majorityLostAtMs }: Scenario, wrap: WrapPlatform): readonly NoteHolder[] {
  return behaviours.map((vmBehaviours, i) => {
    let calls = 0
    const platform = createMemoryPlatform(store, time.clock, () => vmBehaviours[calls++ % vmBehaviours.length] ?? { delayMs: 0, outcome: 'served' })
    return createNoteHolder({ platform: wrap(platform), clock: time.clock, vm: `entry-${i}`, canCommit: now => now < (majorityLostAtMs[i] ?? Infinity) })
  })
}

function runScenario (scenario: Scenario, wrap: WrapPlatform = platform => platform): Outcome {
  const time = createVirtualTime()
  const store = createStore()
  const holders = createHolders(time, store, scenario, wrap)
  const submitOne = (submission: Submission): Effect.Effect<SubmissionResult> => Effect.gen(function * () {
    yield * Effect.sleep(submission.atMs)
    const holder = holders[submission.vm]!
    const note = createNote(submission, holder.current())
    return { note, exit: yield * Effect.exit(holder.registry.submit(note)) }
  })
  const fibers = scenario.submissions.map(submission => time.fork(submitOne(submission)))
  const exit = time.run(Effect.all(fibers.map(Fiber.join), { concurrency: 'unbounded' }))
  time.run(Effect.sleep(SETTLE_MS))
  return { store, holders, results: Exit.isSuccess(exit) ? exit.value : [] }
}

function readTable (store: Store): readonly AcceptedNote[] {
  return store.keys('note/').map(key => JSON.parse(store.read([key], 0)[0]?.value ?? '') as AcceptedNote)
    .sort((one, other) => one.revision - other.revision)
}

const refusalOf = (exit: Exit.Exit<AcceptedNote, Refusal>): Refusal | undefined => {
  const [reason] = Exit.isFailure(exit) ? exit.cause.reasons : []
  return reason?._tag === 'Fail' ? reason.error : undefined
}

/** Checks that the accepted notes form one sequence without gaps, in which no id appears twice. */
function checkSequence ({ store }: Outcome, table: readonly AcceptedNote[]): void {
  assert.equal(table.map(({ revision }) => revision), table.map((_, i) => i + 1))
  assert.is(new Set(table.map(({ note }) => note.id)).size, table.length)
  const [head] = store.read(['config/head'], 0)
  assert.is(head === undefined ? 0 : JSON.parse(head.value).revision, table.length)
  const ids = table.map(({ note }) => `note-id/${note.id}`).sort()
  assert.equal(store.keys('note-id/'), ids)
}

/** Checks that the results of all submissions match the table. */
function checkResults ({ results }: Outcome, table: readonly AcceptedNote[]): void {
  for (const { exit, note } of results) {
    if (Exit.isSuccess(exit)) assert.equal(table[exit.value.revision - 1], exit.value)
    else if (refusalOf(exit) === undefined || refusalOf(exit)?.kind === 'internal') assert.unreachable(`${note.id}: ${JSON.stringify(exit)}`)
  }
  const ids = new Set(results.map(({ note }) => note.id))
  for (const id of ids) {
    const attempts = results.filter(({ note }) => note.id === id)
    const allRefused = attempts.every(({ exit }) => refusalOf(exit)?.run === 'not-run')
    if (allRefused) assert.not(table.some(({ note }) => note.id === id), `${id} was refused and is in the table`)
  }
}

/** Checks that every VM applied a prefix of the sequence, and that the same prefix led to the same configuration. */
function checkVMs ({ holders }: Outcome, table: readonly AcceptedNote[]): void {
  const configurations = table.reduce<readonly Configuration[]>((previous, accepted) => {
    const next = applyNote(previous.at(-1) ?? EMPTY_CONFIGURATION, accepted)
    assert.ok(next.isOk(), `revision ${accepted.revision} does not apply`)
    return [...previous, next._unsafeUnwrap()]
  }, [EMPTY_CONFIGURATION])
  for (const { accepted, current } of holders) {
    assert.equal(accepted, table.slice(0, accepted.length))
    assert.is(JSON.stringify(current()), JSON.stringify(configurations[accepted.length]))
  }
}

function checkInvariants (outcome: Outcome): void {
  assert.is.not(outcome.results.length, 0, 'not every submission ended')
  const table = readTable(outcome.store)
  checkSequence(outcome, table)
  checkResults(outcome, table)
  checkVMs(outcome, table)
}

// Guards against two notes with the same revision, accepted notes that are reverted, and results that do not match the table.
races('the notes form one sequence without gaps, and every result matches it', () => {
  console.log(`submission races: seed ${SEED}, ${RUNS} runs`)
  fc.assert(fc.property(scenario, scenario => checkInvariants(runScenario(scenario))), { seed: SEED, numRuns: RUNS })
})

// Guards against scenarios without accepted notes, races or refusals, which would not test anything.
races('the scenarios reach acceptance, conflicts, unknown outcomes and lost majorities', () => {
  const kinds = new Map<string, number>()
  for (const sampled of fc.sample(scenario, { seed: SEED, numRuns: RUNS })) {
    for (const { exit } of runScenario(sampled).results) {
      const kind = refusalOf(exit)?.kind ?? 'accepted'
      kinds.set(kind, (kinds.get(kind) ?? 0) + 1)
    }
  }
  console.log(`submission races: ${JSON.stringify(Object.fromEntries(kinds))}`)
  for (const kind of ['accepted', 'note-conflict', 'outcome-unknown', 'platform-unavailable', 'fleet-split']) {
    assert.ok((kinds.get(kind) ?? 0) >= 20, `${kind}: ${kinds.get(kind) ?? 0}`)
  }
})

/** Returns a platform that ignores the preconditions of all writes. */
const withoutConditions: WrapPlatform = platform => ({
  ...platform,
  transact: writes => platform.transact(writes.map(write => ({ ...write, expect: 'any' })))
})

// Guards against invariants that also hold for a registry without conditional writes.
races('without conditional writes, the invariants are violated', () => {
  const violations = fc.sample(scenario, { seed: SEED, numRuns: RUNS }).filter(sampled => {
    try {
      checkInvariants(runScenario(sampled, withoutConditions))
      return false
    } catch {
      return true
    }
  })
  console.log(`submission races without conditional writes: ${violations.length} of ${RUNS} runs violate the invariants`)
  assert.ok(violations.length > 0)
})

// Guards against test results that depend on the load of the machine.
races('a scenario is deterministic', () => {
  for (const sampled of fc.sample(scenario, { seed: SEED, numRuns: 20 })) {
    const [one, other] = [runScenario(sampled), runScenario(sampled)].map(({ results, store }) => JSON.stringify([results, readTable(store)]))
    assert.is(one, other)
  }
})

races.run()
