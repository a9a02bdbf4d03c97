/** Concurrent requests: each caller receives the response to its own request, or a visibly truncated one. */
import type { RequestListener } from 'node:http'
import { createHash } from 'node:crypto'
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { eventually, openCaller, pause, withEntry, type TestEntry } from './fakes.fixture.js'

const SEED = 20_240_611
const RUNS = 25
const DEADLINE_MS = 60

/** Behaviour of a target for one request. */
interface Script {
  readonly delayMs: number
  readonly parts: number
  readonly partBytes: number
  readonly isChunked: boolean
  readonly end: 'whole' | 'early' | 'reset'
}

/** Behaviour of a caller for one request. */
interface Call {
  readonly script: Script
  readonly method: 'GET' | 'POST'
  /** Disconnects after this time, in ms. */
  readonly disconnectAfterMs: number | undefined
}

const script: fc.Arbitrary<Script> = fc.record({
  // Some responses arrive after the deadline, when their connection was already discarded.
  delayMs: fc.constantFrom(0, 0, 1, 5, 20, DEADLINE_MS * 2),
  parts: fc.integer({ min: 1, max: 4 }),
  partBytes: fc.constantFrom(1, 100, 5000, 40_000),
  isChunked: fc.boolean(),
  end: fc.constantFrom('whole', 'whole', 'whole', 'whole', 'early', 'reset')
})

const arbitraryCall: fc.Arbitrary<Call> = fc.record({
  script,
  method: fc.constantFrom('GET', 'POST'),
  disconnectAfterMs: fc.option(fc.constantFrom(0, 2, 10, 40), { nil: undefined, freq: 6 })
})

/** Creates a body that is unique to one request. */
function bodyFor (token: string, bytes: number): string {
  const unit = createHash('sha256').update(token).digest('hex')
  return unit.repeat(Math.ceil(bytes / unit.length)).slice(0, bytes)
}

const target: RequestListener = (incoming, response) => {
  const url = new URL(incoming.url ?? '', 'http://x')
  const token = url.searchParams.get('token') ?? ''
  const { delayMs, parts, partBytes, isChunked, end } = JSON.parse(url.searchParams.get('script') ?? '') as Script
  const body = bodyFor(token, parts * partBytes)
  const respond = async (): Promise<void> => {
    await pause(delayMs)
    response.setHeader('X-Token', token)
    if (!isChunked) response.setHeader('Content-Length', String(body.length))
    const sent = end === 'whole' ? parts : parts - 1
    for (let part = 0; part < sent; part++) {
      response.write(body.slice(part * partBytes, (part + 1) * partBytes))
      await pause(0)
    }
    if (end === 'whole') response.end()
    else if (end === 'early') incoming.socket.end()
    else incoming.socket.resetAndDestroy()
  }
  incoming.resume().on('end', () => { respond().catch((error: unknown) => { console.error(error) }) })
}

/** Parses the first response of the received bytes; undefined when it is not complete. */
function parseResponse (bytes: string): { readonly rest: string, readonly head: string, readonly body: string } | undefined {
  const headEnd = bytes.indexOf('\r\n\r\n')
  if (headEnd < 0) return undefined
  const head = bytes.slice(0, headEnd)
  let rest = bytes.slice(headEnd + 4)
  const length = /content-length: (\d+)/i.exec(head)?.[1]
  if (length !== undefined) {
    if (rest.length < Number(length)) return undefined
    return { head, body: rest.slice(0, Number(length)), rest: rest.slice(Number(length)) }
  }
  let body = ''
  for (;;) {
    const line = /^([0-9a-f]+)\r\n/i.exec(rest)
    const size = Number.parseInt(line?.[1] ?? '', 16)
    if (line === null || rest.length < line[0].length + size + 2) return undefined
    body += rest.slice(line[0].length, line[0].length + size)
    rest = rest.slice(line[0].length + size + 2)
    if (size === 0) return { head, body, rest }
  }
}

/** Makes the calls of one caller in sequence, and returns a description of each wrong response. */
async function runCaller (test: TestEntry, name: string, calls: readonly Call[]): Promise<readonly string[]> {
  const mismatches: string[] = []
  let caller = openCaller(test.port)
  let consumed = 0
  for (const [index, { script, method, disconnectAfterMs }] of calls.entries()) {
    const token = `${name}-${index}`
    const url = `/read?${new URLSearchParams({ token, script: JSON.stringify(script) }).toString()}`
    const body = method === 'POST' ? 'Content-Length: 3\r\n\r\nabc' : '\r\n'
    caller.write(`${method} ${url} HTTP/1.1\r\nHost: x\r\n${body}`)
    if (disconnectAfterMs !== undefined) {
      await pause(disconnectAfterMs)
      caller.socket.destroy()
    }
    const nextResponse = (): ReturnType<typeof parseResponse> => parseResponse(caller.received().slice(consumed))
    await eventually(() => nextResponse() !== undefined || caller.socket.destroyed, `the response to ${token}`)
    const response = nextResponse()
    const received = caller.received().slice(consumed)
    const receivedToken = /x-token: (\S+)/i.exec(received)?.[1]
    if (receivedToken !== undefined && receivedToken !== token) mismatches.push(`${token} got the response to ${receivedToken}`)
    if (response !== undefined && response.head.startsWith('HTTP/1.1 200')) {
      const expectedBody = bodyFor(token, script.parts * script.partBytes)
      if (response.body !== expectedBody) mismatches.push(`${token} got ${response.body.length} of ${expectedBody.length} bytes, or different bytes`)
      if (script.end !== 'whole') mismatches.push(`${token} got a complete response that its target did not send`)
    }
    consumed = caller.received().length - (response?.rest.length ?? 0)
    if (!caller.socket.destroyed && !/connection: close/i.test(response?.head ?? '')) continue
    caller.socket.destroy()
    caller = openCaller(test.port)
    consumed = 0
  }
  caller.socket.destroy()
  return mismatches
}

const interleaving = suite('interleaving')
const classes = [{ name: 'read', idempotent: true, deadlineMs: DEADLINE_MS, priority: 1 }] as const

interleaving(`no caller receives the response to another request (seed ${SEED})`, () => withEntry(target, async test => {
  const callers = fc.array(fc.array(arbitraryCall, { minLength: 1, maxLength: 6 }), { minLength: 2, maxLength: 12 })
  let round = 0
  await fc.assert(fc.asyncProperty(callers, async all => {
    round++
    const mismatches = await Promise.all(all.map((calls, index) => runCaller(test, `${round}-${index}`, calls)))
    assert.equal(mismatches.flat(), [])
  }), { seed: SEED, numRuns: RUNS, endOnFailure: true })
  const endings = new Set(test.finished.map(({ ending }) => ending))
  assert.equal([...endings].sort(), ['answered', 'cancelled', 'refused', 'truncated'], 'every ending occurred')
}, { classes, retries: 20 }))

interleaving.run()
