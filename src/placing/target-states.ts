/** State of the targets in the view of this VM, from its own requests and the reports of other VMs. */
import type { Catalog, Listing } from '../catalog/index.js'
import type { Log } from '../log/index.js'
import { hashText } from '../membership/index.js'
import type { Announcement, Mesh, Observation } from '../model/index.js'
import type { Candidate } from './choose-target.js'
import { createTargetAnnouncements, type TargetAnnouncements } from './target-announcements.js'
import { createTargetLoads, type TargetLoads } from './target-loads.js'
import { createLatencies, type Latencies } from './latencies.js'
import { healthReportChannel, type HealthReport } from './messages.js'
import { createCircuitBreakers, type CircuitState, type CircuitBreakers } from './circuit-breaker.js'

/** Open times after a failed response, in ms; failures of a target last some seconds. */
const FAILURE_OPEN_MS = [500, 700, 1000] as const
/** Open times after a connection failure or time-out, in ms; perhaps only the path from this VM is affected. */
const PATH_OPEN_MS = [400, 800, 1600, 2500] as const
/** Open times after a target reported that it is overloaded, in ms. */
const OVERLOAD_OPEN_MS = [100, 200, 400] as const
/** Open times after another target responded at the address, in ms: the listing is stale until it changes. */
const ADDRESS_OPEN_MS = [2500, 5000, 10_000] as const
/** Two truncated responses within this time count as a failure, in ms. */
const TRUNCATION_PAIR_MS = 2000
/** Delay between the turns of successive VMs to probe a target, in ms. */
const PROBE_STAGGER_MS = 150
/** A request is overdue, and the path to its target suspect, after this multiple of its class's average latency. */
const OVERDUE_FACTOR = 6
const OVERDUE_MIN_MS = 1000

/** Target states of this VM. Times are in ms on the VM's clock. */
export interface TargetStates {
  readonly loads: TargetLoads
  readonly latenciesOf: (service: string) => Latencies
  readonly announcements: TargetAnnouncements
  /** Targets that may get requests. */
  readonly candidates: (service: string, avoid: ReadonlySet<string>, now: number) => readonly Candidate[]
  readonly circuitOf: (target: string, now: number) => CircuitState
  /** Records the announcement in the response to a request. */
  readonly recordAnnouncement: (listing: Listing, announcement: Announcement, requestId: string, now: number) => void
  /** Targets of the service that announced that they take no requests now. */
  readonly announced: (service: string, now: number) => AnnouncedTargets
  /** Marks a target as being probed, until `recordOutcome`. */
  readonly beginProbe: (target: string) => void
  /** Records the outcome of a request that got its slot at `grantedAt`. */
  readonly recordOutcome: (listing: Listing, observation: Observation | undefined, grantedAt: number, now: number) => void
  /** Marks the path to a target as suspect if a request in flight there is overdue. */
  readonly checkOverdue: (listing: Listing, className: string, grantedAt: number, now: number) => void
  /** Removes the state of targets that are no longer in the catalog. */
  readonly prune: () => void
}

/** Targets of a service that announced that they take no requests now. */
export interface AnnouncedTargets {
  readonly leaving: number
  readonly paused: number
  /** Time until the first pause ends, in ms; Infinity if no target paused. */
  readonly pauseEndMs: number
}

/** Dependencies of the target states. */
export interface TargetStatesOptions {
  readonly self: string
  readonly catalog: Catalog
  readonly mesh: Mesh
  /** Names of the VMs that serve callers, this VM included. The same array while they do not change. */
  readonly servingVMs: (now: number) => readonly string[]
  readonly clock: () => number
  readonly log: Log
}

interface ProbeOrder {
  readonly vms: readonly string[]
  readonly earlierVMs: Map<string, number>
}

/** Exclusive upper bound of `hashText`. */
const HASH_RANGE = 2 ** 32

const SEVERITY: Readonly<Record<CircuitState, number>> = { sound: 0, due: 1, held: 2 }

