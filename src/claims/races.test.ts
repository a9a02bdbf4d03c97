/**
 * Races for keys: several VMs claim the same keys over a faulty platform, callers repeat, and VMs
 * pause between claim and forward. The same runs with "read, then write" must break the invariants,
 * which shows that they reach the races.
 */
import { Effect, Exit, Fiber } from 'effect'
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Refusal } from '../errors/index.js'
import type { ClaimResult, Platform, RecordedAnswer } from '../model/index.js'
import { createMemoryPlatform, createStore, createVirtualTime, SERVED, type CallBehaviour, type Store, type VirtualTime } from '../../stand-ins/platform/index.js'
import { createClaims, type DrainableClaims } from './index.js'

const races = suite('races for keys')

const SEED = 20_260_302
const RUNS = 300
const VMS = 3
/** The platform is well from then on, so that the background work can end. */
const FAULTS_END_MS = 10_000
const SETTLE_MS = 120_000

interface Attempt {
  readonly vm: number
  readonly atMs: number
  readonly key: number
  readonly deadlineMs: number
  /** Time between claim and forward, in ms: the VM is paused. */
  readonly pauseMs: number
  /** `vanish`: the VM terminates between claim and forward. */
  readonly ending: 'finish' | 'abandon' | 'no-answer' | 'vanish'
  /** When the caller goes away, in ms after its request; Infinity if it stays. */
  readonly patienceMs: number
}

interface Scenario {
  readonly attempts: readonly Attempt[]
  /** Fates of each VM's calls, repeated from the start when they are used up. */
  readonly fates: ReadonlyArray<readonly CallBehaviour[]>
}

const pause = fc.oneof({ weight: 4, arbitrary: fc.integer({ min: 0, max: 20 }) }, { weight: 1, arbitrary: fc.integer({ min: 100, max: 6000 }) })

const fate: fc.Arbitrary<CallBehaviour> = fc.record({
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
  patienceMs: fc.oneof({ weight: 4, arbitrary: fc.constant(Infinity) }, { weight: 1, arbitrary: fc.integer({ min: 0, max: 50 }) })
})

const scenario: fc.Arbitrary<Scenario> = fc.record({
  attempts: fc.array(attempt, { minLength: 2, maxLength: 14 }),
  fates: fc.array(fc.array(fate, { minLength: 1, maxLength: 20 }), { minLength: VMS, maxLength: VMS })
})

type Told = 'given-up' | 'vanished' | 'abandoned' | 'forwarded' | 'replay' | Refusal['kind']

interface Ended {
  readonly attempt: Attempt
  readonly told: Told
  readonly run: Refusal['run'] | undefined
  readonly nonce: string | undefined
  /** The answer of the forward, or the replayed one. */
  readonly answer: RecordedAnswer | undefined
}

interface Outcome {
  readonly store: Store
  readonly ended: readonly Ended[]
}

type Wrap = (platform: Platform) => Platform

