/** A target that runs a few requests at a time and queues the others. */
import type { Timeline } from './timeline.js'

/** How a request ended at a target. */
export type Ran = 'answered' | 'failed' | 'shed'

/** A simulated target. */
export interface PlayedTarget {
  readonly id: string
  /** `done` is called when the run has ended. */
  readonly submit: (workMs: number, done: (ran: Ran) => void) => void
}

/** What a target is like. */
export interface TargetTraits {
  readonly id: string
  readonly slots: number
  readonly queueLength: number
  /** Whether it fails what begins to run now; a failure comes at once. */
  readonly isFailing: (now: number) => boolean
  /** Receives the time that each request spent in the queue, in ms. */
  readonly queued: (waitMs: number) => void
}

/** Time after which a failing target answers, in ms. */
const FAILURE_MS = 1

/** Creates a target on a timeline. */
export function createTarget (timeline: Timeline, { id, slots, queueLength, isFailing, queued }: TargetTraits): PlayedTarget {
  const queue: Array<() => void> = []
  let running = 0

  const start = (workMs: number, done: (ran: Ran) => void, arrivedAt: number): void => {
    running++
    queued(timeline.now() - arrivedAt)
    const fails = isFailing(timeline.now())
    timeline.after(fails ? FAILURE_MS : workMs, () => {
      running--
      // The next of the queue takes the slot before anything that the answer sets off.
      queue.shift()?.()
      done(fails ? 'failed' : 'answered')
    })
  }

  return {
    id,
    submit: (workMs, done) => {
      const arrivedAt = timeline.now()
      if (running < slots) start(workMs, done, arrivedAt)
      else if (queue.length < queueLength) queue.push(() => start(workMs, done, arrivedAt))
      else done('shed')
    }
  }
}
