import { createServer, request as httpRequest, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { toErrorResponse, refusal, type ErrorKind } from '../../src/errors/index.js'
import { createTargetStandIn, type TargetStandIn } from '../target/index.js'
import { judgeReport, runLoad, type Plan, type Report, type RequestKind, type Verdict } from './index.js'

const callerSuite = suite('caller stand-in')

const read: RequestKind = { name: 'read', weight: 3, method: 'GET', path: '/listing', idempotent: true, key: false, bodyBytes: 0, answerBytes: 200, deadlineMs: 2000 }
const hold: RequestKind = { ...read, name: 'hold', weight: 1, method: 'POST', path: '/holds', idempotent: false, bodyBytes: 300 }

type Handler = (request: IncomingMessage, body: Buffer, response: ServerResponse, target: TargetStandIn) => void

interface ProxyStandIn {
  readonly port: number
  readonly seen: string[]
  readonly close: () => void
}

function forward (request: IncomingMessage, body: Buffer, response: ServerResponse | undefined, target: TargetStandIn, onAnswer = (): void => {}): void {
  const { method, url: path, headers } = request
  const outgoing = httpRequest({ host: target.spec.address, port: target.port, method, path, headers, agent: false }, answer => {
    onAnswer()
    if (response === undefined) answer.resume()
    else answer.pipe(response.writeHead(answer.statusCode ?? 0, answer.headers))
  })
  outgoing.on('error', () => response?.destroy())
  outgoing.end(body)
}

function refuse (response: ServerResponse, kind: ErrorKind, extra: Readonly<Record<string, unknown>> = {}): void {
  const { status, headers, body } = toErrorResponse(refusal(kind, '', { extra, retryAfterMs: kind === 'overloaded' ? 10 : undefined }), 'r')
  response.writeHead(status, headers).end(body)
}

/** A VM that names itself for every service and handles requests as the test says. */
async function createProxy (target: TargetStandIn, handle: Handler, keepForMs = 60_000): Promise<ProxyStandIn> {
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

const plan = (port: number, changes: Partial<Plan> = {}): Plan => ({
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
  readonly changes?: Partial<Plan>
  readonly check: (report: Report, verdict: Verdict) => void
}

const onlyHolds = { kinds: [hold] }

const cases: readonly Case[] = [
  {
    name: 'an honest VM gives answers only',
    handle: forward,
    check: (report, verdict) => {
      assert.ok(report.sent > 20)
      assert.is(report.answered, report.sent)
      assert.equal(verdict, { doubleRuns: [], untruthfulRefusals: [], answeredWithoutRun: [] })
      assert.ok(report.latencyUs.p50 >= 1000)
    }
  },
  {
    name: 'an answer to another request is noticed',
    handle: (request, body, response, target) => {
      request.headers['x-request-token'] = 'another'
      forward(request, body, response, target)
    },
    check: report => { assert.is(report.wrong.filter(({ why }) => why.startsWith('token another')).length, report.sent) }
  },
  {
    name: 'a changed body is noticed',
    handle: (request, _, response) => {
      const token = String(request.headers['x-request-token'])
      response.writeHead(200, { 'x-request-token': token, 'x-request-checksum': 'e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855' }).end('x'.repeat(200))
    },
    changes: { kinds: [read] },
    check: report => { assert.ok(report.wrong.length === report.sent && report.wrong.every(({ why }) => why === 'the body was changed')) }
  },
  {
    name: 'an answer that ends early is lost',
    handle: (_, __, response) => {
      response.writeHead(200, { 'content-length': 200 }).write('half', () => response.destroy())
    },
    changes: onlyHolds,
    check: report => {
      assert.equal(Object.keys(report.lost).filter(name => !name.endsWith('may-have-run')), [])
      assert.is(Object.values(report.lost).reduce((sum, count) => sum + count, 0), report.sent)
      // Guards against a caller that repeats what may have run.
      assert.is(report.attempts, report.sent)
    }
  },
  {
    name: 'a refusal that is not true is noticed',
    handle: (request, body, response, target) => {
      forward(request, body, undefined, target, () => refuse(response, 'no-target'))
    },
    check: (report, verdict) => { assert.is(verdict.untruthfulRefusals.length, report.sent) }
  },
  {
    name: 'a true refusal is not reported',
    handle: (_, __, response) => refuse(response, 'no-target'),
    check: (report, verdict) => {
      assert.equal(report.refused, { 'no-target not-run': report.sent })
      assert.equal(verdict.untruthfulRefusals, [])
    }
  },
  {
    name: 'a second run of a request that is not idempotent is noticed',
    handle: (request, body, response, target) => {
      forward(request, body, undefined, target, () => forward(request, body, response, target))
    },
    check: (report, verdict) => {
      const holds = report.requests.filter(({ kind }) => kind === 'hold').length
      assert.ok(holds > 0)
      assert.is(verdict.doubleRuns.length, holds)
    }
  },
  {
    name: 'a refusal that may be repeated is repeated up to the limit',
    handle: (_, __, response) => refuse(response, 'overloaded'),
    check: report => {
      assert.is(report.attempts, 3 * report.sent)
      assert.equal(report.refused, { 'overloaded not-run': report.sent })
    }
  },
  {
    name: 'an uncertain error is repeated for idempotent requests only',
    handle: (_, __, response) => { response.writeHead(500).end() },
    check: report => {
      for (const { idempotent, attempts } of report.requests) assert.is(attempts, idempotent ? 3 : 1)
      assert.equal(report.failed, { 500: report.sent })
    }
  },
  {
    name: 'an answer without a run is noticed',
    handle: (request, _, response) => {
      const token = String(request.headers['x-request-token'])
      response.writeHead(200, { 'x-request-token': token, 'x-request-checksum': 'e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855' })
      response.end(Buffer.alloc(200, `${token};`))
    },
    changes: { kinds: [read] },
    check: (report, verdict) => { assert.is(verdict.answeredWithoutRun.length, report.sent) }
  }
]

for (const { name, handle, changes, check } of cases) {
  callerSuite(name, () => withTarget(async target => {
    const proxy = await createProxy(target, handle)
    const report = await runLoad(plan(proxy.port, changes)).finally(proxy.close)
    check(report, judgeReport(report, [target.tally()]))
  }))
}

callerSuite('addresses are asked for once while the answer is kept', () => withTarget(async target => {
  // Guards against a load on the address answers that hides the load on the service.
  const kept = await createProxy(target, forward)
  await runLoad(plan(kept.port))
  assert.is(kept.seen.filter(path => path.startsWith('/.camphorbay/addresses?service=s&place=p')).length, 1)
  kept.close()
  const short = await createProxy(target, forward, 50)
  await runLoad(plan(short.port))
  assert.ok(short.seen.filter(path => path.startsWith('/.camphorbay/')).length >= 3)
  short.close()
}))

callerSuite('the addresses of a VM that does not serve the service are used', () => withTarget(async target => {
  const good = await createProxy(target, forward)
  const addresses = [{ vm: 'good', address: '127.0.0.1', port: good.port, place: 'p' }]
  const stale = await createProxy(target, (_, __, response) => {
    const { status, headers, body } = toErrorResponse(refusal('not-served-here', '', { extra: { addresses } }), 'r')
    response.writeHead(status, headers).end(body)
  })
  const report = await runLoad(plan(stale.port))
  assert.is(report.answered, report.sent)
  good.close()
  stale.close()
}))

callerSuite('a contact that does not answer is skipped, and no contact at all is not run', () => withTarget(async target => {
  const proxy = await createProxy(target, forward)
  const closed = await createProxy(target, forward)
  closed.close()
  const contacts = [closed.port, proxy.port].map(port => ({ address: '127.0.0.1', port }))
  const report = await runLoad(plan(proxy.port, { contacts }))
  assert.is(report.answered, report.sent)
  proxy.close()
  const none = await runLoad(plan(closed.port, { durationMs: 50 }))
  assert.equal(none.lost, { 'no address not-run': none.sent })
}))

callerSuite('the load is open: a slow service does not slow it down, and waiting counts', () => withTarget(async target => {
  // Guards against latencies that look short because the caller waits with its next request.
  target.setFault({ kind: 'straggler', factor: 200 })
  const proxy = await createProxy(target, forward)
  const report = await runLoad(plan(proxy.port, { connections: 100 }))
  const expected = plan(proxy.port).ratePerSecond * 0.3
  assert.ok(Math.abs(report.sent - expected) < expected / 2, `${report.sent} sent`)
  assert.ok(report.latencyUs.p50 >= 199_000)
  proxy.close()
}))

callerSuite('the same seed gives the same requests', () => withTarget(async target => {
  const proxy = await createProxy(target, forward)
  const kindsOf = (report: Report): readonly string[] => report.requests.map(({ token, kind }) => `${token} ${kind}`).sort()
  const [first, second] = [await runLoad(plan(proxy.port)), await runLoad(plan(proxy.port))]
  assert.equal(kindsOf(first), kindsOf(second))
  proxy.close()
}))

callerSuite.run()
