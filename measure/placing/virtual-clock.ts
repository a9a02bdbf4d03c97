/** A clock in virtual time for discrete-event simulations. */
import { setImmediate } from 'node:timers/promises'

/** Runs actions in the order of their times. Times are in ms. */
export interface VirtualClock {
  readonly now: () => number
  readonly schedule: (delayMs: number, action: () => void) => void
  /** Runs all events up to a time. Asynchronous work that an event triggers proceeds before the next event. */
  readonly runUntil: (endsAt: number) => Promise<void>
}

interface Event {
  readonly at: number
  readonly action: () => void
}

/** Creates a clock that starts at 0. */
export function createVirtualClock (): VirtualClock {
  /** Sorted by time, the earliest event last. */
  const events: Event[] = []
  let now = 0
  return {
    now: () => now,
    schedule: (delayMs, action) => {
      const at = now + delayMs
      let index = events.length
      while (index > 0 && (events[index - 1] as Event).at <= at) index--
      events.splice(index, 0, { at, action })
    },
    runUntil: async endsAt => {
      for (;;) {
        const event = events.at(-1)
        if (event === undefined || event.at > endsAt) break
        events.pop()
        now = event.at
        event.action()
        await setImmediate()
      }
      now = endsAt
    }
  }
}
