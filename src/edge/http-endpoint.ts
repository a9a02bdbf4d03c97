/** Small HTTP endpoints of a VM for readiness, address lookup and metrics. */
import { createServer, type Server } from 'node:http'
import { Effect } from 'effect'
import type { Log } from '../log/index.js'
import type { Endpoint } from '../model/index.js'

/** Response of an endpoint. */
export interface EndpointResponse {
  readonly status: number
  readonly contentType: string
  readonly body: string
}

/** Handles one GET request, given its path and query. */
export type Responder = (path: string, query: URLSearchParams) => EndpointResponse

/** Reason why an endpoint could not be opened. */
export interface OpenFailure {
  readonly endpoint: string
  readonly detail: string
}

const KEEP_ALIVE_TIMEOUT_MS = 20_000

const METHOD_NOT_ALLOWED: EndpointResponse = { status: 405, contentType: 'text/plain', body: 'only GET\n' }

/** Response for an unknown path. */
export const NOT_FOUND: EndpointResponse = { status: 404, contentType: 'text/plain', body: 'not found\n' }

/** Creates a response with a JSON body. */
export function jsonResponse (status: number, value: object): EndpointResponse {
  return { status, contentType: 'application/json', body: JSON.stringify(value) }
}

/**
 * Opens an HTTP server that answers GET requests with `respond`.
 *
 * @example
 * const server = yield* openEndpoint('readiness', { address: '10.1.0.10', port: 8167 }, () => jsonResponse(200, {}), log)
 */
export function openEndpoint (
  name: string, { address, port }: Endpoint, respond: Responder, log: Log
): Effect.Effect<Server, OpenFailure> {
  return Effect.callback(resume => {
    const server = createServer((request, response) => {
      const url = new URL(request.url ?? '/', 'http://vm')
      const reply = request.method === 'GET' ? respond(url.pathname, url.searchParams) : METHOD_NOT_ALLOWED
      request.resume()
      response.writeHead(reply.status, { 'content-type': reply.contentType, 'content-length': Buffer.byteLength(reply.body) })
      response.end(reply.body)
    })
    server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS
    server.on('error', error => {
      log.error('endpoint.failed', { endpoint: name, detail: error.message })
      resume(Effect.fail({ endpoint: name, detail: error.message }))
    })
    server.listen(port, address, () => resume(Effect.succeed(server)))
  })
}

/** Closes an endpoint and all of its connections. */
export function closeEndpoint (server: Server): void {
  server.close()
  server.closeAllConnections()
}
