/** Responses that close the connection of a caller while requests behind them are pending. */
import type { RequestListener } from 'node:http'
import { Effect } from 'effect'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Admission, Class } from '../model/index.js'
import { openCaller, pause, withEntry, type RawCaller, type TestEntry } from './fakes.fixture.js'

const test = suite('closing responses')

const STOP_LIMIT_MS = 2300
/** Time after which the queued requests get a slot. A stop then forwards only requests whose deadline is before its end. */
const QUEUED_MS = 500
/** Time for the requests behind to be answered by their targets. */
const SETTLE_MS = 200

const classOf = (name: string): Class => ({ name, idempotent: true, deadlineMs: 5000, priority: 1 })

/** Requests below `/queued` wait for a slot; those below `/broken` end with an unexpected error. */
const withFaults = (inner: Admission): Admission => ({
  acquire: (request, now) => {
    if (request.class === 'broken') return Effect.die(new Error('broken by the test'))
    const delayMs = request.class === 'queued' ? QUEUED_MS : 0
    return Effect.sleep(delayMs).pipe(Effect.andThen(inner.acquire(request, now)))
  }
})

const get = (path: string, fields = 'Host: x\r\n', version = '1.1'): string => `GET ${path} HTTP/${version}\r\n${fields}\r\n`

interface Case {
  readonly name: string
  /** The request ahead of the others. */
  readonly first: string
  readonly stops?: boolean
  /** Status of the response to the request ahead. */
  readonly status: number
  /** Whether the two requests behind are forwarded; otherwise, they have to be sent again on another connection. */
  readonly isForwardedBehind: boolean
}

const cases: readonly Case[] = [
  // Guards against a stop whose refusal of a queued request discards the responses to requests that targets ran.
  { name: 'a queued request that a stop refuses', first: get('/queued/0'), stops: true, status: 503, isForwardedBehind: true },
  { name: 'an unexpected error', first: get('/broken/0'), status: 500, isForwardedBehind: true },
  // Guards against a stop that discards responses because the one ahead of them is not ready at its end.
  { name: 'a request whose target is at work when the stop ends', first: get('/read/never'), stops: true, status: 504, isForwardedBehind: true },
  // Guards against a target that runs requests behind one whose head is refused.
  { name: 'a request without Host', first: get('/read/0', ''), status: 400, isForwardedBehind: false },
  { name: 'an unsupported expectation', first: get('/read/0', 'Host: x\r\nExpect: luck\r\n'), status: 400, isForwardedBehind: false },
  { name: 'an upgrade', first: get('/read/0', 'Host: x\r\nUpgrade: other\r\n'), status: 400, isForwardedBehind: false },
  { name: 'two idempotency keys', first: get('/read/0', 'Host: x\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\n'), status: 400, isForwardedBehind: false },
  { name: 'an invalid deadline', first: get('/read/0', 'Host: x\r\nCamphorbay-Deadline-Ms: soon\r\n'), status: 400, isForwardedBehind: false },
  { name: 'a header that resembles Transfer-Encoding', first: get('/read/0', 'Host: x\r\nTransfer_Encoding: chunked\r\n'), status: 400, isForwardedBehind: false },
  // Guards against a response without length, which ends an HTTP/1.0 connection.
  { name: 'a response of unknown length to HTTP/1.0', first: get('/read/chunked', 'Host: x\r\nConnection: keep-alive\r\n', '1.0'), status: 200, isForwardedBehind: false },
  { name: 'a response of known length to HTTP/1.0', first: get('/read/0', 'Host: x\r\nConnection: keep-alive\r\n', '1.0'), status: 200, isForwardedBehind: false }
]

const respond: RequestListener = (incoming, response) => {
  if (incoming.url === '/read/never') return
  const body = `<${incoming.url}>`
  incoming.resume().on('end', () => {
    if (incoming.url !== '/read/chunked') response.setHeader('Content-Length', body.length)
    else response.flushHeaders()
    response.end(body)
  })
}

/** Statuses of the responses, in order. */
const statusesOf = (caller: RawCaller): readonly number[] => [...caller.received().matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => Number(status))

const classes = ['read', 'queued', 'broken'].map(classOf)

async function play ({ first, stops = false, status, isForwardedBehind }: Case, { port, entry }: TestEntry, forwarded: readonly string[]): Promise<void> {
  const caller = openCaller(port)
  caller.write(first + get('/read/1') + get('/read/2'))
  await pause(SETTLE_MS)
  const stopped = stops ? Effect.runPromise(entry.stop(performance.now())) : undefined
  await (stopped ?? pause(SETTLE_MS))
  caller.socket.end()
  await caller.closed

  const behind = ['/read/1', '/read/2']
  assert.equal(behind.filter(path => forwarded.includes(path)), isForwardedBehind ? behind : [], 'forwarded')
  assert.equal(statusesOf(caller), [status, ...(isForwardedBehind ? [200, 200] : [])])
  if (isForwardedBehind) assert.match(caller.received(), /<\/read\/1>.*<\/read\/2>$/s)
}

for (const each of cases) {
  test(`each request that was forwarded behind it gets its response: ${each.name}`, () => {
    const forwarded: string[] = []
    return withEntry((incoming, response) => {
      forwarded.push(incoming.url ?? '')
      respond(incoming, response)
    }, running => play(each, running, forwarded), {
      classes, wrapAdmission: withFaults, limits: { stopLimitMs: STOP_LIMIT_MS }
    })
  })
}

test.run()
