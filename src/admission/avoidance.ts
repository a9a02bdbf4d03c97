import type { Observation, Result } from '../model/index.js'

/** Results after which this VM prefers other targets. */
const FAILURE_RESULTS: ReadonlySet<Result> = new Set(['failed', 'truncated', 'timeout', 'unreachable', 'silent', 'reset'])

/** Time for which a target is avoided after a failure; doubles with each consecutive failure. */
const BASE_AVOIDANCE_MS = 1000

/** The fleet detects an unhealthy target in about a second, so longer avoidance by a single VM adds nothing. */
const MAX_AVOIDANCE_MS = 8000

/**
 * Time for which a target counts as draining after a `draining` response: until its announcement has reached the
 * fleet. A target that restarted is used again after this time at the latest.
 */
const DRAINING_TTL_MS = 10_000

interface TargetState {
  readonly consecutiveFailures: number
  readonly avoidedUntil: number
  readonly drainingUntil: number
}

const INITIAL_STATE: TargetState = { consecutiveFailures: 0, avoidedUntil: -Infinity, drainingUntil: -Infinity }

/** Recent failures and drain responses of the targets of one service, as observed by this VM alone. */
export interface Avoidance {
  readonly record: (observation: Observation, now: number) => void
  /** Whether other targets are preferred because of a recent failure. An avoided target can still be used. */
  readonly isAvoided: (target: string, now: number) => boolean
  /** Whether the target recently responded to this VM that it is draining. */
  readonly isDraining: (target: string, now: number) => boolean
  /** Removes the state of all other targets. */
  readonly retain: (targets: ReadonlySet<string>) => void
}

function nextState (state: TargetState, result: Result, now: number): TargetState {
  if (result === 'draining') return { ...state, drainingUntil: now + DRAINING_TTL_MS }
  if (result === 'answered') return { ...state, consecutiveFailures: 0 }
  if (!FAILURE_RESULTS.has(result)) return state
  const avoidanceMs = Math.min(MAX_AVOIDANCE_MS, BASE_AVOIDANCE_MS * 2 ** state.consecutiveFailures)
  return { ...state, consecutiveFailures: state.consecutiveFailures + 1, avoidedUntil: now + avoidanceMs }
}

/** Creates an avoidance without recorded results. */
export function createAvoidance (): Avoidance {
  const targets = new Map<string, TargetState>()
  const stateOf = (target: string): TargetState => targets.get(target) ?? INITIAL_STATE
  return {
    record: ({ target, result }, now) => {
      const state = stateOf(target)
      const next = nextState(state, result, now)
      if (next !== state && (next.avoidedUntil > now || next.drainingUntil > now)) targets.set(target, next)
      else if (next !== state) targets.delete(target)
    },
    isAvoided: (target, now) => stateOf(target).avoidedUntil > now,
    isDraining: (target, now) => stateOf(target).drainingUntil > now,
    retain: kept => { for (const target of targets.keys()) if (!kept.has(target)) targets.delete(target) }
  }
}
