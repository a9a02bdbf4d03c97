/** Hashes and rankings of VMs, which are the same on all VMs. */

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/**
 * Returns the 32-bit FNV-1a hash with a final mix, because FNV alone leaves the
 * high bits of similar names (`entry-1`, `entry-2`) nearly equal.
 */
export function hashText (text: string): number {
  let hash = FNV_OFFSET
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME)
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}

/**
 * Whether a VM is among the first `count` of `rankVMs`. Hashes only as many names as it takes to find
 * `count` VMs that rank before it.
 *
 * @example
 * isRankedWithin('config/head', 'entry-1', 2, ['entry-1', 'entry-2', 'entry-3'])
 */
export function isRankedWithin (key: string, self: string, count: number, names: Iterable<string>): boolean {
  const own = hashText(`${key}\n${self}`)
  let before = 0
  for (const name of names) {
    const hash = hashText(`${key}\n${name}`)
    if (hash < own || (hash === own && name < self)) before++
    if (before >= count) return false
  }
  return true
}

/**
 * Ranks VMs for a key by rendezvous hashing: each name is hashed together with
 * the key, so a VM that joins or leaves does not change the order of the others.
 *
 * @example
 * rankVMs('config/head', ['entry-1', 'entry-2', 'entry-3']).slice(0, 2)
 */
export function rankVMs (key: string, names: readonly string[]): readonly string[] {
  return names
    .map(name => ({ name, hash: hashText(`${key}\n${name}`) }))
    .sort((a, b) => a.hash - b.hash || (a.name < b.name ? -1 : 1))
    .map(({ name }) => name)
}
