import { Effect } from 'effect'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { refusal } from '../errors/index.js'
import { createLog } from '../log/index.js'
import { createOperatorAPI, createRecentRequests, type Endpoints, type RecentRequest } from './index.js'

const token = 'a'.repeat(32)
const lines: string[] = []
const respondWith = (...parts: string[]): Effect.Effect<unknown> => Effect.succeed(parts)
const endpoints: Endpoints = {
  state: () => respondWith('state'),
  configuration: () => respondWith('configuration'),
  listNotes: () => respondWith('notes'),
  showNote: id => respondWith('note', id),
  checkNote: text => respondWith('check', text),
  submitNote: () => Effect.fail(refusal('note-conflict', 'the target is there already')),
  explainService: () => Effect.die(new Error('a defect')),
  explainTarget: (service, target) => respondWith(service, target),
  explainRequest: id => respondWith(id),
  metrics: () => Effect.succeed('up 1\n')
}
const operatorAPI = createOperatorAPI({ token, endpoints, log: createLog({}, line => lines.push(line)) })
let base = ''

const listener = suite('operator API')
listener.before(async () => {
  const { address, port } = await operatorAPI.listen({ address: '127.0.0.1', port: 0 })
  base = `http://${address}:${port}`
})
listener.after(async () => { await operatorAPI.stop() })

interface Case {
  readonly name: string
  readonly method?: string
  readonly path: string
  readonly token?: string
  readonly body?: string
  readonly status: number
  readonly expected: unknown
}

const cases: readonly Case[] = [
  { name: 'responds with JSON', path: '/v1/state', status: 200, expected: ['state'] },
  { name: 'decodes names in the path', path: '/v1/explain/target/a%20b/t1', status: 200, expected: ['a b', 't1'] },
  { name: 'passes the body to the handler', method: 'POST', path: '/v1/notes/check', body: '{}', status: 200, expected: ['check', '{}'] },
  { name: 'refuses a wrong token', path: '/v1/state', token: 'b'.repeat(32), status: 401, expected: 'unauthorized' },
  { name: 'refuses a missing token', path: '/metrics', token: '', status: 401, expected: 'unauthorized' },
  { name: 'refuses an unknown path', path: '/v1/nothing', status: 404, expected: 'not-found' },
  { name: 'refuses a wrong method', method: 'DELETE', path: '/v1/notes', status: 405, expected: 'method-not-allowed' },
  { name: 'refuses a wrong encoding', path: '/v1/notes/%ff', status: 400, expected: 'bad-request' },
  { name: 'refuses an oversized note', method: 'POST', path: '/v1/notes/check', body: 'x'.repeat(5 * 2 ** 20), status: 413, expected: 'body-too-large' },
  { name: 'responds with the refusal of a handler', method: 'POST', path: '/v1/notes', body: '{}', status: 409, expected: 'note-conflict' },
  // Guards against an exception in a handler that ends the process or leaves the request without a response.
  { name: 'responds to an exception in a handler', path: '/v1/explain/service/x', status: 500, expected: 'internal' }
]

for (const { name, method = 'GET', path, token: requestToken = token, body, status, expected } of cases) {
  listener(name, async () => {
    const response = await fetch(base + path, {
      method, headers: { authorization: `Bearer ${requestToken}` }, ...(body === undefined ? {} : { body })
    })
    const value = await response.json() as { kind?: string }
    assert.is(response.status, status)
    assert.equal(status === 200 ? value : value.kind, expected)
  })
}

listener('metrics are sent as plain text', async () => {
  const response = await fetch(`${base}/metrics`, { headers: { authorization: `Bearer ${token}` } })
  assert.is(await response.text(), 'up 1\n')
  assert.match(response.headers.get('content-type') ?? '', /^text\/plain/)
})

// Guards against leaking tokens to the log.
listener('the log does not contain tokens', () => {
  assert.ok(lines.length > 0)
  assert.not.ok(lines.some(line => line.includes('bbbb')))
})
listener.run()

const recent = suite('recent requests')
recent('the oldest requests are evicted', () => {
  const requests = createRecentRequests(2)
  const entry = (requestId: string): RecentRequest => ({
    requestId,
    at: 0,
    service: 's',
    class: 'c',
    caller: 'x',
    ending: 'refused',
    kind: 'overloaded',
    detail: 'the queue is full',
    status: 503,
    run: 'not-run',
    durationMs: 1,
    attempts: 0
  })
  for (const id of ['a', 'b', 'c']) requests.add(entry(id))
  assert.is(requests.find('a'), undefined)
  assert.is(requests.find('c')?.requestId, 'c')
})
recent.run()
