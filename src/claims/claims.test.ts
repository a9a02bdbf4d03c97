import { Effect, Exit, Fiber } from 'effect'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Refusal } from '../errors/index.js'
import type { ClaimRequest, ClaimResult, RecordedAnswer } from '../model/index.js'
import { createMemoryPlatform, createStore, createVirtualTime, SERVED, type PlatformCall, type CallBehaviour, type Store, type VirtualTime } from '../../stand-ins/platform/index.js'
import { createClaims, RECORDED_BODY_LIMIT_BYTES, type DrainableClaims } from './index.js'
import { BURST_WRITES, FLEET_WRITES_PER_SECOND } from './write-budget.js'

const claims = suite('claims')

const silent = { info: () => {}, warn: () => {}, error: () => {} }
const DEADLINE_MS = 2000
/** Long enough for all background work, the time for late writes included. */
const SETTLE_MS = 30_000

interface World {
  readonly time: VirtualTime
  readonly store: Store
  readonly calls: PlatformCall[]
  /** Claims of a new VM whose platform calls have the given fates; further calls are served. */
  readonly machine: (vm: string, fates?: readonly CallBehaviour[], writers?: number) => DrainableClaims
}

function createWorld (): World {
  const time = createVirtualTime()
  const store = createStore()
  const calls: PlatformCall[] = []
  const machine: World['machine'] = (vm, fates = [], writers = 1) => {
    const left = [...fates]
    const platform = createMemoryPlatform(store, time.clock, call => {
      calls.push(call)
      return left.shift() ?? SERVED
    })
    let attempts = 0
    const createNonce = (): string => `${vm}-${++attempts}`
    return createClaims({
      platform, log: silent, vm, writers: () => writers, clock: time.clock, wallClock: time.clock, random: () => 0, createNonce, fork: time.fork
    })
  }
  return { time, store, calls, machine }
}

const requestOf = (key: string, members: Partial<ClaimRequest> = {}): ClaimRequest => (
  { service: 'holds', idempotencyKey: key, fingerprint: 'f-1', deadlineAt: DEADLINE_MS, ...members })

/** Short text of a result: `claimed`, `replay`, or the refusal's kind. */
function show (exit: Exit.Exit<ClaimResult, Refusal>): string {
  if (Exit.isSuccess(exit)) return exit.value.kind
  const [reason] = exit.cause.reasons
  return reason?._tag === 'Fail' ? reason.error.kind : 'interrupted'
}

const ask = ({ time }: World, subject: DrainableClaims, request: ClaimRequest): string => show(time.run(subject.claim(request, time.clock())))

const settle = ({ time }: World): void => { time.run(Effect.sleep(SETTLE_MS)) }

/** Claims a key and records an answer. */
function runOnce (world: World, key: string, answer: RecordedAnswer): void {
  const subject = world.machine('entry-1')
  const exit = world.time.run(subject.claim(requestOf(key), world.time.clock()))
  if (Exit.isSuccess(exit) && exit.value.kind === 'claimed') subject.finish(exit.value.claim, answer)
  world.time.run(subject.drain())
}

const small: RecordedAnswer = { status: 201, headers: { 'content-type': 'text/plain', 'set-cookie': ['a', 'b'] }, body: Buffer.from('done') }
const large: RecordedAnswer = { ...small, body: Buffer.alloc(RECORDED_BODY_LIMIT_BYTES + 1) }

interface RepeatCase {
  readonly name: string
  readonly prepare: (world: World) => void
  readonly repeated?: Partial<ClaimRequest>
  readonly told: string
}

// Each case guards against a second run of a request, or against an answer that is not its own.
const repeatCases: readonly RepeatCase[] = [
  { name: 'a new key', prepare: () => {}, told: 'claimed' },
  { name: 'a key without a recorded answer', prepare: world => { ask(world, world.machine('entry-1'), requestOf('k')) }, told: 'duplicate-in-progress' },
  { name: 'a key with a recorded answer', prepare: world => runOnce(world, 'k', small), told: 'replay' },
  { name: 'a key with a large answer', prepare: world => runOnce(world, 'k', large), told: 'duplicate-ran' },
  { name: 'a key of another request', prepare: world => runOnce(world, 'k', small), repeated: { fingerprint: 'f-2' }, told: 'key-reused' },
  { name: 'the same key at another service', prepare: world => runOnce(world, 'k', small), repeated: { service: 'visits' }, told: 'claimed' },
  { name: 'a row that cannot be read', prepare: ({ store }) => { store.transact([{ key: 'claim/holds/k', value: '{}', expect: 'any' }], 0) }, told: 'duplicate-in-progress' },
  { name: 'a deadline that has passed', prepare: () => {}, repeated: { deadlineAt: 0 }, told: 'deadline-too-short' }
]

