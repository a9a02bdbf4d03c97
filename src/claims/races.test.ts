/**
 * Race conditions of claims: several VMs claim the same keys over a faulty platform, callers repeat requests,
 * and VMs pause between claim and forward. The same runs with "read, then write" instead of conditional writes
 * must violate the invariants, which shows that the scenarios reach the races.
 */
import { Effect, Exit, Fiber } from 'effect'
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Refusal } from '../errors/index.js'
import type { ClaimResult, Platform, RecordedResponse } from '../model/index.js'
import { createMemoryPlatform, createStore, createVirtualTime, SERVED, type CallBehaviour, type Store, type VirtualTime } from '../../stand-ins/platform/index.js'
import { createClaims, type DrainableClaims } from './index.js'

const races = suite('claim races')

const SEED = 20_260_302
const RUNS = 300
const VMS = 3
/** Time from which the platform has no faults, so that the background work can end. */
const FAULTS_END_MS = 10_000
const SETTLE_MS = 120_000

interface Attempt {
  readonly vm: number
  readonly atMs: number
  readonly key: number
  readonly deadlineMs: number
  /** Pause of the VM between claim and forward, in ms. */
  readonly pauseMs: number
  /** `vanish`: the VM terminates between claim and forward. */
  readonly ending: 'finish' | 'abandon' | 'no-answer' | 'vanish'
  /** Time after which the caller disconnects, in ms after its request; Infinity if it does not. */
  readonly disconnectAfterMs: number
}

interface Scenario {
  readonly attempts: readonly Attempt[]
  /** Behaviours of each VM's platform calls, repeated from the start when all are used. */
  readonly behaviours: ReadonlyArray<readonly CallBehaviour[]>
}

const pause = fc.oneof({ weight: 4, arbitrary: fc.integer({ min: 0, max: 20 }) }, { weight: 1, arbitrary: fc.integer({ min: 100, max: 6000 }) })

const behaviour: fc.Arbitrary<CallBehaviour> = fc.record({
  delayMs: fc.oneof({ weight: 6, arbitrary: fc.integer({ min: 0, max: 20 }) }, { weight: 1, arbitrary: fc.integer({ min: 100, max: 3000 }) }),
  outcome: fc.oneof(
    { weight: 8, arbitrary: fc.constant('served' as const) },
    { weight: 5, arbitrary: fc.constantFrom('refused' as const, 'lost-request' as const, 'lost-acknowledgement' as const, 'late' as const) }
  ),
  lateMs: fc.integer({ min: 0, max: 3000 }),
  lagMs: fc.oneof({ weight: 6, arbitrary: fc.constant(0) }, { weight: 1, arbitrary: fc.integer({ min: 0, max: 1000 }) }),
  skewed: fc.boolean()
})

const attempt: fc.Arbitrary<Attempt> = fc.record({
  vm: fc.integer({ min: 0, max: VMS - 1 }),
  atMs: fc.integer({ min: 0, max: 3000 }),
  key: fc.integer({ min: 0, max: 2 }),
  deadlineMs: fc.integer({ min: 5, max: 4000 }),
  pauseMs: pause,
  ending: fc.oneof(
    { weight: 5, arbitrary: fc.constant('finish' as const) },
    { weight: 3, arbitrary: fc.constantFrom('abandon' as const, 'no-answer' as const, 'vanish' as const) }
  ),
  disconnectAfterMs: fc.oneof({ weight: 4, arbitrary: fc.constant(Infinity) }, { weight: 1, arbitrary: fc.integer({ min: 0, max: 50 }) })
})

const scenario: fc.Arbitrary<Scenario> = fc.record({
  attempts: fc.array(attempt, { minLength: 2, maxLength: 14 }),
  behaviours: fc.array(fc.array(behaviour, { minLength: 1, maxLength: 20 }), { minLength: VMS, maxLength: VMS })
})

type AttemptResult = 'given-up' | 'vanished' | 'abandoned' | 'forwarded' | 'replay' | Refusal['kind']

interface AttemptRecord {
  readonly attempt: Attempt
  readonly result: AttemptResult
  readonly run: Refusal['run'] | undefined
  readonly nonce: string | undefined
  /** The response of the target, or the replayed one. */
  readonly answer: RecordedResponse | undefined
}

interface Outcome {
  readonly store: Store
  readonly records: readonly AttemptRecord[]
}

type WrapPlatform = (platform: Platform) => Platform

