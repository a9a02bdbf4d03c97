/** Events on a manual clock. */
import { setImmediate } from 'node:timers/promises'

/** Lets actions happen later, in the order of their times. */
export interface Timeline {
  readonly now: () => number
  readonly after: (delayMs: number, act: () => void) => void
  /** Plays all events up to a time; programs that wait for an event go on before the next one. */
  readonly playUntil: (endsAt: number) => Promise<void>
}

interface Event {
  readonly at: number
  readonly act: () => void
}

/** Creates a timeline that starts at 0. */
export function createTimeline (): Timeline {
  /** Sorted, the earliest event last. */
  const events: Event[] = []
  let now = 0
  return {
    now: () => now,
    after: (delayMs, act) => {
      const at = now + delayMs
      let index = events.length
      while (index > 0 && (events[index - 1] as Event).at <= at) index--
      events.splice(index, 0, { at, act })
    },
    playUntil: async endsAt => {
      for (;;) {
        const event = events.at(-1)
        if (event === undefined || event.at > endsAt) break
        events.pop()
        now = event.at
        event.act()
        await setImmediate()
      }
      now = endsAt
    }
  }
}