for (const { name, prepare, repeated, told } of repeatCases) {
  claims(`${name}: ${told}`, () => {
    const world = createWorld()
    prepare(world)
    const request = requestOf('k', { deadlineAt: world.time.clock() + DEADLINE_MS, ...repeated })
    assert.is(ask(world, world.machine('entry-2'), request), told)
  })
}

claims('a replayed answer equals the recorded one', () => {
  const world = createWorld()
  runOnce(world, 'k', small)
  const exit = world.time.run(world.machine('entry-2').claim(requestOf('k', { deadlineAt: Infinity }), 0))
  assert.equal(Exit.isSuccess(exit) && exit.value, { kind: 'replay', answer: small })
})

const refused: CallBehaviour = { delayMs: 1, outcome: 'refused' }
const lostRequest: CallBehaviour = { delayMs: 1, outcome: 'lost-request' }
const lostAcknowledgement: CallBehaviour = { delayMs: 1, outcome: 'lost-acknowledgement' }
const late: CallBehaviour = { delayMs: 1, outcome: 'late', lateMs: 300 }
const slow: CallBehaviour = { delayMs: 3 * DEADLINE_MS, outcome: 'served' }
const stale: CallBehaviour = { delayMs: 1, outcome: 'served', lagMs: 1000 }

interface FaultCase {
  readonly name: string
  /** Fates of the calls in their order: insert, read back, second insert, and so on. */
  readonly fates: readonly CallBehaviour[]
  readonly told: string
  /** Rows at the end of the background work. */
  readonly rows: number
}

// Each case guards against an untruthful refusal, a claim that is left behind, or a second claim.
const faultCases: readonly FaultCase[] = [
  { name: 'insert refused', fates: [refused], told: 'claim-unavailable', rows: 0 },
  { name: 'insert lost on its way', fates: [lostRequest], told: 'claimed', rows: 1 },
  { name: 'acknowledgement lost', fates: [lostAcknowledgement], told: 'claimed', rows: 1 },
  { name: 'acknowledgement lost, read back refused once', fates: [lostAcknowledgement, refused], told: 'claimed', rows: 1 },
  { name: 'acknowledgement lost, read back refused twice', fates: [lostAcknowledgement, refused, refused], told: 'claim-unavailable', rows: 0 },
  { name: 'acknowledgement lost, read back without answer', fates: [lostAcknowledgement, lostRequest, lostRequest], told: 'claim-unavailable', rows: 0 },
  { name: 'acknowledgement lost, platform away during the deletion', fates: [lostAcknowledgement, ...Array.from({ length: 6 }, () => refused)], told: 'claim-unavailable', rows: 0 },
  { name: 'acknowledgement lost, deletion not acknowledged', fates: [lostAcknowledgement, refused, refused, SERVED, lostAcknowledgement], told: 'claim-unavailable', rows: 0 },
  { name: 'acknowledgement lost, deletion lost on its way', fates: [lostAcknowledgement, refused, refused, SERVED, lostRequest], told: 'claim-unavailable', rows: 0 },
  { name: 'acknowledgement lost, read back lags', fates: [lostAcknowledgement, stale], told: 'claimed', rows: 1 },
  { name: 'acknowledgement lost, all reads lag', fates: [lostAcknowledgement, stale, SERVED, stale, SERVED, stale], told: 'claim-unavailable', rows: 0 },
  { name: 'both inserts lost on their way, then served', fates: [lostRequest, SERVED, lostRequest], told: 'claimed', rows: 1 },
  { name: 'all inserts lost on their way', fates: [lostRequest, SERVED, lostRequest, SERVED, lostRequest], told: 'claim-unavailable', rows: 0 },
  { name: 'insert takes effect after the second insert', fates: [late], told: 'claimed', rows: 1 },
  { name: 'insert takes effect after the refusal', fates: [late, refused, refused], told: 'claim-unavailable', rows: 0 },
  { name: 'insert slower than the deadline', fates: [slow], told: 'claim-unavailable', rows: 0 },
  { name: 'read back slower than the deadline', fates: [lostAcknowledgement, slow], told: 'claim-unavailable', rows: 0 }
]

