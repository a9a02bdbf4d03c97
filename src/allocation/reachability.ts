/** Tracks the targets that this VM itself cannot reach. */
import { isPathFailure, healthSignalOf, type Outcome } from '../health/index.js'

/** Time after which a path failure expires if no other outcome is known, in ms. */
const PATH_FAILURE_TTL_MS = 5_000

/** Reachability of the targets of one service from this VM. */
export interface Reachability {
  readonly recordOutcome: (target: string, outcome: Outcome, now: number) => void
  readonly unreachable: (now: number) => ReadonlySet<string>
}

/** Creates a tracker in which every target is reachable. */
export function createReachability (): Reachability {
  const failedAt = new Map<string, number>()
  return {
    recordOutcome: (target, outcome, now) => {
      if (isPathFailure(outcome)) failedAt.set(target, now)
      else if (healthSignalOf(outcome) === 'good') failedAt.delete(target)
    },
    unreachable: now => {
      for (const [target, at] of failedAt) if (now - at >= PATH_FAILURE_TTL_MS) failedAt.delete(target)
      return new Set(failedAt.keys())
    }
  }
}
