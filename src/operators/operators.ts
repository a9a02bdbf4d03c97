import { timingSafeEqual, createHash } from 'node:crypto'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { Effect, Result } from 'effect'
import { toErrorResponse, refusal, type Refusal } from '../errors/index.js'
import type { Log } from '../log/index.js'
import type { Endpoint } from '../model/index.js'

/** An answer of the operators' interface: a JSON value, or text such as metrics. */
type Answer = Effect.Effect<unknown, Refusal>

/** What the interface offers; each function is one resource. */
export interface Endpoints {
  readonly state: () => Answer
  readonly configuration: () => Answer
  readonly listNotes: () => Answer
  readonly showNote: (id: string) => Answer
  readonly checkNote: (text: string) => Answer
  readonly submitNote: (text: string) => Answer
  readonly explainService: (service: string) => Answer
  readonly explainTarget: (service: string, target: string) => Answer
  readonly explainRequest: (requestId: string) => Answer
  readonly metrics: () => Effect.Effect<string, Refusal>
}

/** Parts that the listener needs. */
export interface OperatorsOptions {
  /** Bearer token of the settings. */
  readonly token: string
  readonly endpoints: Endpoints
  readonly log: Log
}

/** The operators' listener. */
export interface Operators {
  readonly listen: (endpoint: Endpoint) => Promise<Endpoint>
  readonly stop: () => Promise<void>
}

const MAX_NOTE_BYTES = 4 * 2 ** 20
const REQUEST_TIMEOUT_MS = 30_000

interface Resource {
  readonly method: 'GET' | 'POST'
  readonly pattern: RegExp
  readonly answer: (endpoints: Endpoints, parts: readonly string[], body: string) => Answer
}

const RESOURCES: readonly Resource[] = [
  { method: 'GET', pattern: /^\/v1\/state$/, answer: endpoints => endpoints.state() },
  { method: 'GET', pattern: /^\/v1\/configuration$/, answer: endpoints => endpoints.configuration() },
  { method: 'GET', pattern: /^\/v1\/notes$/, answer: endpoints => endpoints.listNotes() },
  { method: 'POST', pattern: /^\/v1\/notes$/, answer: (endpoints, _, body) => endpoints.submitNote(body) },
  { method: 'POST', pattern: /^\/v1\/notes\/check$/, answer: (endpoints, _, body) => endpoints.checkNote(body) },
  { method: 'GET', pattern: /^\/v1\/notes\/([^/]+)$/, answer: (endpoints, [id = '']) => endpoints.showNote(id) },
  {
    method: 'GET',
    pattern: /^\/v1\/explain\/service\/([^/]+)$/,
    answer: (endpoints, [service = '']) => endpoints.explainService(service)
  },
  {
    method: 'GET',
    pattern: /^\/v1\/explain\/target\/([^/]+)\/([^/]+)$/,
    answer: (endpoints, [service = '', target = '']) => endpoints.explainTarget(service, target)
  },
  {
    method: 'GET',
    pattern: /^\/v1\/explain\/request\/([^/]+)$/,
    answer: (endpoints, [requestId = '']) => endpoints.explainRequest(requestId)
  },
  { method: 'GET', pattern: /^\/metrics$/, answer: endpoints => endpoints.metrics() }
]

/** Hashing first gives both sides the same length, which the constant-time comparison needs. */
function isToken (given: string, token: string): boolean {
  const digest = (text: string): Buffer => createHash('sha256').update(text).digest()
  return timingSafeEqual(digest(given), digest(token))
}

function decodeSegment (segment: string): string | undefined {
  try {
    return decodeURIComponent(segment)
  } catch {
    return undefined
  }
}

