/** Small HTTP endpoints of a VM: readiness, addresses, metrics. */
import { createServer, type Server } from 'node:http'
import { Effect } from 'effect'
import type { Log } from '../log/index.js'
import type { Endpoint } from '../model/index.js'

/** The answer of an endpoint. */
export interface EndpointAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: string
}

/** Answers one request by its path and query. */
export type Responder = (path: string, query: URLSearchParams) => EndpointAnswer

/** An endpoint could not be opened. */
export interface OpenFailure {
  readonly endpoint: string
  readonly detail: string
}

/** Idle connections are kept for this time, in ms. */
const IDLE_MS = 20_000

const METHOD_NOT_ALLOWED: EndpointAnswer = { status: 405, contentType: 'text/plain', body: 'only GET\n' }

/** The answer to an unknown path. */
export const NOT_FOUND: EndpointAnswer = { status: 404, contentType: 'text/plain', body: 'not found\n' }

/** An answer with a JSON body. */
export function jsonAnswer (status: number, value: object): EndpointAnswer {
  return { status, contentType: 'application/json', body: JSON.stringify(value) }
}

/**
 * Opens an endpoint.
 *
 * @example
 * const server = yield* openEndpoint('readiness', { address: '10.1.0.10', port: 8167 }, () => jsonAnswer(200, {}), log)
 */
export function openEndpoint (
  name: string, { address, port }: Endpoint, respond: Responder, log: Log
): Effect.Effect<Server, OpenFailure> {
  return Effect.callback(resume => {
    const server = createServer((request, response) => {
      const url = new URL(request.url ?? '/', 'http://vm')
      const answer = request.method === 'GET' ? respond(url.pathname, url.searchParams) : METHOD_NOT_ALLOWED
      request.resume()
      response.writeHead(answer.status, { 'content-type': answer.contentType, 'content-length': Buffer.byteLength(answer.body) })
      response.end(answer.body)
    })
    server.keepAliveTimeout = IDLE_MS
    server.on('error', error => {
      log.error('endpoint.failed', { endpoint: name, detail: error.message })
      resume(Effect.fail({ endpoint: name, detail: error.message }))
    })
    server.listen(port, address, () => resume(Effect.succeed(server)))
  })
}

/** Closes an endpoint and its connections. */
export function closeEndpoint (server: Server): void {
  server.close()
  server.closeAllConnections()
}
