/** Load generator that verifies every response and, with the counters of the targets, the run states that the fleet reported. */
export { runLoad } from './caller.js'
export { findViolations, type AttemptRecord, type Report, type RequestRecord, type GuaranteeViolations } from './report.js'
export type { AttemptResult, RunState } from './attempt.js'
export type { Address, LoadPlan, RequestKind } from './load-plan.js'
