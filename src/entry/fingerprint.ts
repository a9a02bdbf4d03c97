/** Identifies requests that are equal for a target. */
import { createHash } from 'node:crypto'
import type { ParsedRequest } from './request.js'

/** Part of a body that the fingerprint covers, and the largest body that is kept for a retry. */
export const BODY_PREFIX_BYTES = 64 * 1024

/**
 * SHA-256 over service, method, path and query, `Content-Length`, the caller if it is
 * given, and the first 64 KB of the body, in hexadecimal. The Idempotency-Key is left out, so a
 * crashing request is recognised under a new key.
 */
export function fingerprintOf (service: string, request: ParsedRequest, prefix: readonly Uint8Array[], caller = ''): string {
  const hash = createHash('sha256')
  const head = [service, request.method, request.pathAndQuery, String(request.contentLength ?? ''), ...(caller === '' ? [] : [caller])]
  // JSON keeps the borders between the parts unambiguous.
  hash.update(JSON.stringify(head))
  let left = BODY_PREFIX_BYTES
  for (const chunk of prefix) {
    if (left <= 0) break
    hash.update(chunk.subarray(0, left))
    left -= chunk.byteLength
  }
  return hash.digest('hex')
}
