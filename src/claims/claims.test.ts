import { Effect, Exit, Fiber } from 'effect'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Refusal } from '../errors/index.js'
import type { ClaimRequest, ClaimResult, RecordedResponse } from '../model/index.js'
import { createMemoryPlatform, createStore, createVirtualTime, SERVED, type PlatformCall, type CallBehaviour, type Store, type VirtualTime } from '../../stand-ins/platform/index.js'
import { createClaims, RECORDED_BODY_LIMIT_BYTES, type DrainableClaims } from './index.js'
import { BURST_WRITES, FLEET_WRITES_PER_SECOND } from './write-budget.js'

const claims = suite('claims')

const silent = { info: () => {}, warn: () => {}, error: () => {} }
const DEADLINE_MS = 2000
/** Longer than all background work, including the delay of late writes. */
const SETTLE_MS = 30_000

interface TestEnvironment {
  readonly time: VirtualTime
  readonly store: Store
  readonly calls: PlatformCall[]
  /** Creates the claims of a new VM. The platform applies the behaviours to the first calls and serves the others. */
  readonly createVMClaims: (vm: string, behaviours?: readonly CallBehaviour[], writers?: number) => DrainableClaims
}

function createEnvironment (): TestEnvironment {
  const time = createVirtualTime()
  const store = createStore()
  const calls: PlatformCall[] = []
  const createVMClaims: TestEnvironment['createVMClaims'] = (vm, behaviours = [], writers = 1) => {
    const remaining = [...behaviours]
    const platform = createMemoryPlatform(store, time.clock, call => {
      calls.push(call)
      return remaining.shift() ?? SERVED
    })
    let attempts = 0
    const createNonce = (): string => `${vm}-${++attempts}`
    return createClaims({
      platform, log: silent, vm, writers: () => writers, clock: time.clock, wallClock: time.clock, random: () => 0, createNonce, fork: time.fork
    })
  }
  return { time, store, calls, createVMClaims }
}

const createRequest = (key: string, overrides: Partial<ClaimRequest> = {}): ClaimRequest => (
  { service: 'holds', idempotencyKey: key, fingerprint: 'f-1', deadlineAt: DEADLINE_MS, ...overrides })

/** Returns `claimed`, `replay`, or the kind of the refusal. */
function describeResult (exit: Exit.Exit<ClaimResult, Refusal>): string {
  if (Exit.isSuccess(exit)) return exit.value.kind
  const [reason] = exit.cause.reasons
  return reason?._tag === 'Fail' ? reason.error.kind : 'interrupted'
}

const claimAndDescribe = ({ time }: TestEnvironment, subject: DrainableClaims, request: ClaimRequest): string => describeResult(time.run(subject.claim(request, time.clock())))

const settle = ({ time }: TestEnvironment): void => { time.run(Effect.sleep(SETTLE_MS)) }

/** Claims a key and records a response. */
function claimAndRecord (environment: TestEnvironment, key: string, response: RecordedResponse): void {
  const subject = environment.createVMClaims('entry-1')
  const exit = environment.time.run(subject.claim(createRequest(key), environment.time.clock()))
  if (Exit.isSuccess(exit) && exit.value.kind === 'claimed') subject.finish(exit.value.claim, response)
  environment.time.run(subject.drain())
}

const smallResponse: RecordedResponse = { status: 201, headers: { 'content-type': 'text/plain', 'set-cookie': ['a', 'b'] }, body: Buffer.from('done') }
const largeResponse: RecordedResponse = { ...smallResponse, body: Buffer.alloc(RECORDED_BODY_LIMIT_BYTES + 1) }

interface RepeatCase {
  readonly name: string
  readonly prepare: (environment: TestEnvironment) => void
  readonly overrides?: Partial<ClaimRequest>
  readonly expected: string
}

