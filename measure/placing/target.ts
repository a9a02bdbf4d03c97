/** A simulated target with a fixed number of slots and a bounded FIFO queue. */
import type { VirtualClock } from './virtual-clock.js'

/** How an attempt at a target ended. */
export type Outcome = 'answered' | 'failed' | 'shed'

/** A simulated target. */
export interface SimulatedTarget {
  readonly id: string
  /** Runs, queues or sheds a request; `done` is called when it has ended. */
  readonly submit: (serviceTimeMs: number, done: (outcome: Outcome) => void) => void
}

/** Options of a simulated target. */
export interface TargetOptions {
  readonly id: string
  readonly slots: number
  readonly queueLength: number
  /** Returns true if a request that starts now fails. */
  readonly isFailing: (now: number) => boolean
  /** Called when a request starts, with the time that it spent in the queue, in ms. */
  readonly recordQueueTime: (waitMs: number) => void
}

/** Time after which a failing target responds. */
const FAILURE_LATENCY_MS = 1

/** Creates a target on a virtual clock. */
export function createTarget (clock: VirtualClock, { id, slots, queueLength, isFailing, recordQueueTime }: TargetOptions): SimulatedTarget {
  const queue: Array<() => void> = []
  let running = 0

  const start = (serviceTimeMs: number, done: (outcome: Outcome) => void, arrivedAt: number): void => {
    running++
    recordQueueTime(clock.now() - arrivedAt)
    const isFailure = isFailing(clock.now())
    clock.schedule(isFailure ? FAILURE_LATENCY_MS : serviceTimeMs, () => {
      running--
      // The next queued request takes the slot before the caller handles the response and can send another request.
      queue.shift()?.()
      done(isFailure ? 'failed' : 'answered')
    })
  }

  return {
    id,
    submit: (serviceTimeMs, done) => {
      const arrivedAt = clock.now()
      if (running < slots) start(serviceTimeMs, done, arrivedAt)
      else if (queue.length < queueLength) queue.push(() => start(serviceTimeMs, done, arrivedAt))
      else done('shed')
    }
  }
}
