import { createServer, request as httpRequest, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { toErrorResponse, refusal, type ErrorKind } from '../../src/errors/index.js'
import { createTargetStandIn, type TargetStandIn } from '../target/index.js'
import { findViolations, runLoad, type LoadPlan, type Report, type RequestKind, type GuaranteeViolations } from './index.js'

const callerSuite = suite('caller stand-in')

const read: RequestKind = { name: 'read', weight: 3, method: 'GET', path: '/listing', idempotent: true, key: false, bodyBytes: 0, responseBytes: 200, deadlineMs: 2000 }
const hold: RequestKind = { ...read, name: 'hold', weight: 1, method: 'POST', path: '/holds', idempotent: false, bodyBytes: 300 }

type Handler = (request: IncomingMessage, body: Buffer, response: ServerResponse, target: TargetStandIn) => void

interface ProxyStub {
  readonly port: number
  readonly seen: string[]
  readonly close: () => void
}

function forward (request: IncomingMessage, body: Buffer, response: ServerResponse | undefined, target: TargetStandIn, onResponse = (): void => {}): void {
  const { method, url: path, headers } = request
  const outgoing = httpRequest({ host: target.spec.address, port: target.port, method, path, headers, agent: false }, targetResponse => {
    onResponse()
    if (response === undefined) targetResponse.resume()
    else targetResponse.pipe(response.writeHead(targetResponse.statusCode ?? 0, targetResponse.headers))
  })
  outgoing.on('error', () => response?.destroy())
  outgoing.end(body)
}

function refuse (response: ServerResponse, kind: ErrorKind, extra: Readonly<Record<string, unknown>> = {}): void {
  const { status, headers, body } = toErrorResponse(refusal(kind, '', { extra, retryAfterMs: kind === 'overloaded' ? 10 : undefined }), 'r')
  response.writeHead(status, headers).end(body)
}

/** Creates a stub VM that returns its own address for every service and passes requests to the handler of the test. */
async function createProxyStub (target: TargetStandIn, handle: Handler, keepForMs = 60_000): Promise<ProxyStub> {
  const seen: string[] = []
  const server = createServer(async (request, response) => {
    seen.push(request.url ?? '')
    const { port } = server.address() as AddressInfo
    if (request.url?.startsWith('/.camphorbay/') === true) {
      response.end(JSON.stringify({ service: 's', addresses: [{ vm: 'v', address: '127.0.0.1', port, place: 'p' }], keepForMs }))
      return
    }
    const chunks: Buffer[] = []
    for await (const chunk of request) chunks.push(chunk as Buffer)
    handle(request, Buffer.concat(chunks), response, target)
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return {
    port: (server.address() as AddressInfo).port,
    seen,
    close: () => {
      server.close()
      server.closeAllConnections()
    }
  }
}

const withTarget = async (use: (target: TargetStandIn) => Promise<void>): Promise<void> => {
  const target = await createTargetStandIn({ id: 'a', address: '127.0.0.2', place: 'p', slots: 500, time: { distribution: 'fixed', meanMs: 1 }, seed: 1 })
  try {
    await use(target)
  } finally {
    await target.close()
  }
}

const plan = (port: number, changes: Partial<LoadPlan> = {}): LoadPlan => ({
  contacts: [{ address: '127.0.0.1', port }],
  service: 's',
  place: 'p',
  host: 'listing.example',
  kinds: [read, hold],
  ratePerSecond: 200,
  durationMs: 300,
  seed: 5,
  ...changes
})

interface Case {
  readonly name: string
  readonly handle: Handler
  readonly changes?: Partial<LoadPlan>
  readonly check: (report: Report, violations: GuaranteeViolations) => void
}

const onlyHolds = { kinds: [hold] }

const cases: readonly Case[] = [
  {
    name: 'a correct VM causes no violations',
    handle: forward,
    check: (report, violations) => {
      assert.ok(report.sent > 20)
      assert.is(report.answered, report.sent)
      assert.equal(violations, { doubleRuns: [], untruthfulRefusals: [], answeredWithoutRun: [] })
      assert.ok(report.latencyUs.p50 >= 1000)
    }
  },
  {
    name: 'a response to another request is detected',
    handle: (request, body, response, target) => {
      request.headers['x-request-token'] = 'another'
      forward(request, body, response, target)
    },
    check: report => { assert.is(report.wrong.filter(({ why }) => why.startsWith('token another')).length, report.sent) }
  },
  {
    name: 'an altered response body is detected',
    handle: (request, _, response) => {
      const token = String(request.headers['x-request-token'])
      response.writeHead(200, { 'x-request-token': token, 'x-request-checksum': 'e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855' }).end('x'.repeat(200))
    },
    changes: { kinds: [read] },
    check: report => { assert.ok(report.wrong.length === report.sent && report.wrong.every(({ why }) => why === 'the response body was altered')) }
  },
  {
    name: 'a truncated response counts as lost',
    handle: (_, __, response) => {
      response.writeHead(200, { 'content-length': 200 }).write('half', () => response.destroy())
    },
    changes: onlyHolds,
    check: report => {
      assert.equal(Object.keys(report.lost).filter(name => !name.endsWith('may-have-run')), [])
      assert.is(Object.values(report.lost).reduce((sum, count) => sum + count, 0), report.sent)
      // Guards against a caller that retries a non-idempotent request that may have run.
      assert.is(report.attempts, report.sent)
    }
  },
  {
    name: 'a refusal that falsely reports not-run is detected',
    handle: (request, body, response, target) => {
      forward(request, body, undefined, target, () => refuse(response, 'no-target'))
    },
    check: (report, violations) => { assert.is(violations.untruthfulRefusals.length, report.sent) }
  },
  {
    name: 'a truthful refusal is not a violation',
    handle: (_, __, response) => refuse(response, 'no-target'),
    check: (report, violations) => {
      assert.equal(report.refused, { 'no-target not-run': report.sent })
      assert.equal(violations.untruthfulRefusals, [])
    }
  },
  {
    name: 'a second run of a non-idempotent request is detected',
    handle: (request, body, response, target) => {
      forward(request, body, undefined, target, () => forward(request, body, response, target))
    },
    check: (report, violations) => {
      const holds = report.requests.filter(({ kind }) => kind === 'hold').length
      assert.ok(holds > 0)
      assert.is(violations.doubleRuns.length, holds)
    }
  },
  {
    name: 'a retryable refusal is retried up to the attempt limit',
    handle: (_, __, response) => refuse(response, 'overloaded'),
    check: report => {
      assert.is(report.attempts, 3 * report.sent)
      assert.equal(report.refused, { 'overloaded not-run': report.sent })
    }
  },
  {
    name: 'an error with an unknown run state is retried for idempotent requests only',
    handle: (_, __, response) => { response.writeHead(500).end() },
    check: report => {
      for (const { idempotent, attempts } of report.requests) assert.is(attempts, idempotent ? 3 : 1)
      assert.equal(report.failed, { 500: report.sent })
    }
  },
  {
    name: 'a response without a run is detected',
    handle: (request, _, response) => {
      const token = String(request.headers['x-request-token'])
      response.writeHead(200, { 'x-request-token': token, 'x-request-checksum': 'e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855' })
      response.end(Buffer.alloc(200, `${token};`))
    },
    changes: { kinds: [read] },
    check: (report, violations) => { assert.is(violations.answeredWithoutRun.length, report.sent) }
  }
]

for (const { name, handle, changes, check } of cases) {
  callerSuite(name, () => withTarget(async target => {
    const proxy = await createProxyStub(target, handle)
    const report = await runLoad(plan(proxy.port, changes)).finally(proxy.close)
    check(report, findViolations(report, [target.tally()]))
  }))
}

callerSuite('addresses are queried once while the cached response is valid', () => withTarget(async target => {
  // Guards against address queries that outnumber the requests and distort the load on the service.
  const longCached = await createProxyStub(target, forward)
  await runLoad(plan(longCached.port))
  assert.is(longCached.seen.filter(path => path.startsWith('/.camphorbay/addresses?service=s&place=p')).length, 1)
  longCached.close()
  const shortCached = await createProxyStub(target, forward, 50)
  await runLoad(plan(shortCached.port))
  assert.ok(shortCached.seen.filter(path => path.startsWith('/.camphorbay/')).length >= 3)
  shortCached.close()
}))

callerSuite('addresses in a not-served-here refusal are used', () => withTarget(async target => {
  const good = await createProxyStub(target, forward)
  const addresses = [{ vm: 'good', address: '127.0.0.1', port: good.port, place: 'p' }]
  const stale = await createProxyStub(target, (_, __, response) => {
    const { status, headers, body } = toErrorResponse(refusal('not-served-here', '', { extra: { addresses } }), 'r')
    response.writeHead(status, headers).end(body)
  })
  const report = await runLoad(plan(stale.port))
  assert.is(report.answered, report.sent)
  good.close()
  stale.close()
}))

callerSuite('an unreachable contact is skipped, and without a reachable one the request is lost without a run', () => withTarget(async target => {
  const proxy = await createProxyStub(target, forward)
  const closed = await createProxyStub(target, forward)
  closed.close()
  const contacts = [closed.port, proxy.port].map(port => ({ address: '127.0.0.1', port }))
  const report = await runLoad(plan(proxy.port, { contacts }))
  assert.is(report.answered, report.sent)
  proxy.close()
  const unreachable = await runLoad(plan(closed.port, { durationMs: 50 }))
  assert.equal(unreachable.lost, { 'no address not-run': unreachable.sent })
}))

callerSuite('the load is open-loop: a slow service does not reduce the rate, and latencies include the waiting time', () => withTarget(async target => {
  // Guards against coordinated omission: latencies that look short because the caller delays its next request.
  target.setFault({ kind: 'straggler', factor: 200 })
  const proxy = await createProxyStub(target, forward)
  const report = await runLoad(plan(proxy.port, { connections: 100 }))
  const expected = plan(proxy.port).ratePerSecond * 0.3
  assert.ok(Math.abs(report.sent - expected) < expected / 2, `${report.sent} sent`)
  assert.ok(report.latencyUs.p50 >= 199_000)
  proxy.close()
}))

callerSuite('the same seed produces the same requests', () => withTarget(async target => {
  const proxy = await createProxyStub(target, forward)
  const kindsOf = (report: Report): readonly string[] => report.requests.map(({ token, kind }) => `${token} ${kind}`).sort()
  const [first, second] = [await runLoad(plan(proxy.port)), await runLoad(plan(proxy.port))]
  assert.equal(kindsOf(first), kindsOf(second))
  proxy.close()
}))

callerSuite.run()