// Each case guards against a second execution of a request, or against the response of another request.
const repeatCases: readonly RepeatCase[] = [
  { name: 'a new key', prepare: () => {}, expected: 'claimed' },
  { name: 'a key without a recorded response', prepare: environment => { claimAndDescribe(environment, environment.createVMClaims('entry-1'), createRequest('k')) }, expected: 'duplicate-in-progress' },
  { name: 'a key with a recorded response', prepare: environment => claimAndRecord(environment, 'k', smallResponse), expected: 'replay' },
  { name: 'a key with a response above the size limit', prepare: environment => claimAndRecord(environment, 'k', largeResponse), expected: 'duplicate-ran' },
  { name: 'a key of another request', prepare: environment => claimAndRecord(environment, 'k', smallResponse), overrides: { fingerprint: 'f-2' }, expected: 'key-reused' },
  { name: 'the same key at another service', prepare: environment => claimAndRecord(environment, 'k', smallResponse), overrides: { service: 'visits' }, expected: 'claimed' },
  { name: 'a row that cannot be read', prepare: ({ store }) => { store.transact([{ key: 'claim/holds/k', value: '{}', expect: 'any' }], 0) }, expected: 'duplicate-in-progress' },
  { name: 'a deadline that has passed', prepare: () => {}, overrides: { deadlineAt: 0 }, expected: 'deadline-too-short' }
]

for (const { name, prepare, overrides, expected } of repeatCases) {
  claims(`${name}: ${expected}`, () => {
    const environment = createEnvironment()
    prepare(environment)
    const request = createRequest('k', { deadlineAt: environment.time.clock() + DEADLINE_MS, ...overrides })
    assert.is(claimAndDescribe(environment, environment.createVMClaims('entry-2'), request), expected)
  })
}

claims('a replayed response equals the recorded one', () => {
  const environment = createEnvironment()
  claimAndRecord(environment, 'k', smallResponse)
  const exit = environment.time.run(environment.createVMClaims('entry-2').claim(createRequest('k', { deadlineAt: Infinity }), 0))
  assert.equal(Exit.isSuccess(exit) && exit.value, { kind: 'replay', answer: smallResponse })
})

const refused: CallBehaviour = { delayMs: 1, outcome: 'refused' }
const lostRequest: CallBehaviour = { delayMs: 1, outcome: 'lost-request' }
const lostAcknowledgement: CallBehaviour = { delayMs: 1, outcome: 'lost-acknowledgement' }
const late: CallBehaviour = { delayMs: 1, outcome: 'late', lateMs: 300 }
const slow: CallBehaviour = { delayMs: 3 * DEADLINE_MS, outcome: 'served' }
const stale: CallBehaviour = { delayMs: 1, outcome: 'served', lagMs: 1000 }

interface FaultCase {
  readonly name: string
  /** Behaviours of the calls in order: insert, read back, second insert, and so on. */
  readonly behaviours: readonly CallBehaviour[]
  readonly expected: string
  /** Number of rows after the background work. */
  readonly rows: number
}

// Each case guards against a refusal with a wrong run state, an orphaned claim, or a second claim of the key.
const faultCases: readonly FaultCase[] = [
  { name: 'insert refused', behaviours: [refused], expected: 'claim-unavailable', rows: 0 },
  { name: 'insert request lost', behaviours: [lostRequest], expected: 'claimed', rows: 1 },
  { name: 'acknowledgement lost', behaviours: [lostAcknowledgement], expected: 'claimed', rows: 1 },
  { name: 'acknowledgement lost, read back refused once', behaviours: [lostAcknowledgement, refused], expected: 'claimed', rows: 1 },
  { name: 'acknowledgement lost, read back refused twice', behaviours: [lostAcknowledgement, refused, refused], expected: 'claim-unavailable', rows: 0 },
  { name: 'acknowledgement lost, read back without response', behaviours: [lostAcknowledgement, lostRequest, lostRequest], expected: 'claim-unavailable', rows: 0 },
  { name: 'acknowledgement lost, platform unavailable during the deletion', behaviours: [lostAcknowledgement, ...Array.from({ length: 6 }, () => refused)], expected: 'claim-unavailable', rows: 0 },
  { name: 'acknowledgement lost, deletion not acknowledged', behaviours: [lostAcknowledgement, refused, refused, SERVED, lostAcknowledgement], expected: 'claim-unavailable', rows: 0 },
  { name: 'acknowledgement lost, deletion request lost', behaviours: [lostAcknowledgement, refused, refused, SERVED, lostRequest], expected: 'claim-unavailable', rows: 0 },
  { name: 'acknowledgement lost, read back is stale', behaviours: [lostAcknowledgement, stale], expected: 'claimed', rows: 1 },
  { name: 'acknowledgement lost, all reads are stale', behaviours: [lostAcknowledgement, stale, SERVED, stale, SERVED, stale], expected: 'claim-unavailable', rows: 0 },
  { name: 'two insert requests lost, the third served', behaviours: [lostRequest, SERVED, lostRequest], expected: 'claimed', rows: 1 },
  { name: 'all insert requests lost', behaviours: [lostRequest, SERVED, lostRequest, SERVED, lostRequest], expected: 'claim-unavailable', rows: 0 },
  { name: 'insert takes effect after the second insert', behaviours: [late], expected: 'claimed', rows: 1 },
  { name: 'insert takes effect after the refusal', behaviours: [late, refused, refused], expected: 'claim-unavailable', rows: 0 },
  { name: 'insert slower than the deadline', behaviours: [slow], expected: 'claim-unavailable', rows: 0 },
  { name: 'read back slower than the deadline', behaviours: [lostAcknowledgement, slow], expected: 'claim-unavailable', rows: 0 }
]

