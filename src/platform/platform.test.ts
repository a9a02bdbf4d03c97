import { createServer, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Effect, Fiber } from 'effect'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Platform, PlatformFailure } from '../model/index.js'
import { createPlatformStandIn, type Faults, type PlatformStandIn } from '../../stand-ins/platform/index.js'
import { createPlatform, type PlatformOptions } from './index.js'

const platform = suite('platform client')

const TIMEOUT_MS = 400
const write = { key: 'a', value: '1', expect: 'absent' } as const

type Kind = 'done' | PlatformFailure['kind']
type Options = Partial<PlatformOptions>

const pause = (ms: number): Promise<void> => new Promise(resolve => { setTimeout(resolve, ms) })

/** Returns the kind of the failure, or `done`. */
function outcomeOf (effect: Effect.Effect<unknown, PlatformFailure>): Promise<Kind> {
  return Effect.runPromise(effect.pipe(Effect.match({ onSuccess: () => 'done' as const, onFailure: failure => failure.kind })))
}

/** Runs a test with a platform stand-in and a client, and closes both afterwards. */
async function withStandIn (options: Options, run: (client: Platform, standIn: PlatformStandIn) => Promise<void>): Promise<void> {
  const standIn = await createPlatformStandIn()
  const client = createPlatform({ ...standIn, timeoutMs: TIMEOUT_MS, ...options })
  try {
    await run(client, standIn)
  } finally {
    client.close()
    await standIn.close()
  }
}

/** Runs a test with an HTTP server whose responses the test supplies. */
async function withServer (respond: (response: ServerResponse) => void, options: Options, run: (client: Platform) => Promise<void>): Promise<void> {
  const server = createServer((request, response) => request.resume().on('end', () => respond(response)))
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  const client = createPlatform({ address: '127.0.0.1', port, timeoutMs: TIMEOUT_MS, ...options })
  try {
    await run(client)
  } finally {
    client.close()
    server.closeAllConnections()
    server.close()
  }
}

interface FaultCase {
  readonly name: string
  readonly faults: Partial<Faults>
  readonly reported: Kind
  readonly isWritten: boolean
}

// Guards against a failure that is reported as without effect although the write may have taken effect.
const faultCases: readonly FaultCase[] = [
  { name: 'no fault', faults: {}, reported: 'done', isWritten: true },
  { name: 'a rejection by the platform', faults: { outage: 'refuse' }, reported: 'unavailable', isWritten: false },
  { name: 'a connection closed after the request was sent', faults: { outage: 'close' }, reported: 'unknown', isWritten: false },
  { name: 'no response', faults: { outage: 'hang' }, reported: 'unknown', isWritten: false },
  { name: 'a lost acknowledgement', faults: { loseAcknowledgementEvery: 1 }, reported: 'unknown', isWritten: true },
  { name: 'an effect after the timeout', faults: { delayMs: 2.5 * TIMEOUT_MS }, reported: 'unknown', isWritten: true },
  { name: 'a slow response within the timeout', faults: { delayMs: 20 }, reported: 'done', isWritten: true }
]

for (const { name, faults, reported, isWritten } of faultCases) {
  platform(`a write with ${name} is reported as ${reported}`, () => withStandIn({}, async (client, standIn) => {
    standIn.setFaults(faults)
    assert.is(await outcomeOf(client.transact([write])), reported)
    // A slow platform may apply the write after the failure was reported.
    await pause(faults.delayMs ?? 0)
    assert.is(standIn.store.keys('').length, isWritten ? 1 : 0)
  }))
}

platform('a write over a refused connection is reported as without effect', () => withStandIn({}, async (client, standIn) => {
  await standIn.close()
  assert.is(await outcomeOf(client.transact([write])), 'unavailable')
}))

const sendRaw = (bytes: string) => (response: ServerResponse): void => { response.socket?.end(bytes) }
const send = (status: number, body: string) => (response: ServerResponse): void => { response.writeHead(status).end(body) }

// Guards against a truncated or malformed response that is accepted as an outcome.
const responseCases: ReadonlyArray<readonly [string, (response: ServerResponse) => void, Kind]> = [
  ['a truncated response', sendRaw('HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{"outcome":"committed"}'), 'unknown'],
  ['a response that is not HTTP', sendRaw('committed'), 'unknown'],
  ['a response that is not JSON', send(200, 'committed'), 'unknown'],
  ['a response that does not match the schema', send(200, '{"outcome":"perhaps"}'), 'unknown'],
  ['an internal error of the platform', send(500, ''), 'unknown'],
  ['a gateway timeout', send(504, ''), 'unknown'],
  ['a rejection of a bad request', send(400, ''), 'unavailable'],
  ['a rejection of too many requests', send(429, ''), 'unavailable']
]

for (const [name, respond, kind] of responseCases) {
  platform(`${name} is reported as ${kind}`, () => withServer(respond, {}, async client => {
    assert.is(await outcomeOf(client.transact([write])), kind)
  }))
}

// Guards against rows that are assigned to the wrong keys.
platform('a response with rows of other keys is rejected', () =>
  withServer(send(200, '{"rows":[{"key":"b","value":"1","version":1}]}'), {}, async client => {
    assert.is(await outcomeOf(client.read('a')), 'unknown')
  }))

