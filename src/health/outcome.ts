/** What an outcome of an attempt says about the health of its target. */
import type { Result } from '../model/index.js'

/** A result, or `slow`: a whole answer that took much longer than those of the other targets. */
export type Outcome = Result | 'slow'

/** Every outcome, in the order in which explanations list them. */
export const OUTCOMES = [
  'answered', 'slow', 'failed', 'truncated', 'timeout', 'unreachable', 'silent', 'reset', 'shed', 'draining', 'cancelled', 'misdirected'
] as const satisfies readonly Outcome[]

/** A number of equal outcomes at one target in one class. */
export interface Count {
  readonly target: string
  readonly class: string
  readonly outcome: Outcome
  readonly count: number
}

/** `neutral` outcomes are truthful refusals and callers that went away. */
export type Meaning = 'good' | 'bad' | 'neutral'

const MEANINGS: Readonly<Record<Outcome, Meaning>> = {
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

/** Whether an outcome speaks for or against the target. */
export function meaningOf (outcome: Outcome): Meaning {
  return MEANINGS[outcome]
}

/** Whether the path between the VM and the target may be the cause, since nothing came back from the target. */
export function mayBePath (outcome: Outcome): boolean {
  return isPathFailure(outcome) || outcome === 'timeout'
}

/** Whether the target was not reached at all. */
export function isPathFailure (outcome: Outcome): boolean {
  return outcome === 'unreachable' || outcome === 'silent'
}