for (const { name, behaviours, expected, rows } of faultCases) {
  claims(`${name}: ${expected}, and ${rows} rows at the end`, () => {
    const environment = createEnvironment()
    assert.is(claimAndDescribe(environment, environment.createVMClaims('entry-1', behaviours), createRequest('k')), expected)
    settle(environment)
    assert.is(environment.store.keys('claim/').length, rows)
    // After a refusal as not run, the key can be claimed again; after a grant, it cannot.
    const repeatedRequest = createRequest('k', { deadlineAt: environment.time.clock() + DEADLINE_MS })
    assert.is(claimAndDescribe(environment, environment.createVMClaims('entry-2'), repeatedRequest), rows === 0 ? 'claimed' : 'duplicate-in-progress')
  })
}

const LONG_LAG_MS = 20_000

/** Creates the claims of a VM. The first calls have the given behaviours; later reads are stale until `LONG_LAG_MS`. */
function createClaimsWithStaleReads (environment: TestEnvironment, vm: string, behaviours: readonly CallBehaviour[]): DrainableClaims {
  const remaining = [...behaviours]
  const platform = createMemoryPlatform(environment.store, environment.time.clock, ({ operation }) => {
    const isStaleRead = operation === 'read' && environment.time.clock() < LONG_LAG_MS
    return remaining.shift() ?? (isStaleRead ? { ...SERVED, lagMs: LONG_LAG_MS } : SERVED)
  })
  return createClaims({ platform, log: silent, vm, clock: environment.time.clock, wallClock: environment.time.clock, random: () => 0, fork: environment.time.fork })
}

// Guards against an orphaned claim: stale reads miss its row for longer than a late write can take.
claims('a claim that stale reads do not show for 20 s is deleted after that', () => {
  const environment = createEnvironment()
  const subject = createClaimsWithStaleReads(environment, 'entry-1', [lostAcknowledgement, refused, refused])
  assert.is(claimAndDescribe(environment, subject, createRequest('k')), 'claim-unavailable')
  environment.time.run(Effect.sleep(LONG_LAG_MS + SETTLE_MS))
  assert.is(environment.store.keys('claim/').length, 0)
})

// Guards against `key-reused` for a request that was executed with this key: repeated with a new key, it would be executed twice.
claims('a stale read of a deleted row of another request is not reported as a reused key', () => {
  const environment = createEnvironment()
  const other = createClaims({
    platform: createMemoryPlatform(environment.store, environment.time.clock), log: silent, vm: 'entry-1', clock: environment.time.clock, fork: environment.time.fork
  })
  const exit = environment.time.run(other.claim(createRequest('k', { fingerprint: 'f-2', deadlineAt: Infinity }), 0))
  environment.time.run(Effect.sleep(100))
  const lagMs = 50
  if (Exit.isSuccess(exit) && exit.value.kind === 'claimed') other.abandon(exit.value.claim)
  environment.time.run(Effect.sleep(20))
  assert.is(claimAndDescribe(environment, environment.createVMClaims('entry-2'), createRequest('k')), 'claimed')
  const staleReader = environment.createVMClaims('entry-3', [SERVED, { ...SERVED, lagMs }])
  assert.is(claimAndDescribe(environment, staleReader, createRequest('k')), 'duplicate-in-progress')
})

