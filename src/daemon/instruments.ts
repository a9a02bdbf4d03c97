/** Metrics and recently refused requests of an entry VM. */
import type { FinishedRequest } from '../entry/index.js'
import { createMetrics, createTrafficCounters, type Sample } from '../metrics/index.js'
import type { Clock, Observation } from '../model/index.js'
import type { RecentRequests } from '../operators/index.js'
import type { Settings } from '../settings/index.js'
import type { FleetComponents } from './fleet-components.js'
import type { ServingComponents } from './serving-components.js'

/** Counts requests and attempts, keeps the recently refused requests, and renders the metrics. */
export interface Instruments {
  readonly recordRequest: (request: FinishedRequest) => void
  readonly recordObservation: (observation: Observation) => void
  /** All metrics in the Prometheus text format. */
  readonly render: (serving: ServingComponents, now: number) => string
}

/** Dependencies of the instruments. */
export interface InstrumentsOptions {
  readonly settings: Settings
  readonly fleet: FleetComponents
  readonly recentRequests: RecentRequests
  readonly clock: Clock
  /** Wall-clock time in ms since the Unix epoch, for display. Default: `Date.now`. */
  readonly wallClock?: () => number
}

const fleetGauge = { name: 'camphorbay_fleet', help: 'Values of the fleet as this VM sees them.', labels: ['value'] }
const entryGauge = { name: 'camphorbay_entry', help: 'Requests in flight and open connections.', labels: ['value'] }

/** Creates the instruments of a VM. */
export function createInstruments (options: InstrumentsOptions): Instruments {
  const { fleet, recentRequests, clock, wallClock = Date.now } = options
  const metrics = createMetrics()
  const counters = createTrafficCounters(metrics)

  metrics.gauge(fleetGauge, () => {
    const now = clock()
    const members = fleet.membership.members(now)
    const traffic = fleet.mesh.traffic()
    const sample = (value: string, number: number): Sample => ({ labels: { value }, value: number })
    return [
      sample('revision', fleet.replica.current().revision),
      sample('serving', fleet.replica.servingRefusal(now) === undefined ? 1 : 0),
      sample('members', members.length),
      sample('members_live', members.filter(member => member.state === 'live').length),
      sample('contacts', fleet.mesh.contacts().length),
      ...Object.entries(traffic).map(([name, number]) => sample(`control_${name}`, number))
    ]
  })

  return {
    recordRequest: request => {
      counters.recordRequest(request)
      if (request.kind !== undefined) recentRequests.add({ ...request, at: wallClock() })
    },
    recordObservation: counters.recordAttempt,
    render: serving => {
      const { requestsInFlight, callerConnections, targetConnections } = serving.entry.state()
      metrics.gauge(entryGauge, () => [
        { labels: { value: 'requests_in_flight' }, value: requestsInFlight },
        { labels: { value: 'caller_connections' }, value: callerConnections },
        { labels: { value: 'target_connections' }, value: targetConnections }
      ])
      return metrics.text()
    }
  }
}
