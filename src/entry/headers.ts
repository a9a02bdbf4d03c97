/**
 * Functions for the headers of forwarded messages. Headers are kept in the raw form
 * of Node.js (`[name, value, name, value, …]`), which preserves repeated headers, their order
 * and their case.
 */

/** Raw headers: names at even and values at odd positions. */
export type RawHeaders = readonly string[]

/** Names, in lower case, of the headers that callers, VMs and targets exchange. */
export const CALLER_HEADER = 'camphorbay-caller'
export const DEADLINE_HEADER = 'camphorbay-deadline-ms'
export const REPLAYED_HEADER = 'camphorbay-replayed'
export const REQUEST_ID_HEADER = 'camphorbay-request-id'
export const RUN_HEADER = 'camphorbay-run'
export const STATE_HEADER = 'camphorbay-state'

/** Headers that apply to a single connection (RFC 9110, 7.6.1). */
const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization',
  'te', 'transfer-encoding', 'upgrade'
])

/** Values of a header in the order in which they were received; `name` is in lower case. */
export function headerValues (raw: RawHeaders, name: string): readonly string[] {
  const values: string[] = []
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const candidate = raw[index] as string
    // Comparing the lengths first is faster, as this runs several times per request.
    if (candidate.length === name.length && candidate.toLowerCase() === name) values.push(raw[index + 1] as string)
  }
  return values
}

/** Elements of a comma-separated header, in lower case. */
export function headerTokens (raw: RawHeaders, name: string): readonly string[] {
  const values = headerValues(raw, name)
  if (values.length === 0) return []
  return values.flatMap(value => value.split(',')).map(token => token.trim().toLowerCase()).filter(Boolean)
}

/**
 * The idle timeout that a `Keep-Alive` header states, in ms; undefined when it states none.
 *
 * @example
 * parseKeepAliveMs('timeout=5, max=100') // 5000
 */
export function parseKeepAliveMs (field: string | readonly string[] | undefined): number | undefined {
  const seconds = /(?:^|[\s,;])timeout=(\d+)/i.exec(String(field ?? ''))?.[1]
  return seconds === undefined ? undefined : Number(seconds) * 1000
}

/**
 * Removes the hop-by-hop headers, including those that `Connection` lists, and the
 * headers in `stripped`.
 *
 * @example
 * endToEndHeaders(['Connection', 'X-Hop', 'X-Hop', '1', 'A', 'b'], new Set()) // ['A', 'b']
 */
export function endToEndHeaders (raw: RawHeaders, stripped: ReadonlySet<string>): string[] {
  const connectionOptions = new Set(headerTokens(raw, 'connection'))
  const remaining: string[] = []
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index] as string
    const lowerName = name.toLowerCase()
    // `Connection` must not remove Content-Length, because that would change the framing of the forwarded message.
    const isConnectionOption = connectionOptions.has(lowerName) && lowerName !== 'content-length' && lowerName !== 'host'
    if (!HOP_BY_HOP.has(lowerName) && !stripped.has(lowerName) && !isConnectionOption) remaining.push(name, raw[index + 1] as string)
  }
  return remaining
}

/** Trailers must not change the framing or the routing of a message (RFC 9110, 6.5.1). */
const DISALLOWED_TRAILERS: ReadonlySet<string> = new Set([
  'content-length', 'host', 'trailer', DEADLINE_HEADER, 'camphorbay-kind', REPLAYED_HEADER, REQUEST_ID_HEADER, RUN_HEADER
])

/** The end-to-end trailers, as the pairs that `addTrailers` of Node.js expects. */
export function trailerPairs (raw: RawHeaders): Array<[string, string]> {
  const remaining = endToEndHeaders(raw, DISALLOWED_TRAILERS)
  return remaining.flatMap((name, index) => index % 2 === 0 ? [[name, remaining[index + 1] ?? ''] as [string, string]] : [])
}

/** Converts raw headers to a record with names in lower case, for a recorded response. */
export function headersToRecord (raw: RawHeaders): Readonly<Record<string, string | readonly string[]>> {
  const names = new Set(raw.filter((_, index) => index % 2 === 0).map(name => name.toLowerCase()))
  return Object.fromEntries([...names].map(name => {
    const values = headerValues(raw, name)
    return [name, values.length === 1 ? values[0] as string : values]
  }))
}

/** The inverse of `headersToRecord`. */
export function headersFromRecord (record: Readonly<Record<string, string | readonly string[]>>): string[] {
  return Object.entries(record).flatMap(([name, value]) => [value].flat().flatMap(item => [name, item]))
}
