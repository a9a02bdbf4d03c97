/**
 * Headers and bodies with which a caller stand-in verifies that a response of a
 * target stand-in is complete and belongs to its request.
 */
import { createHash } from 'node:crypto'

/** Header that identifies a request; every response to the request echoes the value. */
export const TOKEN_HEADER = 'x-request-token'

/** Request header with the requested size of the response body, in bytes. */
export const RESPONSE_BYTES_HEADER = 'x-answer-bytes'

/** Response header with the checksum of the response body. */
export const RESPONSE_CHECKSUM_HEADER = 'x-answer-checksum'

/** Response header with the checksum of the request body as the target received it. */
export const REQUEST_CHECKSUM_HEADER = 'x-request-checksum'

/** Returns the SHA-256 digest in hexadecimal. */
export function checksum (body: Uint8Array): string {
  return createHash('sha256').update(body).digest('hex')
}

/** Creates the response body for a token; different tokens give different bodies. */
export function createResponseBody (token: string, bytes: number): Buffer {
  return Buffer.alloc(bytes, `${token};`)
}
