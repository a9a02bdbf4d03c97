/** A manual clock with an event queue, for simulations that run in the same order every time. */

/** A clock that advances only in `runUntil`, and the events scheduled on it. */
export interface Schedule {
  readonly now: () => number
  readonly at: (time: number, run: () => void) => void
  readonly after: (delayMs: number, run: () => void) => void
  /** Advances the clock to the given time and runs all events that are due. */
  readonly runUntil: (time: number) => void
}

interface ScheduledEvent {
  readonly time: number
  readonly order: number
  readonly run: () => void
}

/** Creates a schedule. The clock starts at 1,000,000 ms, so that no test depends on a clock near 0. */
export function createSchedule (startAt = 1_000_000): Schedule {
  const heap: ScheduledEvent[] = []
  let now = startAt
  let order = 0
  const isBefore = (a: ScheduledEvent, b: ScheduledEvent): boolean => a.time < b.time || (a.time === b.time && a.order < b.order)
  const at = (time: number, run: () => void): void => {
    const event = { time: Math.max(time, now), order: order++, run }
    let index = heap.push(event) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      const above = heap[parent]
      if (above === undefined || !isBefore(event, above)) break
      heap[index] = above
      index = parent
    }
    heap[index] = event
  }
  const pop = (): ScheduledEvent | undefined => {
    const first = heap[0]
    const last = heap.pop()
    if (first === undefined || last === undefined || heap.length === 0) return first
    let index = 0
    for (;;) {
      const left = 2 * index + 1
      const a = heap[left]
      const b = heap[left + 1]
      const child = a !== undefined && b !== undefined && isBefore(b, a) ? left + 1 : left
      const below = heap[child]
      if (below === undefined || !isBefore(below, last)) break
      heap[index] = below
      index = child
    }
    heap[index] = last
    return first
  }
  return {
    now: () => now,
    at,
    after: (delayMs, run) => at(now + delayMs, run),
    runUntil: time => {
      for (let next = heap[0]; next !== undefined && next.time <= time; next = heap[0]) {
        pop()
        now = next.time
        next.run()
      }
      now = time
    }
  }
}

/** Creates a seeded generator of pseudorandom numbers in [0, 1), mulberry32. */
export function createRandom (seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (state + 0x6d2b79f5) >>> 0
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state)
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32
  }
}