/** Creates target states; every circuit is closed. */
export function createTargetStates (options: TargetStatesOptions): TargetStates {
  const { self, catalog, mesh, log, clock } = options
  /** Failed responses: evidence about the target that is valid for every VM. */
  const responseBreakers = createCircuitBreakers(FAILURE_OPEN_MS)
  /** Connection failures and time-outs: evidence about the path from this VM only. */
  const pathBreakers = createCircuitBreakers(PATH_OPEN_MS)
  const overloadBreakers = createCircuitBreakers(OVERLOAD_OPEN_MS)
  const addressBreakers = createCircuitBreakers(ADDRESS_OPEN_MS)
  const allBreakers: readonly CircuitBreakers[] = [responseBreakers, pathBreakers, overloadBreakers, addressBreakers]
  const loads = createTargetLoads()
  const announcements = createTargetAnnouncements({ isListed: (id, startedAt) => catalog.find(id)?.startedAt === startedAt, log })
  const latencies = new Map<string, Latencies>()
  const probed = new Set<string>()
  const truncatedAt = new Map<string, number>()
  const incarnations = new Map<string, number>()
  /** Number of VMs before this one in the probe order of each target, for one list of serving VMs. */
  let probeOrder: ProbeOrder = { vms: [], earlierVMs: new Map() }

  const latenciesOf = (service: string): Latencies => {
    const known = latencies.get(service)
    if (known !== undefined) return known
    const created = createLatencies()
    latencies.set(service, created)
    return created
  }

  const circuitOf = (target: string, now: number): CircuitState => {
    let worst: CircuitState = 'sound'
    for (const breakers of allBreakers) {
      const circuit = breakers.stateOf(target, now)
      if (SEVERITY[circuit] > SEVERITY[worst]) worst = circuit
    }
    return worst
  }

  /** Time since the last of the target's circuits became half-open, in ms; negative while one is open. */
  const halfOpenMsOf = (target: string, now: number): number => {
    const suspecting = allBreakers.filter(breakers => breakers.stateOf(target, now) !== 'sound')
    return Math.min(...suspecting.map(breakers => breakers.halfOpenMs(target, now)))
  }

  const broadcastHealth = (listing: Listing, hasFailed: boolean): void => {
    const report: HealthReport = [listing.id, listing.startedAt, hasFailed ? 1 : 0]
    // Other VMs get hardly any requests; one that starts to serve learns of a failing target with its first request there.
    for (const vm of options.servingVMs(clock())) if (vm !== self) mesh.send(vm, healthReportChannel, report)
  }

  const markSuspect = (listing: Listing, reason: string, requestId: string, now: number): void => {
    if (!responseBreakers.recordFailure(listing.id, now, loads.lastSuccessAt(listing.id))) return
    log.info('target.suspect', { target: listing.id, reason, requestId })
    broadcastHealth(listing, true)
  }

  const markPathSuspect = (listing: Listing, reason: string, requestId: string, now: number): void => {
    if (pathBreakers.recordFailure(listing.id, now)) log.info('target.path-suspect', { target: listing.id, reason, requestId })
  }

  const recordTruncated = (listing: Listing, requestId: string, now: number): void => {
    const previousAt = truncatedAt.get(listing.id) ?? -Infinity
    truncatedAt.set(listing.id, now)
    if (now - previousAt <= TRUNCATION_PAIR_MS) markSuspect(listing, 'two truncated responses', requestId, now)
  }

  const isOverdue = (listing: Listing, className: string, grantedAt: number, now: number): boolean => {
    const averageMs = latenciesOf(listing.service).averageMs(className)
    return averageMs !== undefined && now - grantedAt >= Math.max(OVERDUE_MIN_MS, OVERDUE_FACTOR * averageMs)
  }

  const recordSuccess = (listing: Listing, observation: Observation, grantedAt: number, now: number): void => {
    // The response to an overdue request shows that the path was slow, not broken.
    pathBreakers.recordSuccess(listing.id, isOverdue(listing, observation.class, grantedAt, now) ? now : grantedAt)
    loads.recordSuccess(listing.id, now)
    latenciesOf(listing.service).record(observation.class, listing.id, observation.latencyMs, now)
    overloadBreakers.recordSuccess(listing.id, grantedAt)
    addressBreakers.recordSuccess(listing.id, grantedAt)
    if (!responseBreakers.recordSuccess(listing.id, grantedAt)) return
    log.info('target.sound', { target: listing.id, requestId: observation.requestId })
    broadcastHealth(listing, false)
  }

  const applyObservation = (listing: Listing, observation: Observation, grantedAt: number, now: number): void => {
    const { result, requestId = '' } = observation
    switch (result) {
      case 'answered': return recordSuccess(listing, observation, grantedAt, now)
      case 'failed':
      case 'reset': return markSuspect(listing, result, requestId, now)
      case 'truncated': return recordTruncated(listing, requestId, now)
      case 'timeout':
      case 'unreachable':
      case 'silent': return markPathSuspect(listing, result, requestId, now)
      case 'misdirected':
        addressBreakers.recordFailure(listing.id, now)
        log.info('target.misdirected', { target: listing.id, requestId })
        return
      case 'shed':
      case 'draining': overloadBreakers.recordFailure(listing.id, now); return
      case 'cancelled': return checkOverdue(listing, observation.class, grantedAt, now)
    }
  }

  const checkOverdue = (listing: Listing, className: string, grantedAt: number, now: number): void => {
    if (!isOverdue(listing, className, grantedAt, now)) return
    // The path works if the target answered another request meanwhile.
    if (loads.lastOwnSuccessAt(listing.id) > grantedAt) return
    if (pathBreakers.stateOf(listing.id, now) !== 'held') markPathSuspect(listing, 'overdue', '', now)
  }

  const countEarlierVMs = (target: string, vms: readonly string[]): number => {
    const ownOrder = hashText(`trial\n${target}\n${self}`)
    return vms.filter(vm => vm !== self && hashText(`trial\n${target}\n${vm}`) < ownOrder).length
  }

  /** Delay before this VM may probe a target; staggers the VMs in an order that differs for each target. */
  const probeDelayMs = (target: string, now: number): number => {
    const vms = options.servingVMs(now)
    if (vms !== probeOrder.vms) probeOrder = { vms, earlierVMs: new Map() }
    const earlierVMs = probeOrder.earlierVMs.get(target) ?? countEarlierVMs(target, vms)
    probeOrder.earlierVMs.set(target, earlierVMs)
    return PROBE_STAGGER_MS * earlierVMs
  }

  const affinities = new Map<string, number>()
  const affinityOf = (target: string): number => {
    const known = affinities.get(target) ?? hashText(`affinity\n${target}\n${self}`) / HASH_RANGE
    affinities.set(target, known)
    return known
  }

  const candidateOf = (listing: Listing, now: number): Candidate => {
    const { id } = listing
    const circuit = circuitOf(id, now)
    const isSharedProbe = circuit !== 'sound' && responseBreakers.stateOf(id, now) === 'due'
    const warmupFactor = listing.warmupMs > 0 ? 2 : 1
    return {
      listing,
      circuit,
      halfOpenMs: circuit === 'sound' ? 0 : halfOpenMsOf(id, now),
      load: loads.total(id, now),
      relativeLatency: Math.max(warmupFactor, latenciesOf(listing.service).relativeLatency(id, now)),
      lastSuccessAgeMs: now - loads.lastSuccessAt(id),
      isBeingProbed: probed.has(id),
      affinity: affinityOf(id),
      probeDelayMs: isSharedProbe ? probeDelayMs(id, now) : 0
    }
  }

  mesh.subscribe(healthReportChannel, (from, [id, startedAt, hasFailed]) => {
    const now = clock()
    const listing = catalog.find(id)
    if (listing === undefined || listing.startedAt !== startedAt) return
    log.info('verdict.heard', { target: id, from: from.vm, failed: hasFailed === 1 })
    if (hasFailed === 1) responseBreakers.recordFailure(id, now, loads.lastSuccessAt(id))
    else responseBreakers.close(id)
  })

  /** Closes the circuits of restarted targets: failures of the previous process say nothing about the new one. */
  catalog.onChange(() => {
    for (const { id, startedAt } of catalog.listings()) {
      if (incarnations.get(id) === startedAt) continue
      if (incarnations.has(id)) for (const breakers of allBreakers) breakers.close(id)
      incarnations.set(id, startedAt)
    }
  })

  return {
    loads,
    latenciesOf,
    circuitOf,
    announcements,
    candidates: (service, avoid, now) => catalog.usable(service)
      .filter(listing => !avoid.has(listing.id) && announcements.stateOf(listing, now) === undefined)
      .map(listing => candidateOf(listing, now)),
    recordAnnouncement: (listing, announcement, requestId, now) => {
      announcements.record(listing, announcement, requestId, now)
      // After the pause, one request at a time probes the target, also if this response is not used.
      if (announcement.pauseMs !== undefined) overloadBreakers.recordFailure(listing.id, now)
    },
    announced: (service, now) => {
      const remainingMs = catalog.usable(service).map(listing => announcements.remainingMs(listing, now)).filter(ms => ms > 0)
      const pausesMs = remainingMs.filter(Number.isFinite)
      return { leaving: remainingMs.length - pausesMs.length, paused: pausesMs.length, pauseEndMs: Math.min(...pausesMs) }
    },
    beginProbe: target => { probed.add(target) },
    recordOutcome: (listing, observation, grantedAt, now) => {
      probed.delete(listing.id)
      if (observation !== undefined) applyObservation(listing, observation, grantedAt, now)
    },
    checkOverdue,
    prune: () => {
      const isKnown = (target: string): boolean => catalog.find(target) !== undefined
      for (const breakers of allBreakers) breakers.retain(isKnown)
      loads.retain(isKnown)
      for (const known of [truncatedAt, incarnations, affinities]) for (const id of known.keys()) if (!isKnown(id)) known.delete(id)
    }
  }
}
