/** Counts finished requests and attempts at targets. */
import type { Metrics } from './metrics.js'

const NONE = 'none'

const requestsTotal = {
  name: 'camphorbay_requests_total', help: 'Finished requests by how they ended.', labels: ['service', 'class', 'ending']
}
const refusalsTotal = {
  name: 'camphorbay_refusals_total', help: 'Refused requests by kind and run state.', labels: ['service', 'kind', 'run']
}
const attemptsTotal = {
  name: 'camphorbay_attempts_total', help: 'Attempts at targets by result.', labels: ['service', 'target', 'result']
}

/** A finished request as the counters see it. */
export interface CountedRequest {
  readonly service: string | undefined
  readonly class: string | undefined
  readonly caller: string
  readonly ending: string
  readonly kind: string | undefined
  readonly run: string
  readonly durationMs: number
}

/** An attempt as the counters see it. */
export interface CountedAttempt {
  readonly service: string
  readonly target: string
  readonly result: string
  readonly latencyMs: number
}

/** Counters of requests and attempts. */
export interface TrafficCounters {
  readonly finished: (request: CountedRequest) => void
  readonly observed: (attempt: CountedAttempt) => void
}

/**
 * Registers the counters.
 *
 * @example
 * const counters = createTrafficCounters(metrics)
 * counters.finished(request)
 */
export function createTrafficCounters (metrics: Metrics): TrafficCounters {
  const requests = metrics.counter(requestsTotal)
  const refusals = metrics.counter(refusalsTotal)
  const attempts = metrics.counter(attemptsTotal)
  return {
    finished: ({ service = NONE, class: className = NONE, caller, ending, kind, run, durationMs }) => {
      requests.add({ service, class: className, ending })
      if (kind !== undefined) refusals.add({ service, kind, run })
      if (ending === 'answered') metrics.recordRequest({ service, class: className, tenant: caller, latencyMs: durationMs })
    },
    observed: ({ service, target, result, latencyMs }) => {
      attempts.add({ service, target, result })
      if (result === 'answered') metrics.recordAttempt({ service, target, latencyMs })
    }
  }
}
