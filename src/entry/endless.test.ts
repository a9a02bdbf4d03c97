/** Guards against targets that send bytes without end, which would hold a request, its slot or memory for good. */
import type { Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Class } from '../model/index.js'
import { eventually, openCaller, pause, startRawTarget, withTargets, type LoopbackServer, type TestOptions } from './fakes.fixture.js'

const test = suite('endless responses')

const DEADLINE_MS = 300
/** Time after the deadline within which the caller has its final answer, and the target its close. */
const SLACK_MS = 500
/** What ends a body without end: the deadline of the request, or the limit on its duration. */
const LIMITS: ReadonlyArray<readonly [name: string, options: Partial<TestOptions>]> = [
  ['the deadline', { overrides: { isDeadlineForBody: true } }],
  ['the deadline after 64 KB were buffered', { overrides: { isDeadlineForBody: true, responseBufferBytes: 64 * 1024 } }],
  ['the limit on the duration', { limits: { requestLimitMs: DEADLINE_MS } }]
]
/** Bytes of a head that may be read before it is refused; the kernel's buffers are included. */
const MAX_HEAD_BYTES = 8 * 1024 * 1024

const CLASSES: readonly Class[] = [
  { name: 'read', idempotent: true, deadlineMs: DEADLINE_MS, priority: 1 },
  { name: 'write', idempotent: false, deadlineMs: DEADLINE_MS, priority: 1 }
]
const REQUESTS = ['GET /read HTTP/1.1\r\nHost: x\r\n\r\n', 'POST /write HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n'] as const
const OK = 'HTTP/1.1 200 OK\r\n'
const CHUNKED = `${OK}Transfer-Encoding: chunked\r\n\r\n`

interface Response {
  readonly name: string
  readonly start: string
  /** Repeated until the connection closes. */
  readonly repeated: string
  /** What the caller receives. */
  readonly received: 'refusal' | 'cut' | 'whole'
}

const responses: readonly Response[] = [
  { name: 'bytes that are no response', start: '', repeated: 'x', received: 'refusal' },
  { name: 'line feeds', start: '', repeated: '\n', received: 'refusal' },
  { name: 'a status line', start: 'HTTP/1.1 200 ', repeated: 'OK', received: 'refusal' },
  { name: 'a field', start: `${OK}X: `, repeated: 'a', received: 'refusal' },
  { name: 'fields', start: OK, repeated: 'X: a\r\n', received: 'refusal' },
  { name: 'interim responses', start: '', repeated: 'HTTP/1.1 103 Early Hints\r\n\r\n', received: 'refusal' },
  { name: 'a body without length', start: `${OK}\r\n`, repeated: 'a', received: 'cut' },
  { name: 'chunks', start: CHUNKED, repeated: '1\r\na\r\n', received: 'cut' },
  { name: 'one chunk', start: `${CHUNKED}7fffffff\r\n`, repeated: 'a', received: 'cut' },
  { name: 'a chunk extension', start: `${CHUNKED}1;`, repeated: 'a', received: 'cut' },
  { name: 'trailers', start: `${CHUNKED}1\r\na\r\n0\r\n`, repeated: 'X: a\r\n', received: 'cut' },
  { name: 'a body of a great length', start: `${OK}Content-Length: 99999999999\r\n\r\n`, repeated: 'a', received: 'cut' },
  { name: 'bytes after the response', start: `${OK}Content-Length: 2\r\n\r\nok`, repeated: 'a', received: 'whole' }
]

interface Pace {
  readonly name: string
  readonly repetitions: number
  readonly pauseMs: number
}
const paces: readonly Pace[] = [
  { name: 'as fast as they are read', repetitions: 8192, pauseMs: 0 },
  { name: 'slowly', repetitions: 1, pauseMs: 20 }
]

/** Writes the start of the response and the repeated bytes until the connection closes. */
async function writeEndlessly (socket: Socket, { start, repeated }: Response, { repetitions, pauseMs }: Pace): Promise<void> {
  socket.write(start)
  const block = repeated.repeat(repetitions)
  while (!socket.destroyed) {
    const isAccepted = socket.write(block)
    if (isAccepted || socket.destroyed) await pause(pauseMs)
    else await new Promise<void>(resolve => { socket.once('drain', resolve).once('close', () => resolve()) })
  }
}

const startEndlessTarget = (response: Response, pace: Pace, sockets: Socket[]): Promise<LoopbackServer> => startRawTarget(socket => {
  sockets.push(socket)
  socket.once('data', () => { writeEndlessly(socket, response, pace).catch((error: unknown) => { console.error(error) }) })
})

const REFUSAL = /^(?:HTTP\/1\.1 1\d\d .*\r\n\r\n)*HTTP\/1\.1 50[24] /
const WHOLE = /\r\n\r\nok$/
/** The last chunk and its trailers, which would make a response look complete. */
const COMPLETE_CHUNKS = /\r\n0\r\n(?:[^\r\n]+\r\n)*\r\n$/

/** Sends a request, checks what the caller receives, and returns when its connection is closed or the response was received. */
async function checkCaller (port: number, request: string, { received }: Response): Promise<void> {
  const caller = openCaller(port)
  caller.write(request)
  const refused = caller.until(REFUSAL, DEADLINE_MS + SLACK_MS).then(() => 'refused', () => 'not refused')
  if (received === 'whole') await caller.until(WHOLE, DEADLINE_MS + SLACK_MS)
  // A body in which the fault is found before anything was relayed is refused.
  else if (received === 'refusal') assert.is(await refused, 'refused')
  else await Promise.race([caller.closed, refused.then(result => result === 'refused' ? undefined : caller.closed)])
  if (received === 'cut') assert.not.match(caller.received(), COMPLETE_CHUNKS)
  caller.socket.destroy()
}

for (const [limit, options] of LIMITS) {
  for (const pace of paces) {
    for (const response of responses) {
      test(`${response.name} without end, sent ${pace.name}, ended by ${limit}`, async () => {
        const sockets: Socket[] = []
        await withTargets([startEndlessTarget(response, pace, sockets)], async ({ port, entry }) => {
          await Promise.all(REQUESTS.map(request => checkCaller(port, request, response)))
          await eventually(() => sockets.every(({ destroyed }) => destroyed), 'the connections to the target are closed', SLACK_MS)
          assert.is(entry.state().targetConnections, 0)
          if (response.received === 'refusal') for (const { bytesWritten } of sockets) assert.ok(bytesWritten < MAX_HEAD_BYTES, `${bytesWritten} bytes`)
        }, { classes: CLASSES, ...options })
      })
    }
  }
}

test.run()
