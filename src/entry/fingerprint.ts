/** Computes fingerprints, which are equal for requests that are identical for a target. */
import { createHash } from 'node:crypto'
import type { ParsedRequest } from './request.js'

/** Length of the body prefix that the fingerprint covers, and maximum size of a body that is buffered for retries. */
export const BODY_PREFIX_BYTES = 64 * 1024

/**
 * Computes the SHA-256 of service, method, path and query, `Content-Length`, the caller if it is
 * given, and the first 64 KB of the body, in hexadecimal. The Idempotency-Key is excluded, so that a
 * crashing request is recognised when it is sent with a new key.
 */
export function fingerprintOf (service: string, request: ParsedRequest, prefix: readonly Uint8Array[], caller = ''): string {
  const hash = createHash('sha256')
  const head = [service, request.method, request.pathAndQuery, String(request.contentLength ?? ''), ...(caller === '' ? [] : [caller])]
  // JSON delimits the fields unambiguously.
  hash.update(JSON.stringify(head))
  let remainingBytes = BODY_PREFIX_BYTES
  for (const chunk of prefix) {
    if (remainingBytes <= 0) break
    hash.update(chunk.subarray(0, remainingBytes))
    remainingBytes -= chunk.byteLength
  }
  return hash.digest('hex')
}
