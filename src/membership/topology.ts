/** Sparse graph of the links between VMs. */
import { hashText } from './rank.js'

/**
 * Returns the names at distances 1, 2, 4, 8, … from a VM in both directions, in
 * the order of the hashes of the names. The graph is symmetric, has a degree of
 * about 2·log2(n) and a diameter of about log2(n) / 2.
 *
 * @param names all VMs, `self` included
 *
 * @example
 * neighbours('b', ['a', 'b', 'c']) // ['a', 'c'] in some order
 */
export function neighbours (self: string, names: readonly string[]): readonly string[] {
  const ring = names
    .map(name => ({ name, hash: hashText(name) }))
    .sort((a, b) => a.hash - b.hash || (a.name < b.name ? -1 : 1))
    .map(({ name }) => name)
  const position = ring.indexOf(self)
  if (position < 0) return []
  const found = new Set<string>()
  for (let distance = 1; distance < ring.length; distance *= 2) {
    for (const index of [position + distance, position - distance + ring.length]) {
      const name = ring[index % ring.length]
      if (name !== undefined && name !== self) found.add(name)
    }
  }
  return [...found]
}