function createVMs (time: VirtualTime, store: Store, { behaviours }: Scenario, wrap: WrapPlatform): readonly DrainableClaims[] {
  return behaviours.map((vmBehaviours, i) => {
    let calls = 0
    let nonces = 0
    const chooseBehaviour = (): CallBehaviour => time.clock() < FAULTS_END_MS ? vmBehaviours[calls++ % vmBehaviours.length] ?? SERVED : SERVED
    return createClaims({
      platform: wrap(createMemoryPlatform(store, time.clock, chooseBehaviour)),
      log: { info: () => {}, warn: () => {}, error: () => {} },
      vm: `entry-${i}`,
      clock: time.clock,
      wallClock: time.clock,
      random: () => 0,
      createNonce: () => `entry-${i}/${nonces++}`,
      fork: time.fork
    })
  })
}

/** Continues an attempt after the result of its claim; a forward takes 5 ms. */
function continueAttempt (attempt: Attempt, claims: DrainableClaims, result: ClaimResult): Effect.Effect<AttemptRecord> {
  return Effect.gen(function * () {
    if (result.kind === 'replay') return { attempt, result: 'replay', run: undefined, nonce: undefined, answer: result.answer }
    const { claim } = result
    const { nonce } = claim
    if (attempt.ending === 'vanish') return { attempt, result: 'vanished', run: undefined, nonce, answer: undefined }
    yield * Effect.sleep(attempt.pauseMs)
    if (attempt.ending === 'abandon') {
      claims.abandon(claim)
      return { attempt, result: 'abandoned', run: undefined, nonce, answer: undefined }
    }
    yield * Effect.sleep(5)
    const answer: RecordedResponse = { status: 201, headers: { location: `/${nonce}` }, body: Buffer.from(nonce) }
    if (attempt.ending === 'finish') claims.finish(claim, answer)
    return { attempt, result: 'forwarded', run: undefined, nonce, answer }
  })
}

function runAttempt (attempt: Attempt, claims: DrainableClaims, time: VirtualTime): Effect.Effect<AttemptRecord> {
  const refusedRecord = (refused: Refusal): AttemptRecord => ({ attempt, result: refused.kind, run: refused.run, nonce: undefined, answer: undefined })
  const givenUpRecord: AttemptRecord = { attempt, result: 'given-up', run: undefined, nonce: undefined, answer: undefined }
  return Effect.gen(function * () {
    yield * Effect.sleep(attempt.atMs)
    const now = time.clock()
    const request = { service: 'holds', idempotencyKey: `k-${attempt.key}`, fingerprint: 'f', deadlineAt: now + attempt.deadlineMs }
    const claiming = claims.claim(request, now).pipe(Effect.result)
    const result = yield * (attempt.disconnectAfterMs === Infinity ? claiming : claiming.pipe(Effect.timeoutOrElse({ duration: attempt.disconnectAfterMs, orElse: () => Effect.succeed(undefined) })))
    if (result === undefined) return givenUpRecord
    return result._tag === 'Failure' ? refusedRecord(result.failure) : yield * continueAttempt(attempt, claims, result.success)
  })
}

function runScenario (scenario: Scenario, wrap: WrapPlatform = platform => platform): Outcome {
  const time = createVirtualTime()
  const store = createStore()
  const vms = createVMs(time, store, scenario, wrap)
  const fibers = scenario.attempts.map(attempt => time.fork(runAttempt(attempt, vms[attempt.vm]!, time)))
  const exit = time.run(Effect.all(fibers.map(Fiber.join), { concurrency: 'unbounded' }))
  time.run(Effect.sleep(SETTLE_MS))
  return { store, records: Exit.isSuccess(exit) ? exit.value : [] }
}

const withResult = (records: readonly AttemptRecord[], ...results: readonly AttemptResult[]): readonly AttemptRecord[] => records.filter(({ result }) => results.includes(result))

/** Checks that at most one attempt is granted the claim and keeps it. */
function checkAtMostOnce (key: number, records: readonly AttemptRecord[]): void {
  const keptClaims = withResult(records, 'forwarded', 'vanished')
  assert.ok(keptClaims.length <= 1, `key ${key} was claimed ${keptClaims.length} times`)
}

function checkKey (key: number, records: readonly AttemptRecord[], rows: readonly string[]): void {
  checkAtMostOnce(key, records)
  const [forwarded] = withResult(records, 'forwarded')
  for (const { answer } of withResult(records, 'replay')) assert.equal(answer, forwarded?.answer)
  for (const { result, run } of records.filter(({ run }) => run !== undefined)) {
    assert.is(run, result === 'duplicate-in-progress' ? 'may-have-run' : 'not-run', result)
  }
  // A key without a kept claim can be used again, and the row of a kept claim is never lost.
  assert.is(rows.includes(`claim/holds/k-${key}`), withResult(records, 'forwarded', 'vanished').length === 1, `row of key ${key}`)
}