for (const { name, fates, told, rows } of faultCases) {
  claims(`${name}: ${told}, and ${rows} rows at the end`, () => {
    const world = createWorld()
    assert.is(ask(world, world.machine('entry-1', fates), requestOf('k')), told)
    settle(world)
    assert.is(world.store.keys('claim/').length, rows)
    // A key that was refused as not run can be used again; one that was claimed cannot.
    const again = requestOf('k', { deadlineAt: world.time.clock() + DEADLINE_MS })
    assert.is(ask(world, world.machine('entry-2'), again), rows === 0 ? 'claimed' : 'duplicate-in-progress')
  })
}

const LONG_LAG_MS = 20_000

/** A VM whose first calls have the given fates, and whose further reads lag until `LONG_LAG_MS`. */
function createLaggingMachine (world: World, vm: string, fates: readonly CallBehaviour[]): DrainableClaims {
  const left = [...fates]
  const platform = createMemoryPlatform(world.store, world.time.clock, ({ operation }) => {
    const isLagging = operation === 'read' && world.time.clock() < LONG_LAG_MS
    return left.shift() ?? (isLagging ? { ...SERVED, lagMs: LONG_LAG_MS } : SERVED)
  })
  return createClaims({ platform, log: silent, vm, clock: world.time.clock, wallClock: world.time.clock, random: () => 0, fork: world.time.fork })
}

// Guards against a claim that stays, because reads hid it for longer than a late write may take.
claims('a claim that lagging reads hide for 20 s is deleted after that', () => {
  const world = createWorld()
  const subject = createLaggingMachine(world, 'entry-1', [lostAcknowledgement, refused, refused])
  assert.is(ask(world, subject, requestOf('k')), 'claim-unavailable')
  world.time.run(Effect.sleep(LONG_LAG_MS + SETTLE_MS))
  assert.is(world.store.keys('claim/').length, 0)
})

// Guards against "take a new key" for a request that runs under this key: its second run would not be noticed.
claims('a deleted row of another request that lagging reads still show does not make a key look reused', () => {
  const world = createWorld()
  const other = createClaims({
    platform: createMemoryPlatform(world.store, world.time.clock), log: silent, vm: 'entry-1', clock: world.time.clock, fork: world.time.fork
  })
  const exit = world.time.run(other.claim(requestOf('k', { fingerprint: 'f-2', deadlineAt: Infinity }), 0))
  world.time.run(Effect.sleep(100))
  const lagMs = 50
  if (Exit.isSuccess(exit) && exit.value.kind === 'claimed') other.abandon(exit.value.claim)
  world.time.run(Effect.sleep(20))
  assert.is(ask(world, world.machine('entry-2'), requestOf('k')), 'claimed')
  const repeated = world.machine('entry-3', [SERVED, { ...SERVED, lagMs }])
  assert.is(ask(world, repeated, requestOf('k')), 'duplicate-in-progress')
})

// Guards against a caller that goes away and leaves its key unusable.
for (const waitedMs of [0, 5, 10, 11, 15]) {
  claims(`a request given up after ${waitedMs} ms leaves no claim`, () => {
    const world = createWorld()
    const subject = world.machine('entry-1', [{ delayMs: 5, outcome: 'served' }])
    const fiber = world.time.fork(subject.claim(requestOf('k'), 0))
    world.time.run(Effect.sleep(waitedMs))
    const wasClaimed = fiber.pollUnsafe() !== undefined
    world.time.run(Fiber.interrupt(fiber))
    settle(world)
    assert.is(world.store.keys('claim/').length, wasClaimed ? 1 : 0)
  })
}

// Guards against the deletion of another attempt's claim, which would allow a second run.
claims('a deletion whose claim was deleted and claimed anew in between deletes nothing', () => {
  const world = createWorld()
  // The first deletion takes effect while the second one is on its way.
  const firstDeletion: CallBehaviour = { delayMs: 1, outcome: 'late', lateMs: 300 }
  const secondDeletion: CallBehaviour = { delayMs: 1000, outcome: 'served' }
  const subject = world.machine('entry-1', [lostAcknowledgement, refused, refused, SERVED, firstDeletion, SERVED, secondDeletion])
  assert.is(ask(world, subject, requestOf('k')), 'claim-unavailable')
  world.time.run(Effect.sleep(600))
  assert.is(world.calls.length, 7)
  const again = (): ClaimRequest => requestOf('k', { deadlineAt: world.time.clock() + DEADLINE_MS })
  assert.is(ask(world, world.machine('entry-2'), again()), 'claimed')
  settle(world)
  assert.is(ask(world, world.machine('entry-3'), again()), 'duplicate-in-progress')
})

