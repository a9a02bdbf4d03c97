/** Outcomes of attempts, and what they indicate about the health of a target. */
import type { Result } from '../model/index.js'

/** A result, or `slow`: a complete response that took much longer than the responses of other targets. */
export type Outcome = Result | 'slow'

/** All outcomes, in the order in which explanations list them. The names are part of messages between VMs. */
export const OUTCOMES = [
  'answered', 'slow', 'failed', 'truncated', 'timeout', 'unreachable', 'silent', 'reset', 'shed', 'draining', 'cancelled', 'misdirected'
] as const satisfies readonly Outcome[]

/** Number of attempts at one target, in one class, with the same outcome. */
export interface Count {
  readonly target: string
  readonly class: string
  readonly outcome: Outcome
  readonly count: number
}

/**
 * Effect of an outcome on the health of its target. `neutral`: the target truthfully refused the request, or the
 * caller disconnected.
 */
export type HealthSignal = 'good' | 'bad' | 'neutral'

const SIGNALS: Readonly<Record<Outcome, HealthSignal>> = {
  answered: 'good',
  slow: 'bad',
  failed: 'bad',
  truncated: 'bad',
  timeout: 'bad',
  unreachable: 'bad',
  silent: 'bad',
  reset: 'bad',
  shed: 'neutral',
  draining: 'neutral',
  cancelled: 'neutral',
  misdirected: 'neutral'
}

/** Returns whether an outcome is evidence of a healthy target, of an unhealthy one, or neither. */
export function healthSignalOf (outcome: Outcome): HealthSignal {
  return SIGNALS[outcome]
}

/** Whether a broken path between the VM and the target may be the cause, because nothing arrived from the target. */
export function mayBePathFailure (outcome: Outcome): boolean {
  return isPathFailure(outcome) || outcome === 'timeout'
}

/** Whether the request did not reach the target. */
export function isPathFailure (outcome: Outcome): boolean {
  return outcome === 'unreachable' || outcome === 'silent'
}
