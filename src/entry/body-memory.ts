/** Memory for the bodies of all requests of a VM that are buffered before the requests are forwarded. */

/** Limits on buffered request bodies, in bytes. */
export interface BodyMemoryLimits {
  /** Longest body that is buffered completely. */
  readonly perRequest: number
  /** All buffered bodies together, without the first 64 KB of each. */
  readonly total: number
}

/** Shared memory of the request bodies. */
export interface BodyMemory {
  readonly perRequest: number
  /** Reserves bytes; false if they would exceed the total. */
  readonly reserve: (bytes: number) => boolean
  readonly release: (bytes: number) => void
}

/** Only the prefix of each body is buffered. */
export const NO_BODY_MEMORY: BodyMemoryLimits = { perRequest: 0, total: 0 }

/**
 * Creates memory of which nothing is reserved.
 *
 * @example
 * const memory = createBodyMemory({ perRequest: 512 * 1024, total: 32 * 1024 * 1024 })
 * memory.reserve(65_536) // true
 */
export function createBodyMemory ({ perRequest, total }: BodyMemoryLimits): BodyMemory {
  let reserved = 0
  return {
    perRequest,
    reserve: bytes => {
      if (reserved + bytes > total) return false
      reserved += bytes
      return true
    },
    release: bytes => { reserved -= bytes }
  }
}