// Guards against a read that fails because the platform had closed an idle connection, and against
// a write that is sent twice for the same reason.
platform('a read is retried when a pooled connection turns out to be closed, a write is not', () => {
  let requests = 0
  const respond = (response: ServerResponse): void => {
    requests += 1
    if (requests % 2 === 0) response.destroy()
    else send(200, '{"rows":[null],"outcome":"committed"}')(response)
  }
  return withServer(respond, {}, async client => {
    assert.is(await outcomeOf(client.read('a')), 'done')
    assert.is(await outcomeOf(client.read('a')), 'done')
    assert.is(requests, 3)
    assert.is(await outcomeOf(client.transact([write])), 'unknown')
    assert.is(requests, 4)
  })
})

platform('rows, objects and the VM list are read as they were written', () => withStandIn({}, async (client, standIn) => {
  const endpoint = { address: '127.0.0.1', port: 1 }
  const vm = { name: 'entry-1', place: 'riga-a', callers: endpoint, peers: endpoint }
  standIn.setVMs([{ vm, state: 'live' }])
  const run = <Value>(effect: Effect.Effect<Value, PlatformFailure>): Promise<Value> => Effect.runPromise(effect)
  assert.is(await run(client.transact([write])), 'committed')
  assert.is(await run(client.transact([write])), 'conflict')
  assert.is((await run(client.read('a')))?.value, '1')
  assert.equal((await run(client.readMany(['b', 'a']))).map(row => row?.value), [undefined, '1'])
  await run(client.transact([{ key: 'a', value: undefined, expect: 'any' }]))
  assert.is(await run(client.read('a')), undefined)
  await run(client.putObject('snapshot/a b', Buffer.from([0, 255])))
  assert.equal([...await run(client.getObject('snapshot/a b')) ?? []], [0, 255])
  assert.is(await run(client.getObject('snapshot/2')), undefined)
  assert.equal(await run(client.listVMs()), [{ vm, state: 'live' }])
}))

/** Makes concurrent calls and returns the number of successful ones. */
async function callAtOnce (client: Platform, calls: number): Promise<number> {
  const outcomes = await Promise.all(Array.from({ length: calls }, () => outcomeOf(client.read('a'))))
  return outcomes.filter(outcome => outcome === 'done').length
}

// Guards against a client that overloads the platform, or whose queue is unbounded.
platform('concurrent and queued calls are bounded', () => {
  let open = 0
  let maxOpen = 0
  const respond = (response: ServerResponse): void => {
    open += 1
    maxOpen = Math.max(maxOpen, open)
    setTimeout(() => {
      open -= 1
      send(200, '{"rows":[null]}')(response)
    }, 2)
  }
  return withServer(respond, { concurrency: 3, queueLength: 10, timeoutMs: 5000 }, async client => {
    assert.is(await callAtOnce(client, 20), 13)
    assert.is(maxOpen, 3)
    // Calls that the full queue rejected are not failures of the platform, so the breaker stays closed.
    assert.is(await callAtOnce(client, 13), 13)
  })
})

// Guards against an outage in which every call of a VM waits for a timeout.
platform('during an outage further calls fail immediately without reaching the platform', () => {
  let requests = 0
  const respond = (response: ServerResponse): void => {
    requests += 1
    send(503, '')(response)
  }
  return withServer(respond, { random: () => 0, clock: () => 0 }, async client => {
    for (let i = 0; i < 20; i++) assert.is(await outcomeOf(client.read('a')), 'unavailable')
    assert.is(requests, 5)
    assert.match((await Effect.runPromise(client.read('a').pipe(Effect.flip))).detail, 'circuit breaker of the platform is open; next probe in 100 ms')
  })
})

// Guards against a breaker that stays open after an outage, and against a thundering herd at its end.
platform('after an outage a single call reaches the platform before all others do', () => {
  let now = 0
  return withStandIn({ random: () => 0, clock: () => now, concurrency: 4 }, async (client, standIn) => {
    standIn.setFaults({ outage: 'refuse' })
    assert.is(await callAtOnce(client, 5), 0)
    standIn.setFaults({})
    now = 100
    assert.is(await callAtOnce(client, 20), 1)
    assert.is(await callAtOnce(client, 20), 20)
  })
})

// Guards against a semaphore permit that an abandoned call never releases.
platform('an interrupted call releases its permit', () => withStandIn({ concurrency: 1 }, async (client, standIn) => {
  standIn.setFaults({ outage: 'hang' })
  const fiber = Effect.runFork(client.read('a'))
  await pause(20)
  await Effect.runPromise(Fiber.interrupt(fiber))
  standIn.setFaults({})
  assert.is(await outcomeOf(client.read('a')), 'done')
}))

// Guards against conditions that are dropped from the request, or evaluated against stale rows.
platform('conditions are evaluated against the current rows while reads lag', async () => {
  await withStandIn({}, async (client, standIn) => {
    assert.is(await Effect.runPromise(client.transact([write])), 'committed')
    standIn.setFaults({ readLagMs: 60_000, loseAcknowledgementEvery: 1 })
    assert.is(await Effect.runPromise(client.read('a')), undefined)
    assert.is(await Effect.runPromise(client.transact([], [{ key: 'a', expect: 'absent' }])), 'conflict')
    assert.is(await Effect.runPromise(client.transact([], [{ key: 'b', expect: 'absent' }])), 'committed')
  })
})

platform.run()
