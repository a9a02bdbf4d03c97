/** Tests that bodies of hundreds of megabytes are streamed in bounded memory. */
import type { RequestListener } from 'node:http'
import { connect } from 'node:net'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { ADDRESS, eventually, pause, withEntry } from './fakes.fixture.js'

const MIB = 1024 * 1024
const BODY_BYTES = 300 * MIB
const PART = Buffer.alloc(64 * 1024, 'a')
/** A body that is buffered anywhere would exceed this several times. */
const GROWTH_LIMIT_BYTES = 64 * MIB
/** Long, because each sample runs a full garbage collection; few samples suffice, as a buffered body grows from one to the next. */
const SAMPLE_MS = 250

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

/** Returns the size of the reachable memory. The resident set size depends on when garbage is collected, and so on the load of the machine. */
function reachableBytes (): number {
  collectGarbage()
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}

/** Measures the peak growth of the reachable memory during `run`, in bytes. */
async function measureGrowth (run: () => Promise<void>): Promise<number> {
  const before = reachableBytes()
  let peak = before
  const samples = setInterval(() => { peak = Math.max(peak, reachableBytes()) }, SAMPLE_MS)
  await run()
  clearInterval(samples)
  return peak - before
}

/** Sends a request with a body of `bytes` bytes, and counts the received bytes until the connection closes. */
async function sendAndCount (port: number, head: string, bytes: number, isSlowReader = false): Promise<number> {
  const socket = connect({ port, host: ADDRESS })
  let received = 0
  let isClosed = false
  socket.on('close', () => { isClosed = true })
  socket.on('data', (part: Buffer) => {
    received += part.byteLength
    if (!isSlowReader) return
    socket.pause()
    setImmediate(() => socket.resume())
  })
  socket.write(head)
  for (let sent = 0; sent < bytes; sent += PART.byteLength) {
    if (!socket.write(PART)) await new Promise(resolve => { socket.once('drain', resolve) })
  }
  await eventually(() => isClosed, 'the response ends', 60_000)
  return received
}

/** Starts reading after a delay, so that backpressure builds up, and responds with the number of bytes. */
const countBytes: RequestListener = (incoming, response) => {
  let bytes = 0
  const count = async (): Promise<void> => {
    await pause(300)
    incoming.on('data', (part: Buffer) => { bytes += part.byteLength })
    incoming.on('end', () => response.end(`${bytes}`))
  }
  count().catch((error: unknown) => { console.error(error) })
}

const sendLargeBody: RequestListener = (_, response) => {
  response.setHeader('Content-Length', String(BODY_BYTES))
  const send = async (): Promise<void> => {
    for (let sent = 0; sent < BODY_BYTES; sent += PART.byteLength) {
      if (!response.write(PART)) await new Promise(resolve => { response.once('drain', resolve) })
    }
    response.end()
  }
  send().catch((error: unknown) => { console.error(error) })
}

const classes = [
  { name: 'read', idempotent: true, deadlineMs: 60_000, priority: 1 },
  { name: 'write', idempotent: false, deadlineMs: 60_000, priority: 1 }
] as const

const largeBody = suite('large body')

largeBody('a large response is streamed to a slow reader in bounded memory', () => withEntry(sendLargeBody, async test => {
  let received = 0
  const growth = await measureGrowth(async () => {
    received = await sendAndCount(test.port, 'GET /read HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n', 0, true)
  })
  assert.ok(received > BODY_BYTES, `${received} bytes`)
  assert.ok(growth < GROWTH_LIMIT_BYTES, `grew by ${Math.round(growth / MIB)} MiB`)
  console.log(`response: grew by ${Math.round(growth / MIB)} MiB`)
}, { classes }))

largeBody('a large request body is streamed to a slow target in bounded memory', () => withEntry(countBytes, async test => {
  const growth = await measureGrowth(async () => {
    const head = `POST /write HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: ${BODY_BYTES}\r\n\r\n`
    await sendAndCount(test.port, head, BODY_BYTES)
  })
  assert.equal(test.finished.map(({ ending, status }) => [ending, status]), [['answered', 200]])
  assert.ok(growth < GROWTH_LIMIT_BYTES, `grew by ${Math.round(growth / MIB)} MiB`)
  console.log(`body: grew by ${Math.round(growth / MIB)} MiB`)
}, { classes }))

largeBody.run()
