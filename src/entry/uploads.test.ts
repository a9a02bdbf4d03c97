/** Guards against uploads that hold a slot while they arrive, are refused although they did not run, or use unbounded memory. */
import type { RequestListener } from 'node:http'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createBodyMemory } from './body-memory.js'
import { eventually, openCaller, pause, sendAndRead, startHttpTarget, withTargets, type TestOptions } from './fakes.fixture.js'

const test = suite('uploads')

const UPLOAD_BYTES = 200_000
const UPLOAD = 'a'.repeat(UPLOAD_BYTES)
const MEMORY = { perRequest: 256 * 1024, total: 1024 * 1024 }
/** Memory beyond the prefixes for one upload. */
const MEMORY_FOR_ONE = { perRequest: 256 * 1024, total: 150_000 }

const head = (bytes: number): string => `POST /write HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: ${bytes}\r\n\r\n`

const countBytes: RequestListener = (incoming, response) => {
  let bytes = 0
  incoming.on('data', (part: Buffer) => { bytes += part.byteLength }).on('end', () => response.end(`got ${bytes}`))
}
const shed: RequestListener = (incoming, response) => {
  incoming.resume().on('end', () => response.writeHead(503, { 'Camphorbay-Run': 'not-run' }).end('busy'))
}
const shedEarly: RequestListener = (_, response) => { response.writeHead(503, { 'Camphorbay-Run': 'not-run' }).end('busy') }
const reset: RequestListener = incoming => { incoming.resume().on('end', () => incoming.socket.resetAndDestroy()) }
const withMemory = (bodyMemory: typeof MEMORY): Partial<TestOptions> => ({ retries: 2, overrides: { bodyMemory } })

interface Case {
  readonly name: string
  readonly first: RequestListener
  readonly memory: typeof MEMORY
  readonly received: RegExp
}

const cases: readonly Case[] = [
  { name: 'that a target shed is sent to another target', first: shed, memory: MEMORY, received: /^HTTP\/1\.1 200 .*got 200000/s },
  { name: 'that a target shed before it had read it is sent to another target', first: shedEarly, memory: MEMORY, received: /^HTTP\/1\.1 200 .*got 200000/s },
  { name: 'that a target may have run is not sent again', first: reset, memory: MEMORY, received: /^HTTP\/1\.1 502 .*camphorbay-run: may-have-run/is },
  { name: 'without memory for it is streamed, and refused as not run when a target sheds it', first: shed, memory: { perRequest: 0, total: 0 }, received: /^HTTP\/1\.1 503 .*camphorbay-run: not-run/is },
  { name: 'above the limit of a request is streamed to its target', first: countBytes, memory: { perRequest: 100_000, total: 1 << 20 }, received: /^HTTP\/1\.1 200 .*got 200000/s }
]

for (const { name, first, memory, received } of cases) {
  test(`an upload ${name}`, () => withTargets([startHttpTarget(first), startHttpTarget(countBytes)], async ({ port }) => {
    assert.match(await sendAndRead(port, head(UPLOAD_BYTES) + UPLOAD), received)
  }, withMemory(memory)))
}

test('an upload takes no slot of a target while its caller is still sending', () => withTargets([startHttpTarget(countBytes)], async entry => {
  const caller = openCaller(entry.port)
  caller.write(head(UPLOAD_BYTES) + UPLOAD.slice(0, UPLOAD_BYTES / 2))
  await pause(200)
  assert.is(entry.slotsInUse(), 0)
  caller.write(UPLOAD.slice(UPLOAD_BYTES / 2))
  await caller.until(/got 200000/, 2000)
}, withMemory(MEMORY)))

test('an upload whose caller leaves in the middle reaches no target', () => {
  let arrivals = 0
  return withTargets([startHttpTarget((incoming, response) => {
    arrivals++
    countBytes(incoming, response)
  })], async entry => {
    const caller = openCaller(entry.port)
    caller.write(head(UPLOAD_BYTES) + UPLOAD.slice(0, UPLOAD_BYTES / 2))
    await pause(100)
    caller.socket.destroy()
    await eventually(() => entry.finished.length === 1, 'the exchange ends')
    assert.is(arrivals, 0)
  }, withMemory(MEMORY))
})

test('uploads beyond the memory of all requests are streamed, and the memory is free again afterwards', () => withTargets([startHttpTarget(countBytes)], async entry => {
  for (let round = 0; round < 3; round++) {
    const responses = await Promise.all(Array.from({ length: 4 }, () => sendAndRead(entry.port, head(UPLOAD_BYTES) + UPLOAD)))
    for (const response of responses) assert.match(response, /got 200000/)
  }
  const caller = openCaller(entry.port)
  caller.write(head(UPLOAD_BYTES) + UPLOAD.slice(0, UPLOAD_BYTES / 2))
  await pause(200)
  assert.is(entry.slotsInUse(), 0)
  caller.socket.destroy()
}, withMemory(MEMORY_FOR_ONE)))

test('memory is reserved up to the total', () => {
  const memory = createBodyMemory({ perRequest: 100, total: 150 })
  assert.equal([memory.reserve(100), memory.reserve(51), memory.reserve(50)], [true, false, true])
  memory.release(100)
  assert.is(memory.reserve(100), true)
})

test.run()