// Guards against claims that fail because another claim of their batch exists.
claims('a conflict of some claims of a batch does not stop the others', () => {
  const world = createWorld()
  runOnce(world, 'k-3', small)
  ask(world, world.machine('entry-1'), requestOf('k-5'))
  const subject = world.machine('entry-2')
  const before = world.calls.length
  const asked = Array.from({ length: 8 }, (_, i) => subject.claim(requestOf(`k-${i}`), 0).pipe(Effect.exit, Effect.map(show)))
  const told = world.time.run(Effect.all(asked, { concurrency: 'unbounded' }))
  assert.equal(Exit.isSuccess(told) && told.value, ['claimed', 'claimed', 'claimed', 'replay', 'claimed', 'duplicate-in-progress', 'claimed', 'claimed'])
  assert.equal(world.calls.slice(before).map(({ operation }) => operation), ['transact', 'read', 'transact'])
})

// Guards against a row that reads do not show yet and that holds up the other claims of its batch.
claims('a claim whose row is hidden by lagging reads does not stop the others', () => {
  const world = createWorld()
  ask(world, world.machine('entry-1'), requestOf('k-0'))
  const lagging = Array.from({ length: 20 }, () => stale)
  const subject = world.machine('entry-2', lagging)
  const asked = Array.from({ length: 4 }, (_, i) => subject.claim(requestOf(`k-${i}`), 0).pipe(Effect.exit, Effect.map(show)))
  const told = world.time.run(Effect.all(asked, { concurrency: 'unbounded' }))
  assert.equal(Exit.isSuccess(told) && told.value, ['claim-unavailable', 'claimed', 'claimed', 'claimed'])
})

// Guards against transactions larger than the platform takes, and against a wait although none is under way.
claims('a claim starts a transaction at once, of at most 100 rows', () => {
  const world = createWorld()
  const subject = world.machine('entry-1')
  const asked = Array.from({ length: 250 }, (_, i) => subject.claim(requestOf(`k-${i}`), 0))
  assert.ok(Exit.isSuccess(world.time.run(Effect.all(asked, { concurrency: 'unbounded' }))))
  assert.equal(world.calls.map(({ keys }) => keys.length), [100, 100, 50])
  assert.is(world.time.clock(), 0)
})

interface GroupCase {
  readonly name: string
  /** Time that each transaction takes. */
  readonly takesMs: number
  readonly arriveAtMs: readonly number[]
  /** Rows of each transaction. */
  readonly rows: readonly number[]
}

// Each case guards against a write per claim, or against claims that wait for a transaction without an answer.
const groupCases: readonly GroupCase[] = [
  { name: 'claims that come one after the other share none', takesMs: 2, arriveAtMs: [0, 3, 6], rows: [1, 1, 1] },
  { name: 'claims that come during a transaction share the next one', takesMs: 8, arriveAtMs: [0, 3, 6, 7, 9, 15], rows: [1, 3, 2] },
  { name: 'a slow transaction holds up the next one for 10 ms', takesMs: 500, arriveAtMs: [0, 3, 9, 12, 25], rows: [1, 2, 1, 1] }
]

for (const { name, takesMs, arriveAtMs, rows } of groupCases) {
  claims(name, () => {
    const world = createWorld()
    const subject = world.machine('entry-1', rows.map(() => ({ delayMs: takesMs, outcome: 'served' })))
    const asked = arriveAtMs.map(ms => Effect.sleep(ms).pipe(Effect.andThen(Effect.suspend(() => subject.claim(requestOf(`k-${ms}`), ms)))))
    assert.ok(Exit.isSuccess(world.time.run(Effect.all(asked, { concurrency: 'unbounded' }))))
    assert.equal(world.calls.map(({ keys }) => keys.length), rows)
  })
}

// Guards against a VM that takes more than its part of the platform's writes, with its answers and repetitions included.
claims('the transactions of a VM stay within its part of the budget', () => {
  const WRITERS = 48
  const DURATION_MS = 4000
  const world = createWorld()
  const subject = world.machine('entry-1', Array.from({ length: 400 }, (_, i) => i % 5 === 0 ? lostRequest : SERVED), WRITERS)
  const request = (ms: number): Effect.Effect<void, Refusal> => Effect.sleep(ms).pipe(
    Effect.andThen(Effect.suspend(() => subject.claim(requestOf(`k-${ms}`, { deadlineAt: ms + DEADLINE_MS }), ms))),
    Effect.tap(result => Effect.sync(() => { if (result.kind === 'claimed') subject.finish(result.claim, small) })),
    Effect.asVoid)
  const asked = Array.from({ length: DURATION_MS / 10 }, (_, i) => request(i * 10))
  assert.ok(Exit.isSuccess(world.time.run(Effect.all(asked, { concurrency: 'unbounded' }))))
  const writes = world.calls.filter(({ operation }) => operation === 'transact').length
  const elapsedMs = world.time.clock()
  // A repetition does not wait; it leaves a debt that later transactions wait for.
  assert.ok(writes <= BURST_WRITES + elapsedMs / 1000 * FLEET_WRITES_PER_SECOND / WRITERS + 2, `${writes} writes in ${elapsedMs} ms`)
})

