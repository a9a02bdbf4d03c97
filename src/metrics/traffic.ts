/** Counts finished requests and attempts at targets. */
import type { Metrics } from './metrics.js'

const NO_LABEL_VALUE = 'none'

const requestsTotal = {
  name: 'camphorbay_requests_total', help: 'Finished requests by how they ended.', labels: ['service', 'class', 'ending']
}
const refusalsTotal = {
  name: 'camphorbay_refusals_total', help: 'Refused requests by kind and run state.', labels: ['service', 'kind', 'run']
}
const attemptsTotal = {
  name: 'camphorbay_attempts_total', help: 'Attempts at targets by result.', labels: ['service', 'target', 'result']
}

/** Fields of a finished request that the counters use. */
export interface CountedRequest {
  readonly service: string | undefined
  readonly class: string | undefined
  readonly caller: string
  readonly ending: string
  readonly kind: string | undefined
  readonly run: string
  readonly durationMs: number
}

/** Fields of an attempt that the counters use. */
export interface CountedAttempt {
  readonly service: string
  readonly target: string
  readonly result: string
  readonly latencyMs: number
}

/** Counters of requests and attempts. */
export interface TrafficCounters {
  readonly recordRequest: (request: CountedRequest) => void
  readonly recordAttempt: (attempt: CountedAttempt) => void
}

/**
 * Registers the request, refusal and attempt counters.
 *
 * @example
 * const counters = createTrafficCounters(metrics)
 * counters.recordRequest(request)
 */
export function createTrafficCounters (metrics: Metrics): TrafficCounters {
  const requests = metrics.counter(requestsTotal)
  const refusals = metrics.counter(refusalsTotal)
  const attempts = metrics.counter(attemptsTotal)
  return {
    recordRequest: ({ service = NO_LABEL_VALUE, class: className = NO_LABEL_VALUE, caller, ending, kind, run, durationMs }) => {
      requests.add({ service, class: className, ending })
      if (kind !== undefined) refusals.add({ service, kind, run })
      if (ending === 'answered') metrics.recordRequest({ service, class: className, tenant: caller, latencyMs: durationMs })
    },
    recordAttempt: ({ service, target, result, latencyMs }) => {
      attempts.add({ service, target, result })
      if (result === 'answered') metrics.recordAttempt({ service, target, latencyMs })
    }
  }
}
