/**
 * Detects that a draining target has stopped and a new process has replaced it at the same address.
 *
 * A draining target gets no requests, so requests cannot reveal the replacement. A refused
 * connection shows that the process has stopped, and a later accepted one that a new process is
 * listening. The connections carry no request and are closed immediately.
 */
import { Effect } from 'effect'
import type { Target } from '../model/index.js'

/** Outcome of a connection attempt. It is `unknown` after a timeout, or if the network is unreachable. */
export type ConnectOutcome = 'accepted' | 'refused' | 'unknown'

/** Opens a connection to a target and closes it immediately. */
export type TryConnect = (target: Target) => Effect.Effect<ConnectOutcome>

/** Interval between connection attempts to a draining target, in ms. */
export const CONNECT_INTERVAL_MS = 1_000

/** Detects restarts of draining targets. */
export interface RestartDetector {
  /**
   * Connects to the draining targets at the interval, and stops watching all others.
   *
   * @returns ids of the draining targets whose process was replaced, each once
   */
  readonly tick: (draining: readonly Target[], now: number) => readonly string[]
}

interface TargetWatch {
  readonly target: Target
  lastAttemptAt: number
  isConnecting: boolean
  hasStopped: boolean
  hasRestarted: boolean
}

function recordOutcome (watch: TargetWatch, outcome: ConnectOutcome): void {
  watch.isConnecting = false
  if (outcome === 'refused') watch.hasStopped = true
  if (outcome === 'accepted' && watch.hasStopped) watch.hasRestarted = true
}

/**
 * Creates a detector that watches no target yet.
 *
 * @example
 * const detector = createRestartDetector(target => Effect.succeed('refused'))
 * detector.tick([target], now) // []
 */
export function createRestartDetector (tryConnect: TryConnect): RestartDetector {
  let watches: ReadonlyMap<string, TargetWatch> = new Map()

  const watchOf = (target: Target): TargetWatch => {
    const previous = watches.get(target.id)
    if (previous?.target.address === target.address && previous.target.port === target.port) return previous
    return { target, lastAttemptAt: -Infinity, isConnecting: false, hasStopped: false, hasRestarted: false }
  }
  const attempt = (watch: TargetWatch, now: number): void => {
    if (watch.isConnecting || watch.hasRestarted || now - watch.lastAttemptAt < CONNECT_INTERVAL_MS) return
    watch.lastAttemptAt = now
    watch.isConnecting = true
    Effect.runFork(Effect.map(tryConnect(watch.target), outcome => recordOutcome(watch, outcome)))
  }
  return {
    tick: (draining, now) => {
      watches = new Map(draining.map(target => [target.id, watchOf(target)]))
      for (const watch of watches.values()) attempt(watch, now)
      return [...watches].filter(([, { hasRestarted }]) => hasRestarted).map(([target]) => target)
    }
  }
}