function findResource (method: string, path: string): Effect.Effect<{ resource: Resource, parts: readonly string[] }, Refusal> {
  const fitting = RESOURCES.filter(resource => resource.pattern.test(path))
  const resource = fitting.find(candidate => candidate.method === method)
  if (fitting.length === 0) return Effect.fail(refusal('not-found', path))
  if (resource === undefined) return Effect.fail(refusal('method-not-allowed', `${method} ${path}`))
  const parts = (resource.pattern.exec(path) ?? []).slice(1).map(decodeSegment)
  if (parts.includes(undefined)) return Effect.fail(refusal('bad-request', `invalid encoding in ${path}`))
  return Effect.succeed({ resource, parts: parts as readonly string[] })
}

function readBody (request: IncomingMessage): Effect.Effect<string, Refusal> {
  return Effect.callback<string, Refusal>(resume => {
    const chunks: Buffer[] = []
    let size = 0
    request.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (size <= MAX_NOTE_BYTES) chunks.push(chunk)
      else resume(Effect.fail(refusal('body-too-large', `more than ${MAX_NOTE_BYTES} bytes`)))
    })
    request.on('end', () => resume(Effect.succeed(Buffer.concat(chunks).toString('utf8'))))
    request.on('error', error => resume(Effect.fail(refusal('bad-request', error.message))))
  })
}

function sendRefusal (response: ServerResponse, refused: Refusal, requestId: string): void {
  const answer = toErrorResponse(refused, requestId)
  response.writeHead(answer.status, answer.headers).end(answer.body)
}

function sendValue (response: ServerResponse, value: unknown): void {
  const isText = typeof value === 'string'
  const body = isText ? value : `${JSON.stringify(value, null, 2)}\n`
  response.writeHead(200, {
    'content-type': isText ? 'text/plain; version=0.0.4; charset=utf-8' : 'application/json; charset=utf-8',
    'content-length': Buffer.byteLength(body)
  }).end(body)
}

/** The whole way of one operator request. */
function handle (options: OperatorsOptions, request: IncomingMessage): Answer {
  return Effect.gen(function * () {
    const given = /^Bearer (.+)$/.exec(request.headers.authorization ?? '')?.[1] ?? ''
    if (!isToken(given, options.token)) return yield * Effect.fail(refusal('unauthorized', 'the bearer token is missing or wrong'))
    const path = (request.url ?? '/').split('?', 1)[0] ?? '/'
    const { resource, parts } = yield * findResource(request.method ?? 'GET', path)
    const body = resource.method === 'POST' ? yield * readBody(request) : ''
    return yield * resource.answer(options.endpoints, parts, body)
  })
}

/**
 * Creates the operators' listener. It is separate from the callers' listener and
 * answers only requests with the bearer token.
 *
 * @example
 * const operators = createOperators({ token, endpoints, log })
 * await operators.listen({ address: '127.0.0.1', port: 9090 })
 */
export function createOperators (options: OperatorsOptions): Operators {
  let served = 0
  const server: Server = createServer({ requestTimeout: REQUEST_TIMEOUT_MS }, (request, response) => {
    const requestId = `operator-${++served}`
    const exit = Effect.runPromiseExit(Effect.result(handle(options, request)))
    exit.then(outcome => {
      if (outcome._tag === 'Failure') {
        options.log.error('operators.defect', { requestId, cause: String(outcome.cause) })
        sendRefusal(response, refusal('internal', 'see the log of this VM'), requestId)
        return
      }
      const result = outcome.value
      if (Result.isSuccess(result)) sendValue(response, result.success)
      else {
        options.log.warn('operators.refused', { requestId, kind: result.failure.kind, detail: result.failure.detail })
        sendRefusal(response, result.failure, requestId)
      }
    }).catch((error: unknown) => options.log.error('operators.defect', { requestId, cause: String(error) }))
  })
  return {
    listen: endpoint => new Promise((resolve, reject) => {
      server.once('error', reject)
      server.listen(endpoint.port, endpoint.address, () => {
        const bound = server.address()
        resolve({ address: endpoint.address, port: typeof bound === 'object' && bound !== null ? bound.port : endpoint.port })
      })
    }),
    stop: () => new Promise(resolve => {
      server.close(() => resolve())
      server.closeIdleConnections()
    })
  }
}
