/**
 * Rendezvous (highest random weight) hashing. Every VM computes the same ranking from the same names, and adding or
 * removing a VM does not change the order of the others.
 */

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/** Continues an FNV-1a hash with a text. */
function hashText (hash: number, text: string): number {
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME)
  return hash
}

/** Finalizer of MurmurHash3, which gives similar names uncorrelated scores. */
function finalize (hash: number): number {
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}

/**
 * Returns a function that computes the score of a name for one key. The key is hashed only once, because the
 * selection of a subset scores every VM of the fleet.
 *
 * @example
 * const score = rendezvousScores('holds')
 * score('entry-7') === rendezvousScore('holds', 'entry-7') // true
 */
export function rendezvousScores (key: string): (name: string) => number {
  const prefix = hashText(FNV_OFFSET, `${key}\u0000`)
  return name => finalize(hashText(prefix, name))
}

/**
 * Computes the score of a name for a key, from 0 to 2^32 - 1. The name with the highest score ranks first.
 *
 * @example
 * vms.sort((a, b) => rendezvousScore('holds', b.name) - rendezvousScore('holds', a.name))
 */
export function rendezvousScore (key: string, name: string): number {
  return rendezvousScores(key)(name)
}