const byKey = ({ records }: Outcome): ReadonlyArray<readonly [number, readonly AttemptRecord[]]> =>
  [0, 1, 2].map(key => [key, records.filter(({ attempt }) => attempt.key === key)])

/** Checks that the row of each finished request has its response after the faults have ended. */
function checkRecorded ({ store, records }: Outcome): void {
  for (const { attempt, nonce } of records.filter(({ result, attempt }) => result === 'forwarded' && attempt.ending === 'finish')) {
    const [row] = store.read([`claim/holds/k-${attempt.key}`], 0)
    const { answer } = JSON.parse(row?.value ?? '{}')
    assert.is(Buffer.from(answer?.body ?? '', 'base64').toString(), nonce)
  }
}

function checkInvariants (outcome: Outcome): void {
  assert.is.not(outcome.records.length, 0, 'not every attempt ended')
  const rows = outcome.store.keys('claim/')
  for (const [key, records] of byKey(outcome)) checkKey(key, records, rows)
  checkRecorded(outcome)
}

/**
 * An attempt is abandoned, and the read before its deletion returns the row of an earlier attempt that
 * has been deleted since. The row of the abandoned attempt must still be deleted.
 */
const staleReadBeforeDeletion: Scenario = {
  attempts: [
    { vm: 1, atMs: 0, key: 1, deadlineMs: 10, pauseMs: 0, ending: 'abandon', disconnectAfterMs: 10 },
    { vm: 2, atMs: 152, key: 1, deadlineMs: 10, pauseMs: 0, ending: 'abandon', disconnectAfterMs: 10 }
  ],
  behaviours: [
    [SERVED],
    [
      { delayMs: 3, outcome: 'lost-acknowledgement' }, { delayMs: 15, outcome: 'served' }, { delayMs: 17, outcome: 'refused' },
      { delayMs: 4, outcome: 'served' }, { delayMs: 15, outcome: 'served' }, { delayMs: 0, outcome: 'refused' }
    ],
    [{ delayMs: 12, outcome: 'served', lagMs: 23 }]
  ]
}

// Guards against a second execution, a refusal with a wrong run state, the response of another request, and an orphaned claim.
races('each key is forwarded at most once, and each result is correct', () => {
  console.log(`claim races: seed ${SEED}, ${RUNS} runs`)
  fc.assert(fc.property(scenario, scenario => checkInvariants(runScenario(scenario))), { seed: SEED, numRuns: RUNS, examples: [[staleReadBeforeDeletion]] })
})

// Guards against scenarios without claims, races or refusals, which would not test anything.
races('the scenarios reach every kind of result', () => {
  const counts = new Map<AttemptResult, number>()
  for (const sampled of fc.sample(scenario, { seed: SEED, numRuns: RUNS })) {
    for (const { result } of runScenario(sampled).records) counts.set(result, (counts.get(result) ?? 0) + 1)
  }
  console.log(`claim races: ${JSON.stringify(Object.fromEntries(counts))}`)
  const kinds: readonly AttemptResult[] = ['forwarded', 'replay', 'abandoned', 'vanished', 'given-up', 'claim-unavailable', 'duplicate-in-progress']
  for (const kind of kinds) assert.ok((counts.get(kind) ?? 0) >= 20, `${kind}: ${counts.get(kind) ?? 0}`)
})

/** Returns a platform that replaces each conditional write by a read and an unconditional write. */
const withoutConditions: WrapPlatform = platform => ({
  ...platform,
  transact: writes => platform.readMany(writes.map(({ key }) => key)).pipe(Effect.flatMap(rows =>
    writes.some(({ expect }, i) => expect === 'absent' && rows[i] !== undefined)
      ? Effect.succeed('conflict' as const)
      : platform.transact(writes.map(write => ({ ...write, expect: 'any' })))))
})

// Guards against scenarios in which claims without conditional writes would also be unique.
races('"read, then write" claims keys twice', () => {
  const violations = fc.sample(scenario, { seed: SEED, numRuns: RUNS }).filter(sampled => {
    try {
      for (const [key, records] of byKey(runScenario(sampled, withoutConditions))) checkAtMostOnce(key, records)
      return false
    } catch {
      return true
    }
  })
  console.log(`claim races with "read, then write": a key is claimed twice in ${violations.length} of ${RUNS} runs`)
  assert.ok(violations.length > 0)
})

// Guards against test results that depend on the load of the machine.
races('a scenario is deterministic', () => {
  for (const sampled of fc.sample(scenario, { seed: SEED, numRuns: 20 })) {
    const [one, other] = [runScenario(sampled), runScenario(sampled)].map(({ records, store }) => JSON.stringify([records, store.read(store.keys('claim/'), 0)]))
    assert.is(one, other)
  }
})

races.run()
