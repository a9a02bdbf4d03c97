/** Parses and validates the head of a request before it is routed. */
import type { IncomingMessage } from 'node:http'
import { err, type Result as Outcome } from 'neverthrow'
import { refusal, type Refusal } from '../errors/index.js'
import { checkFraming } from './framing.js'
import type { CallerOptions, Dialect } from './dialect.js'
import { headerTokens, type RawHeaders } from './headers.js'

/** A request with valid framing. */
export interface ParsedRequest extends CallerOptions {
  readonly method: string
  /** Lower case, without port. */
  readonly host: string
  /** Host and port as sent by the caller; an absolute-form request target overrides the Host header (RFC 9112, 3.2.2). */
  readonly authority: string
  readonly path: string
  /** Path and query, as forwarded to the target. */
  readonly pathAndQuery: string
  readonly headers: RawHeaders
  /** Undefined for a chunked body or no body. */
  readonly contentLength: number | undefined
  readonly hasBody: boolean
  readonly expectsContinue: boolean
}

/** Parses the request target; undefined when it is in neither origin form nor absolute form. */
function parseRequestTarget (requestTarget: string, hostField: string): { host: string, pathAndQuery: string } | undefined {
  if (requestTarget.startsWith('/') || requestTarget === '*') return { host: hostField, pathAndQuery: requestTarget }
  const absolute = /^http:\/\/([^/?#]+)([^#]*)$/i.exec(requestTarget)
  if (absolute === null) return undefined
  const rest = absolute[2] ?? ''
  return { host: absolute[1] ?? '', pathAndQuery: rest.startsWith('/') ? rest : `/${rest}` }
}

function checkHeaders (request: IncomingMessage): Refusal | undefined {
  const framing = checkFraming(request)
  if (framing !== undefined) return framing
  if (request.headers.upgrade !== undefined) return refusal('bad-request', 'protocol upgrades are not supported')
  const expectations = headerTokens(request.rawHeaders, 'expect')
  if (expectations.some(expectation => expectation !== '100-continue')) {
    return refusal('bad-request', 'the only supported expectation is 100-continue')
  }
  return undefined
}

/**
 * Parses the head of a request.
 *
 * Errors: `framing-ambiguous`, `bad-request`, `body-too-large`; the request did not run.
 */
export function parseRequest (request: IncomingMessage, bodyLimitBytes: number, dialect: Dialect): Outcome<ParsedRequest, Refusal> {
  const refused = checkHeaders(request)
  if (refused !== undefined) return err(refused)
  const requestTarget = parseRequestTarget(request.url ?? '', request.headers.host ?? '')
  if (requestTarget === undefined) return err(refusal('bad-request', 'the request target is neither a path nor an http URL'))
  const { pathAndQuery } = requestTarget
  const length = request.headers['content-length']
  const contentLength = length === undefined ? undefined : Number(length)
  if ((contentLength ?? 0) > bodyLimitBytes) {
    return err(refusal('body-too-large', `Content-Length exceeds ${bodyLimitBytes} bytes`))
  }
  return dialect.parseCallerOptions(request.rawHeaders).map(callerOptions => ({
    ...callerOptions,
    method: request.method ?? '',
    host: requestTarget.host.toLowerCase().replace(/:\d*$/, ''),
    authority: requestTarget.host,
    path: pathAndQuery.split('?', 1)[0] ?? '',
    pathAndQuery,
    headers: request.rawHeaders,
    contentLength,
    hasBody: (contentLength ?? 0) > 0 || request.headers['transfer-encoding'] !== undefined,
    expectsContinue: request.httpVersion === '1.1' && request.headers.expect !== undefined
  }))
}
