/** Metrics of an edge VM. */
import type { FinishedRequest } from '../entry/index.js'
import type { Log } from '../log/index.js'
import { createMetrics, createTrafficCounters, type Sample } from '../metrics/index.js'
import type { Clock, Observation } from '../model/index.js'
import type { EdgeComponents } from './edge.js'

const edgeGauge = { name: 'camphorbay_edge', help: 'What this VM believes and holds.', labels: ['value'] }
const storeCallsTotal = { name: 'camphorbay_store_calls', help: 'Calls to the store by section and outcome.', labels: ['section', 'outcome'] }
const targetPhases = { name: 'camphorbay_targets', help: 'Targets by standing.', labels: ['phase'] }

/** Counts requests and attempts, and renders the metrics. */
export interface Instruments {
  readonly recordRequest: (request: FinishedRequest) => void
  readonly recordObservation: (observation: Observation) => void
  /** All metrics in the Prometheus text format. */
  readonly render: (components: EdgeComponents) => string
}

/** Creates the instruments of a VM. */
export function createInstruments (log: Log, clock: Clock): Instruments {
  const metrics = createMetrics()
  const counters = createTrafficCounters(metrics)

  const logFailure = ({ requestId, service, class: className, ending, kind, detail, status, run, durationMs, attempts }: FinishedRequest): void => {
    if (ending === 'answered' && (status ?? 0) < 500) return
    log.info(`request.${ending}`, {
      requestId, service, class: className, kind, detail, status, run, durationMs: Math.round(durationMs), attempts
    })
  }

  const registerGauges = ({ catalog, mesh, roster, catalogSync, loadBalancer, entry }: EdgeComponents): void => {
    metrics.gauge(edgeGauge, () => {
      const now = clock()
      const { requestsInFlight, callerConnections, targetConnections } = entry.state()
      const values: Readonly<Record<string, number>> = {
        ruleset_version: catalog.ruleset()?.version ?? 0,
        confirmed_age_seconds: catalogSync.confirmedAgeMs(now) / 1000,
        linked_vms: roster.linked().length,
        serving: roster.isServing(now) ? 1 : 0,
        requests_in_flight: requestsInFlight,
        caller_connections: callerConnections,
        target_connections: targetConnections,
        ...mesh.traffic()
      }
      return Object.entries(values).map(([value, number]): Sample => ({ labels: { value }, value: number }))
    })
    metrics.gauge(storeCallsTotal, () => [...catalogSync.calls()].map(([key, value]): Sample => {
      const [section = '', outcome = ''] = key.split(' ')
      return { labels: { section, outcome }, value }
    }))
    metrics.gauge(targetPhases, () => {
      const now = clock()
      const phases = catalog.listings().map(({ id, draining }) => draining ? 'draining' : loadBalancer.targets.circuitOf(id, now))
      return [...new Set(phases)].map((phase): Sample => ({ labels: { phase }, value: phases.filter(each => each === phase).length }))
    })
  }

  return {
    recordRequest: request => {
      counters.recordRequest(request)
      logFailure(request)
    },
    recordObservation: counters.recordAttempt,
    render: components => {
      registerGauges(components)
      return metrics.text()
    }
  }
}