function createMachines (time: VirtualTime, store: Store, { fates }: Scenario, wrap: Wrap): readonly DrainableClaims[] {
  return fates.map((list, i) => {
    let calls = 0
    let nonces = 0
    const decide = (): CallBehaviour => time.clock() < FAULTS_END_MS ? list[calls++ % list.length] ?? SERVED : SERVED
    return createClaims({
      platform: wrap(createMemoryPlatform(store, time.clock, decide)),
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

/** What a VM does with the result of its claim; a forward takes 5 ms. */
function proceed (attempt: Attempt, claims: DrainableClaims, result: ClaimResult): Effect.Effect<Ended> {
  return Effect.gen(function * () {
    if (result.kind === 'replay') return { attempt, told: 'replay', run: undefined, nonce: undefined, answer: result.answer }
    const { claim } = result
    const { nonce } = claim
    if (attempt.ending === 'vanish') return { attempt, told: 'vanished', run: undefined, nonce, answer: undefined }
    yield * Effect.sleep(attempt.pauseMs)
    if (attempt.ending === 'abandon') {
      claims.abandon(claim)
      return { attempt, told: 'abandoned', run: undefined, nonce, answer: undefined }
    }
    yield * Effect.sleep(5)
    const answer: RecordedAnswer = { status: 201, headers: { location: `/${nonce}` }, body: Buffer.from(nonce) }
    if (attempt.ending === 'finish') claims.finish(claim, answer)
    return { attempt, told: 'forwarded', run: undefined, nonce, answer }
  })
}

function perform (attempt: Attempt, claims: DrainableClaims, time: VirtualTime): Effect.Effect<Ended> {
  const refusedEnd = (refused: Refusal): Ended => ({ attempt, told: refused.kind, run: refused.run, nonce: undefined, answer: undefined })
  const givenUp: Ended = { attempt, told: 'given-up', run: undefined, nonce: undefined, answer: undefined }
  return Effect.gen(function * () {
    yield * Effect.sleep(attempt.atMs)
    const now = time.clock()
    const wanted = { service: 'holds', idempotencyKey: `k-${attempt.key}`, fingerprint: 'f', deadlineAt: now + attempt.deadlineMs }
    const asked = claims.claim(wanted, now).pipe(Effect.result)
    const result = yield * (attempt.patienceMs === Infinity ? asked : asked.pipe(Effect.timeoutOrElse({ duration: attempt.patienceMs, orElse: () => Effect.succeed(undefined) })))
    if (result === undefined) return givenUp
    return result._tag === 'Failure' ? refusedEnd(result.failure) : yield * proceed(attempt, claims, result.success)
  })
}

function play (scenario: Scenario, wrap: Wrap = platform => platform): Outcome {
  const time = createVirtualTime()
  const store = createStore()
  const machines = createMachines(time, store, scenario, wrap)
  const fibers = scenario.attempts.map(attempt => time.fork(perform(attempt, machines[attempt.vm]!, time)))
  const ended = time.run(Effect.all(fibers.map(Fiber.join), { concurrency: 'unbounded' }))
  time.run(Effect.sleep(SETTLE_MS))
  return { store, ended: Exit.isSuccess(ended) ? ended.value : [] }
}

const withEnd = (ended: readonly Ended[], ...ends: readonly Told[]): readonly Ended[] => ended.filter(({ told }) => ends.includes(told))

/** At most one attempt is granted the claim and keeps it. */
function checkAtMostOnce (key: number, ended: readonly Ended[]): void {
  const kept = withEnd(ended, 'forwarded', 'vanished')
  assert.ok(kept.length <= 1, `key ${key} was claimed ${kept.length} times`)
}

function checkKey (key: number, ended: readonly Ended[], rows: readonly string[]): void {
  checkAtMostOnce(key, ended)
  const [forward] = withEnd(ended, 'forwarded')
  for (const { answer } of withEnd(ended, 'replay')) assert.equal(answer, forward?.answer)
  for (const { told, run } of ended.filter(({ run }) => run !== undefined)) {
    assert.is(run, told === 'duplicate-in-progress' ? 'may-have-run' : 'not-run', told)
  }
  // A key of which no claim is kept can be used again, and the row of a kept one is never lost.
  assert.is(rows.includes(`claim/holds/k-${key}`), withEnd(ended, 'forwarded', 'vanished').length === 1, `row of key ${key}`)
}

const byKey = ({ ended }: Outcome): ReadonlyArray<readonly [number, readonly Ended[]]> =>
  [0, 1, 2].map(key => [key, ended.filter(({ attempt }) => attempt.key === key)])

/** After the end of the faults a repeated request gets the recorded answer. */
function checkRecorded ({ store, ended }: Outcome): void {
  for (const { attempt, nonce } of ended.filter(({ told, attempt }) => told === 'forwarded' && attempt.ending === 'finish')) {
    const [row] = store.read([`claim/holds/k-${attempt.key}`], 0)
    const { answer } = JSON.parse(row?.value ?? '{}')
    assert.is(Buffer.from(answer?.body ?? '', 'base64').toString(), nonce)
  }
}

function checkInvariants (outcome: Outcome): void {
  assert.is.not(outcome.ended.length, 0, 'every attempt ends')
  const rows = outcome.store.keys('claim/')
  for (const [key, ended] of byKey(outcome)) checkKey(key, ended, rows)
  checkRecorded(outcome)
}

/**
 * An attempt is given up, and the read before its deletion shows the row of an earlier attempt that
 * was deleted meanwhile. Its own row must still be deleted.
 */
const laggingDeletion: Scenario = {
  attempts: [
    { vm: 1, atMs: 0, key: 1, deadlineMs: 10, pauseMs: 0, ending: 'abandon', patienceMs: 10 },
    { vm: 2, atMs: 152, key: 1, deadlineMs: 10, pauseMs: 0, ending: 'abandon', patienceMs: 10 }
  ],
  fates: [
    [SERVED],
    [
      { delayMs: 3, outcome: 'lost-acknowledgement' }, { delayMs: 15, outcome: 'served' }, { delayMs: 17, outcome: 'refused' },
      { delayMs: 4, outcome: 'served' }, { delayMs: 15, outcome: 'served' }, { delayMs: 0, outcome: 'refused' }
    ],
    [{ delayMs: 12, outcome: 'served', lagMs: 23 }]
  ]
}

// Guards against a second run, an untruthful refusal, a foreign answer and a key that stays blocked.
races('forward each key at most once, and answer truthfully', () => {
  console.log(`races for keys: seed ${SEED}, ${RUNS} runs`)
  fc.assert(fc.property(scenario, scenario => checkInvariants(play(scenario))), { seed: SEED, numRuns: RUNS, examples: [[laggingDeletion]] })
})

// Guards against scenarios in which nothing is claimed, raced or refused, which would prove nothing.
races('reach every kind of end', () => {
  const counts = new Map<Told, number>()
  for (const sampled of fc.sample(scenario, { seed: SEED, numRuns: RUNS })) {
    for (const { told } of play(sampled).ended) counts.set(told, (counts.get(told) ?? 0) + 1)
  }
  console.log(`races for keys: ${JSON.stringify(Object.fromEntries(counts))}`)
  const kinds: readonly Told[] = ['forwarded', 'replay', 'abandoned', 'vanished', 'given-up', 'claim-unavailable', 'duplicate-in-progress']
  for (const kind of kinds) assert.ok((counts.get(kind) ?? 0) >= 20, `${kind}: ${counts.get(kind) ?? 0}`)
})

/** A platform on which a claim is a read followed by an unconditional write. */
const withoutConditions: Wrap = platform => ({
  ...platform,
  transact: writes => platform.readMany(writes.map(({ key }) => key)).pipe(Effect.flatMap(rows =>
    writes.some(({ expect }, i) => expect === 'absent' && rows[i] !== undefined)
      ? Effect.succeed('conflict' as const)
      : platform.transact(writes.map(write => ({ ...write, expect: 'any' })))))
})

// Guards against scenarios in which claims that are not conditional would also be unique.
races('claim keys twice with "read, then write"', () => {
  const broken = fc.sample(scenario, { seed: SEED, numRuns: RUNS }).filter(sampled => {
    try {
      for (const [key, ended] of byKey(play(sampled, withoutConditions))) checkAtMostOnce(key, ended)
      return false
    } catch {
      return true
    }
  })
  console.log(`races for keys with "read, then write": a key is claimed twice in ${broken.length} of ${RUNS} runs`)
  assert.ok(broken.length > 0)
})

// Guards against a verdict that depends on the machine's load.
races('play the same scenario twice in the same way', () => {
  for (const sampled of fc.sample(scenario, { seed: SEED, numRuns: 20 })) {
    const [one, other] = [play(sampled), play(sampled)].map(({ ended, store }) => JSON.stringify([ended, store.read(store.keys('claim/'), 0)]))
    assert.is(one, other)
  }
})

races.run()
