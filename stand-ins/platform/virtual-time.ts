/** Virtual time for effects: runs are deterministic and do not wait in real time. */
import { Clock, Duration, Effect, Exit, Fiber, Scheduler } from 'effect'
import type { Clock as ModelClock } from '../../src/model/index.js'

/** Runs effects on a clock that advances to the next timer when no task is pending. */
export interface VirtualTime {
  readonly clock: ModelClock
  /** Starts an effect in the background; it makes progress only during {@link VirtualTime.run}. */
  readonly fork: <A, E>(effect: Effect.Effect<A, E>) => Fiber.Fiber<A, E>
  /**
   * Runs an effect to completion, interleaved with the forked effects.
   *
   * @throws when the effect waits for anything other than a timer or another effect
   */
  readonly run: <A, E>(effect: Effect.Effect<A, E>) => Exit.Exit<A, E>
}

interface Timer {
  readonly at: number
  readonly fire: () => void
}

const NANOS_PER_MS = 1_000_000n

/**
 * Creates virtual time that starts at 0 ms. Effects must not wait for promises or I/O.
 *
 * @example
 * const time = createVirtualTime()
 * time.run(Effect.sleep(60_000)) // returns at once
 * time.clock() // 60000
 */
export function createVirtualTime (): VirtualTime {
  let now = 0
  let tasks: Array<() => void> = []
  const timers = new Set<Timer>()

  const sleep = (ms: number): Effect.Effect<void> => Effect.callback(resume => {
    const timer: Timer = { at: now + ms, fire: () => resume(Effect.void) }
    timers.add(timer)
    return Effect.sync(() => { timers.delete(timer) })
  })
  const nanos = (): bigint => BigInt(Math.round(now)) * NANOS_PER_MS
  const clock: Clock.Clock = {
    currentTimeMillisUnsafe: () => now,
    currentTimeMillis: Effect.sync(() => now),
    currentTimeNanosUnsafe: nanos,
    currentTimeNanos: Effect.sync(nanos),
    monotonicTimeNanosUnsafe: nanos,
    monotonicTimeNanos: Effect.sync(nanos),
    sleep: duration => sleep(Duration.toMillis(duration))
  }
  const scheduler = new Scheduler.MixedScheduler('async', task => {
    tasks.push(task)
    return () => { tasks = tasks.filter(other => other !== task) }
  })

  const runPendingTasks = (): void => {
    for (let task = tasks.shift(); task !== undefined; task = tasks.shift()) task()
  }

  /** Advances the clock to the earliest timer and fires it, in creation order for equal times. Returns false without timers. */
  const fireNextTimer = (): boolean => {
    let next: Timer | undefined
    for (const timer of timers) if (next === undefined || timer.at < next.at) next = timer
    if (next === undefined) return false
    timers.delete(next)
    now = Math.max(now, next.at)
    next.fire()
    return true
  }

  const fork = <A, E>(effect: Effect.Effect<A, E>): Fiber.Fiber<A, E> => Effect.runFork(effect.pipe(
    Effect.provideService(Clock.Clock, clock),
    Effect.provideService(Scheduler.Scheduler, scheduler)
  ), { scheduler })

  return {
    clock: () => now,
    fork,
    run: effect => {
      const fiber = fork(effect)
      do runPendingTasks(); while (fiber.pollUnsafe() === undefined && fireNextTimer())
      const exit = fiber.pollUnsafe()
      if (exit === undefined) throw new Error('the effect is blocked: no task or timer is pending')
      return exit
    }
  }
}
