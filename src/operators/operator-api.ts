import { timingSafeEqual, createHash } from 'node:crypto'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { Effect, Result } from 'effect'
import { toErrorResponse, refusal, type Refusal } from '../errors/index.js'
import type { Log } from '../log/index.js'
import type { Endpoint } from '../model/index.js'

/** Result of a resource: a JSON value, or text such as metrics. */
type ResourceResult = Effect.Effect<unknown, Refusal>

/** Handlers of the API; each function serves one resource. */
export interface Endpoints {
  readonly state: () => ResourceResult
  readonly configuration: () => ResourceResult
  readonly listNotes: () => ResourceResult
  readonly showNote: (id: string) => ResourceResult
  readonly checkNote: (text: string) => ResourceResult
  readonly submitNote: (text: string) => ResourceResult
  readonly explainService: (service: string) => ResourceResult
  readonly explainTarget: (service: string, target: string) => ResourceResult
  readonly explainRequest: (requestId: string) => ResourceResult
  readonly metrics: () => Effect.Effect<string, Refusal>
}

/** Options of {@link createOperatorAPI}. */
export interface OperatorAPIOptions {
  /** Bearer token from the settings. */
  readonly token: string
  readonly endpoints: Endpoints
  readonly log: Log
}

/** HTTP listener of the operator API. */
export interface OperatorAPI {
  readonly listen: (endpoint: Endpoint) => Promise<Endpoint>
  readonly stop: () => Promise<void>
}

const MAX_BODY_BYTES = 4 * 2 ** 20
const REQUEST_TIMEOUT_MS = 30_000

interface Resource {
  readonly method: 'GET' | 'POST'
  readonly pattern: RegExp
  readonly handle: (endpoints: Endpoints, pathParameters: readonly string[], body: string) => ResourceResult
}

const RESOURCES: readonly Resource[] = [
  { method: 'GET', pattern: /^\/v1\/state$/, handle: endpoints => endpoints.state() },
  { method: 'GET', pattern: /^\/v1\/configuration$/, handle: endpoints => endpoints.configuration() },
  { method: 'GET', pattern: /^\/v1\/notes$/, handle: endpoints => endpoints.listNotes() },
  { method: 'POST', pattern: /^\/v1\/notes$/, handle: (endpoints, _, body) => endpoints.submitNote(body) },
  { method: 'POST', pattern: /^\/v1\/notes\/check$/, handle: (endpoints, _, body) => endpoints.checkNote(body) },
  { method: 'GET', pattern: /^\/v1\/notes\/([^/]+)$/, handle: (endpoints, [id = '']) => endpoints.showNote(id) },
  {
    method: 'GET',
    pattern: /^\/v1\/explain\/service\/([^/]+)$/,
    handle: (endpoints, [service = '']) => endpoints.explainService(service)
  },
  {
    method: 'GET',
    pattern: /^\/v1\/explain\/target\/([^/]+)\/([^/]+)$/,
    handle: (endpoints, [service = '', target = '']) => endpoints.explainTarget(service, target)
  },
  {
    method: 'GET',
    pattern: /^\/v1\/explain\/request\/([^/]+)$/,
    handle: (endpoints, [requestId = '']) => endpoints.explainRequest(requestId)
  },
  { method: 'GET', pattern: /^\/metrics$/, handle: endpoints => endpoints.metrics() }
]

/** The values are hashed because the constant-time comparison requires equal lengths. */
function tokensMatch (providedToken: string, token: string): boolean {
  const digest = (text: string): Buffer => createHash('sha256').update(text).digest()
  return timingSafeEqual(digest(providedToken), digest(token))
}

function decodeSegment (segment: string): string | undefined {
  try {
    return decodeURIComponent(segment)
  } catch {
    return undefined
  }
}

function findResource (method: string, path: string): Effect.Effect<{ resource: Resource, pathParameters: readonly string[] }, Refusal> {
  const matching = RESOURCES.filter(resource => resource.pattern.test(path))
  const resource = matching.find(candidate => candidate.method === method)
  if (matching.length === 0) return Effect.fail(refusal('not-found', path))
  if (resource === undefined) return Effect.fail(refusal('method-not-allowed', `${method} ${path}`))
  const pathParameters = (resource.pattern.exec(path) ?? []).slice(1).map(decodeSegment)
  if (pathParameters.includes(undefined)) return Effect.fail(refusal('bad-request', `invalid encoding in ${path}`))
  return Effect.succeed({ resource, pathParameters: pathParameters as readonly string[] })
}

function readBody (request: IncomingMessage): Effect.Effect<string, Refusal> {
  return Effect.callback<string, Refusal>(resume => {
    const chunks: Buffer[] = []
    let size = 0
    request.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (size <= MAX_BODY_BYTES) chunks.push(chunk)
      else resume(Effect.fail(refusal('body-too-large', `more than ${MAX_BODY_BYTES} bytes`)))
    })
    request.on('end', () => resume(Effect.succeed(Buffer.concat(chunks).toString('utf8'))))
    request.on('error', error => resume(Effect.fail(refusal('bad-request', error.message))))
  })
}

function sendRefusal (response: ServerResponse, refused: Refusal, requestId: string): void {
  const errorResponse = toErrorResponse(refused, requestId)
  response.writeHead(errorResponse.status, errorResponse.headers).end(errorResponse.body)
}

function sendValue (response: ServerResponse, value: unknown): void {
  const isText = typeof value === 'string'
  const body = isText ? value : `${JSON.stringify(value, null, 2)}\n`
  response.writeHead(200, {
    'content-type': isText ? 'text/plain; version=0.0.4; charset=utf-8' : 'application/json; charset=utf-8',
    'content-length': Buffer.byteLength(body)
  }).end(body)
}

/** Authenticates a request, finds its resource and returns the result. */
function handleRequest (options: OperatorAPIOptions, request: IncomingMessage): ResourceResult {
  return Effect.gen(function * () {
    const providedToken = /^Bearer (.+)$/.exec(request.headers.authorization ?? '')?.[1] ?? ''
    if (!tokensMatch(providedToken, options.token)) return yield * Effect.fail(refusal('unauthorized', 'the bearer token is missing or wrong'))
    const path = (request.url ?? '/').split('?', 1)[0] ?? '/'
    const { resource, pathParameters } = yield * findResource(request.method ?? 'GET', path)
    const body = resource.method === 'POST' ? yield * readBody(request) : ''
    return yield * resource.handle(options.endpoints, pathParameters, body)
  })
}

/**
 * Creates the listener of the operator API. It is separate from the listener for callers and
 * serves only requests with the bearer token.
 *
 * @example
 * const operatorAPI = createOperatorAPI({ token, endpoints, log })
 * await operatorAPI.listen({ address: '127.0.0.1', port: 9090 })
 */
export function createOperatorAPI (options: OperatorAPIOptions): OperatorAPI {
  let requestCount = 0
  const server: Server = createServer({ requestTimeout: REQUEST_TIMEOUT_MS }, (request, response) => {
    const requestId = `operator-${++requestCount}`
    const exit = Effect.runPromiseExit(Effect.result(handleRequest(options, request)))
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
