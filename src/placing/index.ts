/** Load balancing of requests over targets: target selection, admission queue and retry budget. */
export { createLoadBalancer, type LoadBalancer, type LoadBalancerOptions } from './load-balancer.js'
export type { RetryBudgetLimits } from './retry-budget.js'
export { createRetryShare, type RetryShare, type ServingCount } from './retry-share.js'
