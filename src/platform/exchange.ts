/** One HTTP exchange with the platform. */
import { request as httpRequest, type Agent, type ClientRequest, type IncomingHttpHeaders, type IncomingMessage } from 'node:http'
import { Effect } from 'effect'

/** Maximum size of a response. A batch of 50 notes of the maximum size fits. */
const MAX_RESPONSE_BYTES = 32 * 1024 * 1024

/** Address of the platform, and the agent that pools its connections. */
export interface Server {
  readonly address: string
  readonly port: number
  readonly agent: Agent
}

/** A request to the platform. */
export interface ExchangeRequest {
  readonly method: 'GET' | 'POST' | 'PUT'
  readonly path: string
  readonly body?: Uint8Array
}

/** A complete response of the platform. */
export interface ExchangeResponse {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: Buffer
}

/** Failure to receive a complete response. */
export interface ExchangeFailure {
  readonly detail: string
  /** Whether the request used a pooled connection, which the platform may have closed in the meantime. */
  readonly isConnectionReused: boolean
}

/** Progress of an exchange. The caller owns it, so that it is available after an interruption. */
export interface ExchangeProgress {
  /** Whether bytes of the request may have reached the platform. */
  mayHaveBeenSent: boolean
  /** Whether the request uses a pooled connection, which may be dead although the platform works; undefined before it has a connection. */
  isConnectionReused?: boolean
}

/** Buffers the body of a response; the callback receives undefined when the body exceeds the size limit. */
function readBody (response: IncomingMessage, done: (body: Buffer | undefined) => void): void {
  const chunks: Buffer[] = []
  let size = 0
  response.on('data', (chunk: Buffer) => {
    size += chunk.length
    if (size > MAX_RESPONSE_BYTES) return done(undefined)
    chunks.push(chunk)
  })
  response.on('end', () => done(Buffer.concat(chunks)))
}

/** Records which kind of connection the request uses, and when bytes of it can first reach the platform. */
function recordSend (request: ClientRequest, progress: ExchangeProgress): void {
  request.once('socket', socket => {
    progress.isConnectionReused = request.reusedSocket
    // Node.js sends the request as soon as the socket is connected.
    if (socket.connecting) socket.once('connect', () => { progress.mayHaveBeenSent = true })
    else progress.mayHaveBeenSent = true
  })
}

/**
 * Sends a request and waits for the complete response. An interruption destroys the connection.
 *
 * @param progress updated while the exchange runs
 */
export function exchange (server: Server, outgoing: ExchangeRequest, progress: ExchangeProgress): Effect.Effect<ExchangeResponse, ExchangeFailure> {
  return Effect.callback(resume => {
    const { address, port, agent } = server
    const body = outgoing.body ?? new Uint8Array()
    const request = httpRequest({
      host: address,
      port,
      agent,
      method: outgoing.method,
      path: outgoing.path,
      headers: { 'content-length': body.length }
    })
    const fail = (detail: string): void => resume(Effect.fail({ detail, isConnectionReused: request.reusedSocket }))
    recordSend(request, progress)
    request.on('error', error => fail(error.message))
    request.on('response', response => {
      response.on('error', error => fail(error.message))
      readBody(response, bytes => {
        if (bytes !== undefined) return resume(Effect.succeed({ status: response.statusCode ?? 0, headers: response.headers, body: bytes }))
        fail('the response exceeds the size limit')
        request.destroy()
      })
    })
    request.end(body)
    return Effect.sync(() => {
      // After a plain close, buffered bytes would still be sent, possibly long after the caller abandoned the request.
      request.socket?.resetAndDestroy()
      request.destroy()
    })
  })
}
