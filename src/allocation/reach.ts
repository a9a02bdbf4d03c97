/** Which targets this VM itself cannot reach. */
import { isPathFailure, healthSignalOf, type Outcome } from '../health/index.js'

/** How long a path failure counts when nothing else is known of the target. */
const PATH_MEMORY_MS = 5_000

/** The paths from this VM to the targets of one service. */
export interface Reach {
  readonly add: (target: string, outcome: Outcome, now: number) => void
  readonly unreachable: (now: number) => ReadonlySet<string>
}

/** Creates a view in which every target is reachable. */
export function createReach (): Reach {
  const failedAt = new Map<string, number>()
  return {
    add: (target, outcome, now) => {
      if (isPathFailure(outcome)) failedAt.set(target, now)
      else if (healthSignalOf(outcome) === 'good') failedAt.delete(target)
    },
    unreachable: now => {
      for (const [target, at] of failedAt) if (now - at >= PATH_MEMORY_MS) failedAt.delete(target)
      return new Set(failedAt.keys())
    }
  }
}
