/** Digests for comparing notes by content. */
import { createHash } from 'node:crypto'
import { isRecord } from '../peer/index.js'

/** Returns JSON with sorted members, so that equal content has the same text on every VM. */
function canonicalText (value: unknown): string {
  if (Array.isArray(value)) return `[${value.map(canonicalText).join(',')}]`
  if (!isRecord(value)) return JSON.stringify(value) ?? 'null'
  const members = Object.entries(value)
    .filter(([, member]) => member !== undefined)
    .sort(([a], [b]) => a < b ? -1 : 1)
    .map(([name, member]) => `${JSON.stringify(name)}:${canonicalText(member)}`)
  return `{${members.join(',')}}`
}

/**
 * Returns the SHA-256 digest of a value's content in base64.
 *
 * @example
 * digestOf({ a: 1, b: 2 }) === digestOf({ b: 2, a: 1 }) // true
 */
export function digestOf (value: unknown): string {
  return createHash('sha256').update(canonicalText(value)).digest('base64')
}