// Guards against a key that cannot be used again after its caller disconnected.
for (const waitedMs of [0, 5, 10, 11, 15]) {
  claims(`a request that is cancelled after ${waitedMs} ms leaves no claim`, () => {
    const environment = createEnvironment()
    const subject = environment.createVMClaims('entry-1', [{ delayMs: 5, outcome: 'served' }])
    const fiber = environment.time.fork(subject.claim(createRequest('k'), 0))
    environment.time.run(Effect.sleep(waitedMs))
    const wasClaimed = fiber.pollUnsafe() !== undefined
    environment.time.run(Fiber.interrupt(fiber))
    settle(environment)
    assert.is(environment.store.keys('claim/').length, wasClaimed ? 1 : 0)
  })
}

// Guards against the deletion of another attempt's claim, which would allow a second execution.
claims('a deletion deletes nothing if the key was deleted and claimed again in between', () => {
  const environment = createEnvironment()
  // The first deletion takes effect while the second one is in flight.
  const firstDeletion: CallBehaviour = { delayMs: 1, outcome: 'late', lateMs: 300 }
  const secondDeletion: CallBehaviour = { delayMs: 1000, outcome: 'served' }
  const subject = environment.createVMClaims('entry-1', [lostAcknowledgement, refused, refused, SERVED, firstDeletion, SERVED, secondDeletion])
  assert.is(claimAndDescribe(environment, subject, createRequest('k')), 'claim-unavailable')
  environment.time.run(Effect.sleep(600))
  assert.is(environment.calls.length, 7)
  const createRepeatedRequest = (): ClaimRequest => createRequest('k', { deadlineAt: environment.time.clock() + DEADLINE_MS })
  assert.is(claimAndDescribe(environment, environment.createVMClaims('entry-2'), createRepeatedRequest()), 'claimed')
  settle(environment)
  assert.is(claimAndDescribe(environment, environment.createVMClaims('entry-3'), createRepeatedRequest()), 'duplicate-in-progress')
})

// Guards against claims that fail because another claim of their batch already exists.
claims('a conflict of some claims in a batch does not affect the others', () => {
  const environment = createEnvironment()
  claimAndRecord(environment, 'k-3', smallResponse)
  claimAndDescribe(environment, environment.createVMClaims('entry-1'), createRequest('k-5'))
  const subject = environment.createVMClaims('entry-2')
  const before = environment.calls.length
  const attempts = Array.from({ length: 8 }, (_, i) => subject.claim(createRequest(`k-${i}`), 0).pipe(Effect.exit, Effect.map(describeResult)))
  const results = environment.time.run(Effect.all(attempts, { concurrency: 'unbounded' }))
  assert.equal(Exit.isSuccess(results) && results.value, ['claimed', 'claimed', 'claimed', 'replay', 'claimed', 'duplicate-in-progress', 'claimed', 'claimed'])
  assert.equal(environment.calls.slice(before).map(({ operation }) => operation), ['transact', 'read', 'transact'])
})

// Guards against a row that stale reads do not show yet and that blocks the other claims of its batch.
claims('a claim whose row is not shown by stale reads does not block the others', () => {
  const environment = createEnvironment()
  claimAndDescribe(environment, environment.createVMClaims('entry-1'), createRequest('k-0'))
  const staleReads = Array.from({ length: 20 }, () => stale)
  const subject = environment.createVMClaims('entry-2', staleReads)
  const attempts = Array.from({ length: 4 }, (_, i) => subject.claim(createRequest(`k-${i}`), 0).pipe(Effect.exit, Effect.map(describeResult)))
  const results = environment.time.run(Effect.all(attempts, { concurrency: 'unbounded' }))
  assert.equal(Exit.isSuccess(results) && results.value, ['claim-unavailable', 'claimed', 'claimed', 'claimed'])
})

