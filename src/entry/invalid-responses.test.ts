/** Responses of targets that no caller may get: the attempt failed, and other requests are not affected. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { openCaller, pause, startHttpTarget, startRawTarget, withTargets, type LoopbackServer } from './fakes.fixture.js'

const test = suite('invalid responses')

interface Case {
  readonly name: string
  /** Bytes that the faulty target sends in response to `/read/first` and `/write/first`. */
  readonly response: string
}

const withHead = (statusLine: string, fields = ''): string => `HTTP/1.1 ${statusLine}\r\n${fields}Content-Length: 3\r\n\r\nzzz`

/** Guards against a caller that gets one of these as its response, and against an unexpected error that closes its connection. */
const cases: readonly Case[] = [
  { name: 'status 000', response: withHead('000 Trouble') },
  { name: 'status 000 without a reason phrase', response: 'HTTP/1.1 000\r\nContent-Length: 0\r\n\r\n' },
  { name: 'status 000 with a chunked body', response: 'HTTP/1.1 000 Trouble\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nzzz\r\n0\r\n\r\n' },
  { name: 'status 000 without a length', response: 'HTTP/1.1 000 Trouble\r\n\r\nzzz' },
  { name: 'status 001', response: withHead('001 Trouble') },
  { name: 'status 099', response: withHead('099 Trouble') },
  { name: 'status 101 that no request asked for', response: withHead('101 Switching Protocols') },
  { name: 'status 101 with another protocol', response: 'HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n' },
  { name: 'a reason phrase that cannot be sent', response: withHead('200 O\u0001K') },
  { name: 'a header value that cannot be sent', response: withHead('200 OK', 'X-Bad: a\u0001b\r\n') }
]

const startFaulty = (response: string): Promise<LoopbackServer> => startRawTarget(socket => {
  socket.on('data', (chunk: Buffer) => {
    const isFirst = chunk.toString('latin1').includes('/first ')
    socket.write(isFirst ? Buffer.from(response, 'latin1') : 'HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nbehind')
  })
})
const startSound = (): Promise<LoopbackServer> => startHttpTarget((incoming, response) => { incoming.resume().on('end', () => response.end('sound')) })

const requestOf = (method: string, path: string): string => `${method} ${path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n`
const SETTLE_MS = 150

interface Expectation {
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly firstStatus: number
  /** What the caller gets for the first request. */
  readonly first: RegExp
}

const expectations: readonly Expectation[] = [
  { method: 'GET', path: '/read/first', firstStatus: 200, first: /^HTTP\/1\.1 200 OK\r\n.*?sound/s },
  { method: 'POST', path: '/write/first', firstStatus: 502, first: /^HTTP\/1\.1 502 .*?camphorbay-kind: target-failed\r\ncamphorbay-run: may-have-run\r\n/s }
]

for (const { name, response } of cases) {
  for (const { method, path, firstStatus, first } of expectations) {
    test(`${method}, ${name}`, () => withTargets([startFaulty(response), startSound()], async ({ port, observations }) => {
      const caller = openCaller(port)
      caller.write(requestOf(method, path) + requestOf('GET', '/read/behind'))
      await pause(SETTLE_MS)
      caller.write(requestOf('GET', '/read/behind'))
      await pause(SETTLE_MS)
      const received = caller.received()
      caller.socket.destroy()
      const statuses = [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => Number(status))
      assert.equal(statuses, [firstStatus, 200, 200], JSON.stringify(received))
      assert.match(received, first)
      assert.not.match(received, /connection: close/i)
      assert.not.match(received, /zzz/)
      assert.ok(observations.some(({ target, result }) => target === 't-0' && (result === 'failed' || result === 'reset')), 'the target is seen to fail')
    }, { retries: 1 }))
  }
}

test.run()
