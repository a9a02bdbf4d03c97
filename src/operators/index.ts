/** The operator API: notes, state, explanations and metrics. */
export { createOperatorAPI, type OperatorAPI, type OperatorAPIOptions, type Endpoints } from './operator-api.js'
export { createRecentRequests, type RecentRequests, type RecentRequest } from './recent-requests.js'