// Guards against transactions above the platform's size limit, and against a delay while no transaction is in progress.
claims('a claim starts a transaction immediately, with at most 100 rows', () => {
  const environment = createEnvironment()
  const subject = environment.createVMClaims('entry-1')
  const attempts = Array.from({ length: 250 }, (_, i) => subject.claim(createRequest(`k-${i}`), 0))
  assert.ok(Exit.isSuccess(environment.time.run(Effect.all(attempts, { concurrency: 'unbounded' }))))
  assert.equal(environment.calls.map(({ keys }) => keys.length), [100, 100, 50])
  assert.is(environment.time.clock(), 0)
})

interface GroupCase {
  readonly name: string
  /** Duration of each transaction. */
  readonly durationMs: number
  readonly arriveAtMs: readonly number[]
  /** Number of rows of each transaction. */
  readonly rows: readonly number[]
}

// Each case guards against one write per claim, or against claims that wait for a transaction without a response.
const groupCases: readonly GroupCase[] = [
  { name: 'sequential claims do not share a transaction', durationMs: 2, arriveAtMs: [0, 3, 6], rows: [1, 1, 1] },
  { name: 'claims that arrive during a transaction share the next one', durationMs: 8, arriveAtMs: [0, 3, 6, 7, 9, 15], rows: [1, 3, 2] },
  { name: 'a slow transaction delays the next one by 10 ms', durationMs: 500, arriveAtMs: [0, 3, 9, 12, 25], rows: [1, 2, 1, 1] }
]

for (const { name, durationMs, arriveAtMs, rows } of groupCases) {
  claims(name, () => {
    const environment = createEnvironment()
    const subject = environment.createVMClaims('entry-1', rows.map(() => ({ delayMs: durationMs, outcome: 'served' })))
    const attempts = arriveAtMs.map(ms => Effect.sleep(ms).pipe(Effect.andThen(Effect.suspend(() => subject.claim(createRequest(`k-${ms}`), ms)))))
    assert.ok(Exit.isSuccess(environment.time.run(Effect.all(attempts, { concurrency: 'unbounded' }))))
    assert.equal(environment.calls.map(({ keys }) => keys.length), rows)
  })
}

// Guards against a VM that exceeds its share of the platform's write rate, including recorded responses and retries.
claims('the transactions of a VM stay within its share of the budget', () => {
  const WRITERS = 48
  const DURATION_MS = 4000
  const environment = createEnvironment()
  const subject = environment.createVMClaims('entry-1', Array.from({ length: 400 }, (_, i) => i % 5 === 0 ? lostRequest : SERVED), WRITERS)
  const request = (ms: number): Effect.Effect<void, Refusal> => Effect.sleep(ms).pipe(
    Effect.andThen(Effect.suspend(() => subject.claim(createRequest(`k-${ms}`, { deadlineAt: ms + DEADLINE_MS }), ms))),
    Effect.tap(result => Effect.sync(() => { if (result.kind === 'claimed') subject.finish(result.claim, smallResponse) })),
    Effect.asVoid)
  const attempts = Array.from({ length: DURATION_MS / 10 }, (_, i) => request(i * 10))
  assert.ok(Exit.isSuccess(environment.time.run(Effect.all(attempts, { concurrency: 'unbounded' }))))
  const writes = environment.calls.filter(({ operation }) => operation === 'transact').length
  const elapsedMs = environment.time.clock()
  // A retry does not wait; later transactions wait until its token is replenished.
  assert.ok(writes <= BURST_WRITES + elapsedMs / 1000 * FLEET_WRITES_PER_SECOND / WRITERS + 2, `${writes} writes in ${elapsedMs} ms`)
})

