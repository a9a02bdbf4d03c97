/** The fixed set of error kinds and the HTTP response to each. */
export { errorData, type ErrorKind, type RunState, type ErrorEntry } from './error-data.js'
export { refusal, toErrorResponse, isRefusal, type Refusal, type RefusalResponse } from './refusal.js'
