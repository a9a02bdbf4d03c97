/** What the entry reads from a request before it is routed. */
import type { IncomingMessage } from 'node:http'
import { err, type Result as Outcome } from 'neverthrow'
import { refusal, type Refusal } from '../errors/index.js'
import { checkFraming } from './framing.js'
import type { CallerWish, Dialect } from './dialect.js'
import { tokensOf, type RawHeaders } from './headers.js'

/** A request with valid framing. */
export interface ParsedRequest extends CallerWish {
  readonly method: string
  /** In lower case, without port. */
  readonly host: string
  /** Host and port as the caller gave them; an absolute request target overrides the field (RFC 9112, 3.2.2). */
  readonly authority: string
  readonly path: string
  /** Path and query, as sent on to the target. */
  readonly pathAndQuery: string
  readonly headers: RawHeaders
  /** Undefined for a chunked body or none. */
  readonly contentLength: number | undefined
  readonly hasBody: boolean
  readonly expectsContinue: boolean
}

/** Splits the request target; undefined when it has neither origin nor absolute form. */
function splitTarget (target: string, hostField: string): { host: string, pathAndQuery: string } | undefined {
  if (target.startsWith('/') || target === '*') return { host: hostField, pathAndQuery: target }
  const absolute = /^http:\/\/([^/?#]+)([^#]*)$/i.exec(target)
  if (absolute === null) return undefined
  const rest = absolute[2] ?? ''
  return { host: absolute[1] ?? '', pathAndQuery: rest.startsWith('/') ? rest : `/${rest}` }
}

function checkFields (request: IncomingMessage): Refusal | undefined {
  const framing = checkFraming(request)
  if (framing !== undefined) return framing
  if (request.headers.upgrade !== undefined) return refusal('bad-request', 'protocol upgrades are not supported')
  const expectations = tokensOf(request.rawHeaders, 'expect')
  if (expectations.some(expectation => expectation !== '100-continue')) {
    return refusal('bad-request', 'the only supported expectation is 100-continue')
  }
  return undefined
}

/**
 * Reads a request's head.
 *
 * Errors: `framing-ambiguous`, `bad-request`, `body-too-large`; all of them not run.
 */
export function parseRequest (request: IncomingMessage, bodyLimitBytes: number, dialect: Dialect): Outcome<ParsedRequest, Refusal> {
  const refused = checkFields(request)
  if (refused !== undefined) return err(refused)
  const target = splitTarget(request.url ?? '', request.headers.host ?? '')
  if (target === undefined) return err(refusal('bad-request', 'the request target is neither a path nor an http URL'))
  const { pathAndQuery } = target
  const length = request.headers['content-length']
  const contentLength = length === undefined ? undefined : Number(length)
  if ((contentLength ?? 0) > bodyLimitBytes) {
    return err(refusal('body-too-large', `Content-Length is above ${bodyLimitBytes} bytes`))
  }
  return dialect.readWish(request.rawHeaders).map(wish => ({
    ...wish,
    method: request.method ?? '',
    host: target.host.toLowerCase().replace(/:\d*$/, ''),
    authority: target.host,
    path: pathAndQuery.split('?', 1)[0] ?? '',
    pathAndQuery,
    headers: request.rawHeaders,
    contentLength,
    hasBody: (contentLength ?? 0) > 0 || request.headers['transfer-encoding'] !== undefined,
    expectsContinue: request.httpVersion === '1.1' && request.headers.expect !== undefined
  }))
}
