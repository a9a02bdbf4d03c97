import { Effect, Exit, Fiber } from 'effect'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createMemoryPlatform, createPlatformStandIn, createStore, createVirtualTime, SERVED, type CallBehaviour } from './index.js'

const standIn = suite('platform stand-in')

const put = (key: string, value: string): { key: string, value: string, expect: 'absent' } => ({ key, value, expect: 'absent' })

// Guards against partially applied transactions, which would hide faults in the code under test.
standIn('a transaction with one failed precondition has no effect', () => {
  const store = createStore()
  store.transact([put('a', '1')], 0)
  assert.is(store.transact([put('b', '1'), put('a', '2')], 1), 'conflict')
  assert.equal(store.keys(''), ['a'])
})

// Guards against reused versions: a write based on a read from before the deletion would succeed.
standIn('a deleted row that is written again gets a higher version', () => {
  const store = createStore()
  store.transact([put('a', '1')], 0)
  const [before] = store.read(['a'], 1)
  store.transact([{ key: 'a', value: undefined, expect: 'any' }], 1)
  store.transact([put('a', '1')], 2)
  assert.is(store.transact([{ key: 'a', value: '2', expect: before?.version ?? -1 }], 3), 'conflict')
})

// Guards against stale reads that mix versions of different times.
standIn('stale reads return past versions', () => {
  const store = createStore()
  store.transact([put('a', '1')], 1000)
  store.transact([{ key: 'a', value: '2', expect: 'any' }], 2000)
  store.setVMs([], 1000)
  assert.is(store.read(['a'], 2500, 1000)[0]?.value, '1')
  assert.is(store.read(['a'], 3500, 1000)[0]?.value, '2')
  assert.is(store.read(['a'], 1500, 1000)[0], undefined)
})

// Guards against conditions that are evaluated on stale data or that modify the table.
standIn('conditions are evaluated against the latest versions and write nothing', () => {
  const store = createStore()
  store.transact([put('a', '1')], 1000)
  const [row] = store.read(['a'], 1000)
  store.transact([{ key: 'a', value: '2', expect: 'any' }], 2000)
  assert.is(store.transact([], 2500, [{ key: 'a', expect: row?.version ?? -1 }]), 'conflict')
  assert.is(store.transact([put('b', '1')], 2500, [{ key: 'a', expect: 'absent' }]), 'conflict')
  assert.is(store.transact([], 2500, [{ key: 'b', expect: 'absent' }]), 'committed')
  assert.equal(store.keys(''), ['a'])
})

interface BehaviourCase {
  readonly behaviour: CallBehaviour
  readonly result: 'committed' | 'unavailable' | 'unknown'
  readonly hasEffect: boolean
}

const behaviours: readonly BehaviourCase[] = [
  { behaviour: SERVED, result: 'committed', hasEffect: true },
  { behaviour: { delayMs: 5, outcome: 'refused' }, result: 'unavailable', hasEffect: false },
  { behaviour: { delayMs: 5, outcome: 'lost-request' }, result: 'unknown', hasEffect: false },
  { behaviour: { delayMs: 5, outcome: 'lost-acknowledgement' }, result: 'unknown', hasEffect: true },
  { behaviour: { delayMs: 5, outcome: 'late', lateMs: 50 }, result: 'unknown', hasEffect: true }
]

for (const { behaviour, result, hasEffect } of behaviours) {
  // Guards against a result or an effect that does not match the injected fault.
  standIn(`the in-memory platform simulates ${behaviour.outcome}`, () => {
    const time = createVirtualTime()
    const store = createStore()
    const platform = createMemoryPlatform(store, time.clock, () => behaviour)
    const exit = time.run(platform.transact([put('a', '1')]).pipe(
      Effect.catch(failure => Effect.succeed(failure.kind)),
      Effect.tap(() => Effect.sleep(100))
    ))
    assert.equal(exit, Exit.succeed(result))
    assert.is(store.keys('').length, hasEffect ? 1 : 0)
  })
}

// Guards against an event order that differs between runs.
standIn('virtual time fires timers in order without waiting in real time', () => {
  const time = createVirtualTime()
  const seen: string[] = []
  const step = (name: string, ms: number): Effect.Effect<void> => Effect.sleep(ms).pipe(Effect.andThen(Effect.sync(() => { seen.push(`${name}@${time.clock()}`) })))
  const background = time.fork(step('slow', 3_600_000))
  time.run(Effect.all([step('b', 20), step('a', 10)], { concurrency: 'unbounded' }))
  assert.equal(seen, ['a@10', 'b@20'])
  time.run(Fiber.join(background))
  assert.is(time.clock(), 3_600_000)
})

// Guards against control requests that fail during a simulated outage.
standIn('faults, the VM list and counters are managed over HTTP, even during an outage', async () => {
  const server = await createPlatformStandIn()
  const base = `http://${server.address}:${server.port}`
  const post = (path: string, body: unknown): Promise<Response> => fetch(base + path, { method: 'POST', body: JSON.stringify(body) })
  assert.is((await post('/control/faults', { outage: 'refuse' })).status, 200)
  assert.is((await post('/table/read', { keys: ['a'] })).status, 503)
  assert.is((await post('/control/faults', { outages: 'refuse' })).status, 400)
  assert.is((await post('/control/faults', {})).status, 200)
  assert.is((await post('/table/read', { keys: ['a', 'b'] })).status, 200)
  const endpoint = { address: '127.0.0.1', port: 1 }
  const vm = { name: 'entry-1', place: 'riga-a', callers: endpoint, peers: endpoint }
  assert.is((await post('/control/vms', { vms: [{ vm, state: 'leaving' }] })).status, 200)
  assert.equal(await (await fetch(base + '/vms')).json(), { vms: [{ vm, state: 'leaving' }] })
  const stats = await (await fetch(base + '/control/stats')).json() as Record<string, number>
  assert.equal([stats['reads'], stats['rowsRead'], stats['lists']], [1, 2, 1])
  await server.close()
})

standIn.run()