// Guards against a write per answer.
claims('answers within 100 ms share a transaction', () => {
  const world = createWorld()
  const subject = world.machine('entry-1')
  const runAt = (ms: number): Effect.Effect<void, Refusal> => Effect.gen(function * () {
    const result = yield * subject.claim(requestOf(`k-${ms}`), 0)
    yield * Effect.sleep(ms)
    if (result.kind === 'claimed') subject.finish(result.claim, small)
  })
  world.time.run(Effect.all([0, 30, 60, 99, 150].map(runAt), { concurrency: 'unbounded' }))
  world.time.run(subject.drain())
  assert.equal(world.calls.map(({ keys }) => keys.length), [5, 4, 1])
})

// Guards against a transaction that writes a row twice, and against two claims of one key.
claims('of two requests with one key at one VM, one is claimed', () => {
  const world = createWorld()
  const subject = world.machine('entry-1')
  const asked = [1, 2, 3].map(() => subject.claim(requestOf('k'), 0).pipe(Effect.exit, Effect.map(show)))
  const told = world.time.run(Effect.all(asked, { concurrency: 'unbounded' }))
  assert.equal(Exit.isSuccess(told) && told.value, ['claimed', 'duplicate-in-progress', 'duplicate-in-progress'])
  assert.ok(world.calls.every(({ keys }) => keys.length === 1))
})

// Guards against a queue that grows without bound while the platform is slow.
claims('claims beyond the bound are refused at once', () => {
  const world = createWorld()
  const subject = world.machine('entry-1')
  const asked = Array.from({ length: 2010 }, (_, i) => subject.claim(requestOf(`k-${i}`), 0).pipe(Effect.exit, Effect.map(show)))
  const told = world.time.run(Effect.all(asked, { concurrency: 'unbounded' }))
  assert.is(Exit.isSuccess(told) && told.value.filter(kind => kind === 'claim-unavailable').length, 10)
})

// Guards against answers that are lost in an outage, after which repeated requests get no answer.
claims('answers are recorded after an outage', () => {
  const world = createWorld()
  const subject = world.machine('entry-1', [SERVED, ...Array.from({ length: 9 }, () => refused), lostRequest])
  const exit = world.time.run(subject.claim(requestOf('k'), 0))
  if (Exit.isSuccess(exit) && exit.value.kind === 'claimed') subject.finish(exit.value.claim, small)
  world.time.run(Effect.sleep(60_000))
  assert.is(ask(world, world.machine('entry-2'), requestOf('k', { deadlineAt: Infinity })), 'replay')
})

// Guards against a shutdown that loses answers or waits for a platform that is away.
claims('a drain records what waits, and ends after 5 s while the platform is away', () => {
  const world = createWorld()
  runOnce(world, 'k', small)
  assert.ok(world.time.clock() < 200)
  const away = world.machine('entry-2', [SERVED, ...Array.from({ length: 100 }, () => refused)])
  const exit = world.time.run(away.claim(requestOf('k-2'), world.time.clock()))
  if (Exit.isSuccess(exit) && exit.value.kind === 'claimed') away.finish(exit.value.claim, small)
  const before = world.time.clock()
  world.time.run(away.drain())
  assert.is(world.time.clock() - before, 5000)
  // Guards against background work that keeps the process alive after its shutdown.
  const calls = world.calls.length
  settle(world)
  assert.is(world.calls.length, calls)
})

// Guards against a key that cannot be used again after a failure that was provably not run.
claims('an abandoned claim is deleted, and a finished one of the same key is not', () => {
  const world = createWorld()
  const subject = world.machine('entry-1')
  const exit = world.time.run(subject.claim(requestOf('k'), 0))
  if (Exit.isSuccess(exit) && exit.value.kind === 'claimed') subject.abandon(exit.value.claim)
  world.time.run(subject.drain())
  assert.is(world.store.keys('claim/').length, 0)
  runOnce(world, 'k', small)
  if (Exit.isSuccess(exit) && exit.value.kind === 'claimed') subject.abandon(exit.value.claim)
  settle(world)
  assert.is(world.store.keys('claim/').length, 1)
})

claims.run()
