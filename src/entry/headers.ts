/**
 * Header fields on their way through the VM. Fields are kept in the raw form
 * of Node (`[name, value, name, value, …]`), so repeated fields, their order
 * and their case stay as they were sent.
 */

/** Raw header fields: names at even and values at odd positions. */
export type RawHeaders = readonly string[]

/** Names, in lower case, of the fields with a meaning between callers, VMs and targets. */
export const CALLER = 'camphorbay-caller'
export const DEADLINE_MS = 'camphorbay-deadline-ms'
export const REPLAYED = 'camphorbay-replayed'
export const REQUEST_ID = 'camphorbay-request-id'
export const RUN = 'camphorbay-run'
export const STATE = 'camphorbay-state'

/** Fields that concern one connection only (RFC 9110, 7.6.1). */
const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization',
  'te', 'transfer-encoding', 'upgrade'
])

/** Values of a field, in the order of their arrival; `name` is in lower case. */
export function valuesOf (raw: RawHeaders, name: string): readonly string[] {
  const values: string[] = []
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const candidate = raw[index] as string
    // Most names differ in length already; this runs several times for each request.
    if (candidate.length === name.length && candidate.toLowerCase() === name) values.push(raw[index + 1] as string)
  }
  return values
}

/** Members of a field that is a comma-separated list, in lower case. */
export function tokensOf (raw: RawHeaders, name: string): readonly string[] {
  const values = valuesOf(raw, name)
  if (values.length === 0) return []
  return values.flatMap(value => value.split(',')).map(token => token.trim().toLowerCase()).filter(Boolean)
}

/**
 * Time for which the sender of a `Keep-Alive` field keeps an idle connection, in ms; undefined when it states none.
 *
 * @example
 * keptForMsOf('timeout=5, max=100') // 5000
 */
export function keptForMsOf (field: string | readonly string[] | undefined): number | undefined {
  const seconds = /(?:^|[\s,;])timeout=(\d+)/i.exec(String(field ?? ''))?.[1]
  return seconds === undefined ? undefined : Number(seconds) * 1000
}

/**
 * Removes the hop-by-hop fields, also those that `Connection` names, and the
 * fields of `removed`.
 *
 * @example
 * endToEnd(['Connection', 'X-Hop', 'X-Hop', '1', 'A', 'b'], new Set()) // ['A', 'b']
 */
export function endToEnd (raw: RawHeaders, removed: ReadonlySet<string>): string[] {
  const named = new Set(tokensOf(raw, 'connection'))
  const kept: string[] = []
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index] as string
    const lower = name.toLowerCase()
    // Removing the length would change the framing of the message that is sent on.
    const isNamed = named.has(lower) && lower !== 'content-length' && lower !== 'host'
    if (!HOP_BY_HOP.has(lower) && !removed.has(lower) && !isNamed) kept.push(name, raw[index + 1] as string)
  }
  return kept
}

/** Trailer fields must not change how a message is framed or routed (RFC 9110, 6.5.1). */
const FORBIDDEN_TRAILERS: ReadonlySet<string> = new Set([
  'content-length', 'host', 'trailer', DEADLINE_MS, 'camphorbay-kind', REPLAYED, REQUEST_ID, RUN
])

/** The end-to-end trailer fields as the pairs that Node's `addTrailers` takes. */
export function trailerPairs (raw: RawHeaders): Array<[string, string]> {
  const kept = endToEnd(raw, FORBIDDEN_TRAILERS)
  return kept.flatMap((name, index) => index % 2 === 0 ? [[name, kept[index + 1] ?? ''] as [string, string]] : [])
}

/** Raw fields as a record, for a recorded answer. Names are in lower case. */
export function toRecord (raw: RawHeaders): Readonly<Record<string, string | readonly string[]>> {
  const names = new Set(raw.filter((_, index) => index % 2 === 0).map(name => name.toLowerCase()))
  return Object.fromEntries([...names].map(name => {
    const values = valuesOf(raw, name)
    return [name, values.length === 1 ? values[0] as string : values]
  }))
}

/** The inverse of `toRecord`. */
export function fromRecord (record: Readonly<Record<string, string | readonly string[]>>): string[] {
  return Object.entries(record).flatMap(([name, value]) => [value].flat().flatMap(each => [name, each]))
}
