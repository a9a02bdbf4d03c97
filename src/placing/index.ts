/** Where requests go: choice of targets, waiting, refusing and repeating. */
export { createPlacing, type Placing, type PlacingOptions } from './placing.js'
export type { RetryAllowance } from './retry-budget.js'
