/** Pipelined requests: what one target sends never reaches the response of another request. */
import type { Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { eventually, openCaller, pause, startRawTarget, withTargets } from './fakes.fixture.js'

const test = suite('pipelining')

const BUFFER_BYTES = 64 * 1024
const LARGE_BYTES = 96 * 1024
const PART_MS = 150

const requestOf = (path: string): string => `GET ${path} HTTP/1.1\r\nHost: x\r\n\r\n`
const largeHead = `HTTP/1.1 200 OK\r\nContent-Length: ${LARGE_BYTES}\r\n\r\n`

type Respond = (socket: Socket) => Promise<void>

/** Sends most of a large response at once, and its end later. */
const sendLargeSlowly: Respond = async socket => {
  socket.write(largeHead + 'L'.repeat(LARGE_BYTES - 1))
  await pause(PART_MS * 2)
  socket.write('L')
}
const sendSmallLate: Respond = async socket => {
  await pause(PART_MS * 2)
  socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsmall')
}
const sendInterim: Respond = async socket => {
  await pause(PART_MS)
  socket.write('HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsmall')
}
const breakLargeOff: Respond = async socket => {
  socket.write(largeHead + 'L'.repeat(LARGE_BYTES - 100))
  await pause(PART_MS)
  socket.destroy()
}

interface Case {
  readonly name: string
  /** Responses of the target by path of the request. */
  readonly responses: Readonly<Record<string, Respond>>
  readonly paths: readonly string[]
  /** What the caller must have received after the responses. */
  readonly isExpected: (received: string) => boolean
}

const cases: readonly Case[] = [
  {
    // Guards against an interim response in the middle of the response to an earlier request.
    name: 'an interim response of a later request does not get into the response of an earlier one',
    responses: { '/read/large': sendLargeSlowly, '/read/interim': sendInterim },
    paths: ['/read/large', '/read/interim'],
    isExpected: received => received.includes('L'.repeat(LARGE_BYTES)) && received.endsWith('small')
  },
  {
    // Guards against a truncated response that takes the earlier requests of its connection with it.
    name: 'a large response that breaks off does not end the connection before the earlier responses',
    responses: { '/read/late': sendSmallLate, '/read/broken': breakLargeOff },
    paths: ['/read/late', '/read/late', '/read/broken'],
    isExpected: received => received.match(/small/g)?.length === 2
  }
]

for (const { name, responses, paths, isExpected } of cases) {
  test(name, () => withTargets([startRawTarget(socket => {
    socket.on('data', (chunk: Buffer) => {
      const path = /^GET (\S+)/.exec(chunk.toString('latin1'))?.[1] ?? ''
      responses[path]?.(socket).catch(error => console.error(error))
    })
  })], async ({ port }) => {
    const caller = openCaller(port)
    caller.write(paths.map(requestOf).join(''))
    await pause(PART_MS * 4)
    caller.socket.destroy()
    const received = caller.received()
    assert.ok(isExpected(received), `${received.length} bytes, ${JSON.stringify(received.slice(-200))}`)
  }, { overrides: { responseBufferBytes: BUFFER_BYTES } }))
}

/** Slightly more than is buffered, so that the rest arrives but is not read. */
const TAIL_BYTES = BUFFER_BYTES + 8000

// Guards against connections to targets that are neither reused nor closed.
test('a caller that leaves while the end of a large response waits for its turn leaves no open connection', () => withTargets([startRawTarget(socket => {
  socket.on('data', (chunk: Buffer) => {
    if (chunk.toString('latin1').startsWith('GET /read/tail')) socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${TAIL_BYTES}\r\n\r\n${'T'.repeat(TAIL_BYTES)}`)
  })
})], async ({ port, entry }) => {
  const caller = openCaller(port)
  caller.write(requestOf('/read/never') + requestOf('/read/tail'))
  await eventually(() => entry.state().targetConnections === 2, 'both requests are at the target')
  await pause(PART_MS)
  caller.socket.destroy()
  await eventually(() => entry.state().targetConnections === 0, 'both connections are closed')
}, { overrides: { responseBufferBytes: BUFFER_BYTES } }))

test.run()
