/**
 * Refuses requests with ambiguous framing, to prevent request smuggling.
 *
 * The strict parser of Node.js rejects most of them: Content-Length together with
 * Transfer-Encoding, repeated or malformed lengths, and folded lines. The checks here
 * and in `message-lines.ts` cover what it accepts.
 */
import type { IncomingMessage } from 'node:http'
import { refusal, type ErrorKind, type Refusal } from '../errors/index.js'
import { headerTokens, headerValues } from './headers.js'

const FRAMING_ERRORS: ReadonlySet<string> = new Set([
  'HPE_CR_EXPECTED', 'HPE_LF_EXPECTED', 'HPE_STRICT', 'HPE_UNEXPECTED_SPACE',
  'HPE_INVALID_CONTENT_LENGTH', 'HPE_UNEXPECTED_CONTENT_LENGTH', 'HPE_INVALID_TRANSFER_ENCODING',
  'HPE_INVALID_CHUNK_SIZE',
  // Reported for a folded line, a space before the colon, and a line feed before the end of the head.
  'HPE_INVALID_HEADER_TOKEN'
])

/** Some targets treat an underscore as a hyphen and would interpret these as the real headers. */
const UNDERSCORE_VARIANTS = ['transfer_encoding', 'content_length'] as const

interface ParseError {
  readonly code?: string
  readonly reason?: string
}

/** Whether a parse error does not concern the request that is being served. */
export function isIgnorableParseError (error: ParseError): boolean {
  // Bytes after a request with `Connection: close` are ignored; its response is still pending.
  return error.code === 'HPE_CLOSED_CONNECTION'
}

/** Whether the error means that the caller disconnected. */
export function isDisconnectError (error: ParseError): boolean {
  return error.code === undefined || !error.code.startsWith('HPE_') || error.code === 'HPE_INVALID_EOF_STATE'
}

function kindOfParseError ({ code = '', reason = '' }: ParseError): ErrorKind {
  if (code === 'HPE_HEADER_OVERFLOW') return 'headers-too-large'
  if (code === 'HPE_CHUNK_EXTENSIONS_OVERFLOW') return 'body-too-large'
  const isLineFeed = code === 'HPE_INVALID_VERSION' && reason.startsWith('Expected CRLF')
  return FRAMING_ERRORS.has(code) || isLineFeed ? 'framing-ambiguous' : 'bad-request'
}

/** Creates the refusal of a request that the parser of Node.js rejected. */
export function refuseParseError (error: ParseError): Refusal {
  return refusal(kindOfParseError(error), error.reason ?? 'the parser rejected the request')
}

/**
 * Checks for framing that the parser accepts but targets may interpret differently.
 *
 * @returns the refusal; undefined when the framing is unambiguous
 */
export function checkFraming (request: IncomingMessage): Refusal | undefined {
  const { httpVersion, rawHeaders } = request
  if (httpVersion !== '1.1' && httpVersion !== '1.0') {
    return refusal('bad-request', `HTTP version ${httpVersion} is not supported`)
  }
  const encodings = headerTokens(rawHeaders, 'transfer-encoding')
  if (encodings.length > 0 && (httpVersion === '1.0' || encodings.join() !== 'chunked')) {
    return refusal('framing-ambiguous', 'the only supported transfer coding is "chunked", and only in HTTP/1.1')
  }
  if (headerValues(rawHeaders, 'content-length').length > 1) {
    return refusal('framing-ambiguous', 'Content-Length occurs more than once')
  }
  const lookalike = UNDERSCORE_VARIANTS.find(name => headerValues(rawHeaders, name).length > 0)
  if (lookalike !== undefined) return refusal('framing-ambiguous', `the header name ${lookalike} is not allowed`)
  return checkHost(request)
}

function checkHost ({ httpVersion, rawHeaders }: IncomingMessage): Refusal | undefined {
  const count = headerValues(rawHeaders, 'host').length
  if (count > 1) return refusal('bad-request', 'Host occurs more than once')
  return count === 0 && httpVersion === '1.1' ? refusal('bad-request', 'Host is missing') : undefined
}
