/** Metrics of an edge VM. */
import type { FinishedRequest } from '../entry/index.js'
import type { Log } from '../log/index.js'
import { createMetrics, createTrafficCounters, type Sample } from '../metrics/index.js'
import type { Clock, Observation } from '../model/index.js'
import type { EdgeComponents } from './edge.js'

const edgeGauge = { name: 'camphorbay_edge', help: 'What this VM believes and holds.', labels: ['value'] }
const storeCallsTotal = { name: 'camphorbay_store_calls', help: 'Calls to the store by section and outcome.', labels: ['section', 'outcome'] }
const targetPhases = { name: 'camphorbay_targets', help: 'Targets by standing.', labels: ['phase'] }

/** Interval between log lines about the load, in ms. */
const LOAD_LOG_INTERVAL_MS = 2000
/** The load is logged only if there were requests, or from this utilisation. */
const LOGGED_UTILISATION = 0.3

/** Counts requests and attempts, logs the load, and renders the metrics. */
export interface Instruments {
  readonly recordRequest: (request: FinishedRequest) => void
  readonly recordObservation: (observation: Observation) => void
  /** Logs the load of this VM at intervals; called periodically. */
  readonly logLoad: (components: EdgeComponents, now: number) => void
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

  const registerGauges = ({ catalog, mesh, roster, catalogSync, loadBalancer, entry, loadMeter }: EdgeComponents): void => {
    metrics.gauge(edgeGauge, () => {
      const now = clock()
      const { requestsInFlight, callerConnections, targetConnections, unsentBytes } = entry.state()
      const values: Readonly<Record<string, number>> = {
        ruleset_version: catalog.ruleset()?.version ?? 0,
        store_era: catalog.era(),
        confirmed_age_seconds: catalogSync.confirmedAgeMs(now) / 1000,
        linked_vms: roster.linked().length,
        serving: roster.isServing(now) ? 1 : 0,
        requests_in_flight: requestsInFlight,
        caller_connections: callerConnections,
        target_connections: targetConnections,
        unsent_bytes: unsentBytes,
        utilisation: loadMeter.utilisation(),
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
      const phases = catalog.listings().map(listing => listing.draining ? 'draining' : loadBalancer.targets.announcements.stateOf(listing, now) ?? loadBalancer.targets.circuitOf(listing.id, now))
      return [...new Set(phases)].map((phase): Sample => ({ labels: { phase }, value: phases.filter(each => each === phase).length }))
    })
  }

  let finishedRequests = 0
  let lastLog = { at: clock(), finishedRequests: 0, framesSent: 0, framesReceived: 0 }
  const logLoad = ({ mesh, roster, entry, loadMeter }: EdgeComponents, now: number): void => {
    const seconds = (now - lastLog.at) / 1000
    if (now - lastLog.at < LOAD_LOG_INTERVAL_MS) return
    const previous = lastLog
    const { framesSent, framesReceived } = mesh.traffic()
    lastLog = { at: now, finishedRequests, framesSent, framesReceived }
    const utilisation = loadMeter.utilisation()
    if (finishedRequests === previous.finishedRequests && utilisation < LOGGED_UTILISATION) return
    const { requestsInFlight, callerConnections, unsentBytes } = entry.state()
    const perSecond = (count: number, before: number): number => Math.round((count - before) / seconds)
    log.info('vm.load', {
      utilisation: Number(utilisation.toFixed(2)),
      requestsPerSecond: perSecond(finishedRequests, previous.finishedRequests),
      framesSentPerSecond: perSecond(framesSent, previous.framesSent),
      framesReceivedPerSecond: perSecond(framesReceived, previous.framesReceived),
      requestsInFlight,
      callerConnections,
      unsentBytes,
      links: roster.linked().length,
      serving: roster.isServing(now)
    })
  }

  return {
    logLoad,
    recordRequest: request => {
      finishedRequests++
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