// Guards against one write per response.
claims('responses within 100 ms share a transaction', () => {
  const environment = createEnvironment()
  const subject = environment.createVMClaims('entry-1')
  const runAt = (ms: number): Effect.Effect<void, Refusal> => Effect.gen(function * () {
    const result = yield * subject.claim(createRequest(`k-${ms}`), 0)
    yield * Effect.sleep(ms)
    if (result.kind === 'claimed') subject.finish(result.claim, smallResponse)
  })
  environment.time.run(Effect.all([0, 30, 60, 99, 150].map(runAt), { concurrency: 'unbounded' }))
  environment.time.run(subject.drain())
  assert.equal(environment.calls.map(({ keys }) => keys.length), [5, 4, 1])
})

// Guards against a transaction that writes a row twice, and against two claims of the same key.
claims('of several requests with the same key at one VM, one is granted the claim', () => {
  const environment = createEnvironment()
  const subject = environment.createVMClaims('entry-1')
  const attempts = [1, 2, 3].map(() => subject.claim(createRequest('k'), 0).pipe(Effect.exit, Effect.map(describeResult)))
  const results = environment.time.run(Effect.all(attempts, { concurrency: 'unbounded' }))
  assert.equal(Exit.isSuccess(results) && results.value, ['claimed', 'duplicate-in-progress', 'duplicate-in-progress'])
  assert.ok(environment.calls.every(({ keys }) => keys.length === 1))
})

// Guards against unbounded growth of the queue while the platform is slow.
claims('claims beyond the limit of the queue are refused immediately', () => {
  const environment = createEnvironment()
  const subject = environment.createVMClaims('entry-1')
  const attempts = Array.from({ length: 2010 }, (_, i) => subject.claim(createRequest(`k-${i}`), 0).pipe(Effect.exit, Effect.map(describeResult)))
  const results = environment.time.run(Effect.all(attempts, { concurrency: 'unbounded' }))
  assert.is(Exit.isSuccess(results) && results.value.filter(kind => kind === 'claim-unavailable').length, 10)
})

// Guards against the loss of a response in an outage: repeated requests would not get it.
claims('responses are recorded after an outage', () => {
  const environment = createEnvironment()
  const subject = environment.createVMClaims('entry-1', [SERVED, ...Array.from({ length: 9 }, () => refused), lostRequest])
  const exit = environment.time.run(subject.claim(createRequest('k'), 0))
  if (Exit.isSuccess(exit) && exit.value.kind === 'claimed') subject.finish(exit.value.claim, smallResponse)
  environment.time.run(Effect.sleep(60_000))
  assert.is(claimAndDescribe(environment, environment.createVMClaims('entry-2'), createRequest('k', { deadlineAt: Infinity })), 'replay')
})

// Guards against a shutdown that loses responses or waits for an unavailable platform.
claims('a drain records queued responses, and ends after 5 s if the platform is unavailable', () => {
  const environment = createEnvironment()
  claimAndRecord(environment, 'k', smallResponse)
  assert.ok(environment.time.clock() < 200)
  const unavailable = environment.createVMClaims('entry-2', [SERVED, ...Array.from({ length: 100 }, () => refused)])
  const exit = environment.time.run(unavailable.claim(createRequest('k-2'), environment.time.clock()))
  if (Exit.isSuccess(exit) && exit.value.kind === 'claimed') unavailable.finish(exit.value.claim, smallResponse)
  const before = environment.time.clock()
  environment.time.run(unavailable.drain())
  assert.is(environment.time.clock() - before, 5000)
  // Guards against background work that keeps the process alive after the drain.
  const calls = environment.calls.length
  settle(environment)
  assert.is(environment.calls.length, calls)
})

// Guards against a key that cannot be used again after a request that was certainly not executed.
claims('an abandoned claim is deleted, and a finished one of the same key is not', () => {
  const environment = createEnvironment()
  const subject = environment.createVMClaims('entry-1')
  const exit = environment.time.run(subject.claim(createRequest('k'), 0))
  if (Exit.isSuccess(exit) && exit.value.kind === 'claimed') subject.abandon(exit.value.claim)
  environment.time.run(subject.drain())
  assert.is(environment.store.keys('claim/').length, 0)
  claimAndRecord(environment, 'k', smallResponse)
  if (Exit.isSuccess(exit) && exit.value.kind === 'claimed') subject.abandon(exit.value.claim)
  settle(environment)
  assert.is(environment.store.keys('claim/').length, 1)
})

claims.run()
