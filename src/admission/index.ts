/** Admission of requests to targets: bounded fair queue, target selection and retry budget. */
export { createAdmission, type AdmissionControl, type AdmissionOptions } from './admission.js'
export { createRetryBudget, type RetryBudget } from './retry-budget.js'
export type { ServiceUse, TargetUse } from './service-state.js'
