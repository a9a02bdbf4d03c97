import { createHash } from 'node:crypto'
import { request as httpRequest, type Agent, type IncomingHttpHeaders, type IncomingMessage } from 'node:http'
import { RESPONSE_BYTES_HEADER, REQUEST_CHECKSUM_HEADER, TOKEN_HEADER, createResponseBody, checksum } from '../target/index.js'
import type { Address, RequestKind } from './load-plan.js'

/** Whether a target ran the request, as reported to the caller. */
export type RunState = 'not-run' | 'may-have-run' | 'ran'

/** Result of one attempt from the view of the caller. */
export type AttemptResult =
  /** The complete and correct response. */
  | { readonly kind: 'answered' }
  /** A refusal by the fleet. */
  | { readonly kind: 'refused', readonly reason: string, readonly run: RunState, readonly detail: string, readonly retryAfterMs: number | undefined, readonly addresses: unknown }
  /** An error response of a target. */
  | { readonly kind: 'failed', readonly status: number, readonly run: RunState }
  /** No complete response. */
  | { readonly kind: 'lost', readonly error: string, readonly run: RunState }
  /** A response that belongs to another request or was altered. */
  | { readonly kind: 'wrong', readonly why: string }

/** The parts of a request that are the same for all attempts. */
export interface OutgoingRequest {
  readonly kind: RequestKind
  readonly token: string
  readonly host: string
  readonly headers: Readonly<Record<string, string>>
}

interface ReceivedResponse {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly checksum: string
  readonly bytes: number
  /** Prefix of the body; long enough for the body of a refusal. */
  readonly prefix: Buffer
}

/** Time that the caller waits beyond the deadline. The fleet normally responds before the deadline. */
const TIMEOUT_GRACE_MS = 500

const MAX_BODY_PREFIX_BYTES = 16_384
const SERVER_ERROR = 500

/** Error codes of failed connection attempts, after which nothing was sent. */
const CONNECT_ERRORS: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL'])

const isRunState = (value: unknown): value is RunState => value === 'not-run' || value === 'may-have-run' || value === 'ran'

async function receiveResponse (response: IncomingMessage): Promise<ReceivedResponse> {
  const hash = createHash('sha256')
  let prefix = Buffer.alloc(0)
  let bytes = 0
  for await (const chunk of response) {
    const data = chunk as Buffer
    hash.update(data)
    bytes += data.length
    if (prefix.length < MAX_BODY_PREFIX_BYTES) prefix = Buffer.concat([prefix, data])
  }
  return { status: response.statusCode ?? 0, headers: response.headers, checksum: hash.digest('hex'), bytes, prefix }
}

function parseRefusal (reason: string, run: RunState, { prefix }: ReceivedResponse): AttemptResult {
  try {
    const body = JSON.parse(prefix.toString()) as { readonly detail?: string, readonly retryAfterMs?: number, readonly addresses?: unknown }
    return { kind: 'refused', reason, run, detail: body.detail ?? '', retryAfterMs: body.retryAfterMs, addresses: body.addresses }
  } catch {
    return { kind: 'wrong', why: `the body of the refusal ${reason} is not valid JSON` }
  }
}

function findMismatch ({ kind, token }: OutgoingRequest, body: Buffer, { headers, bytes, checksum: received }: ReceivedResponse): string | undefined {
  const receivedToken = headers[TOKEN_HEADER]
  if (receivedToken !== token) return `token ${String(receivedToken)} instead of ${token}`
  if (headers[REQUEST_CHECKSUM_HEADER] !== checksum(body)) return 'the target received a different request body'
  if (kind.method === 'HEAD') return undefined
  if (bytes !== kind.responseBytes) return `${bytes} bytes instead of ${kind.responseBytes}`
  return received === checksum(createResponseBody(token, kind.responseBytes)) ? undefined : 'the response body was altered'
}

function classifyResponse (outgoing: OutgoingRequest, body: Buffer, received: ReceivedResponse): AttemptResult {
  const { status, headers } = received
  const run = headers['camphorbay-run']
  const reason = headers['camphorbay-kind']
  if (typeof reason === 'string') return parseRefusal(reason, isRunState(run) ? run : 'may-have-run', received)
  if (status >= SERVER_ERROR) return { kind: 'failed', status, run: isRunState(run) ? run : 'may-have-run' }
  const mismatch = findMismatch(outgoing, body, received)
  return mismatch === undefined ? { kind: 'answered' } : { kind: 'wrong', why: mismatch }
}

/** Creates the request body; different tokens give different bodies, so that the fingerprints of requests differ. */
const createRequestBody = ({ kind, token }: OutgoingRequest): Buffer => Buffer.alloc(kind.bodyBytes, `${token},`)

/** Sends a request once and waits for the complete response, until shortly after the deadline at most. */
export function sendAttempt (outgoing: OutgoingRequest, to: Address, agent: Agent, remainingMs: number): Promise<AttemptResult> {
  const { kind, token, host, headers } = outgoing
  const body = createRequestBody(outgoing)
  return new Promise(resolve => {
    const request = httpRequest({
      host: to.address,
      port: to.port,
      path: kind.path,
      method: kind.method,
      agent,
      headers: {
        ...headers,
        host,
        [TOKEN_HEADER]: token,
        [RESPONSE_BYTES_HEADER]: kind.responseBytes,
        'camphorbay-deadline-ms': Math.max(1, Math.round(remainingMs)),
        ...kind.key ? { 'idempotency-key': token } : {},
        ...body.length > 0 ? { 'content-length': body.length } : {}
      }
    })
    const resolveLost = (error: NodeJS.ErrnoException): void => {
      const code = error.code ?? error.message
      resolve({ kind: 'lost', error: code, run: CONNECT_ERRORS.has(code) ? 'not-run' : 'may-have-run' })
    }
    const timeout = setTimeout(() => request.destroy(new Error('timeout')), remainingMs + TIMEOUT_GRACE_MS)
    request.on('error', resolveLost)
    request.on('close', () => clearTimeout(timeout))
    request.on('response', response => { receiveResponse(response).then(received => resolve(classifyResponse(outgoing, body, received)), resolveLost) })
    request.end(body)
  })
}
