/** Records when each name was last seen. The cache is bounded and evicts the least recently seen name first. */
export interface LastSeenCache {
  readonly record: (name: string, now: number) => void
  /** Whether the name was last seen after the given time. */
  readonly wasSeenAfter: (name: string, time: number) => boolean
}

/** Creates an empty cache of at most `size` names. */
export function createLastSeenCache (size: number): LastSeenCache {
  const seenAt = new Map<string, number>()
  return {
    record: (name, now) => {
      // A Map iterates in insertion order, so deleting and inserting again moves the name to the end.
      seenAt.delete(name)
      seenAt.set(name, now)
      const [oldest] = seenAt.keys()
      if (seenAt.size > size && oldest !== undefined) seenAt.delete(oldest)
    },
    wasSeenAfter: (name, time) => (seenAt.get(name) ?? -Infinity) > time
  }
}
