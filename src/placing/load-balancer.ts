/** Assigns requests to targets, or queues or refuses them. */
import { Effect } from 'effect'
import type { Catalog, Listing } from '../catalog/index.js'
import { refusal, type Refusal } from '../errors/index.js'
import type { Log } from '../log/index.js'
import type { Admission, Clock, Mesh, Observation, PlacementRequest, Slot, Target } from '../model/index.js'
import { chooseSuspectTarget, chooseTarget, type Candidate, type Selection } from './choose-target.js'
import { createRequestHistory, type RequestHistory } from './request-history.js'
import { expectedWaitMs, precedes, sortByPrecedence, latestStartAt, retryAfterMs, retryAfterPauseMs, shouldQueue, type QueuedRequest } from './admission-queue.js'
import { loadReportChannel } from './messages.js'
import { createRetryBudget, type RetryBudgetLimits, type RetryBudget } from './retry-budget.js'
import { createLoadReporter, type ReportIntervals } from './load-reporter.js'
import { createTargetStates, type TargetStates } from './target-states.js'

/** Interval of the periodic work, while there are requests and while there are none. */
const SWEEP_MS = 25
const IDLE_SWEEP_MS = 400
/** Intervals of load reports within and across zones. */
const ZONE_REPORTS: ReportIntervals = { minMs: 50, refreshMs: 300 }
const CROSS_ZONE_REPORTS: ReportIntervals = { minMs: 100, refreshMs: 400 }
/** Utilisation of the zone's healthy slots from which load reports go to other zones too: cross-zone traffic is billed. */
const CROSS_ZONE_REPORT_UTILISATION = 0.4
const PRUNE_MS = 5000
/** Latency assumed before the first response, in ms. */
const ASSUMED_LATENCY_MS = 200
/** Utilisation of the healthy slots above which suspect targets are needed. */
const SCARCE_UTILISATION = 0.6
/** Time in the half-open state after which a non-idempotent request may probe a target, in ms. */
const NON_IDEMPOTENT_PROBE_AFTER_MS = { noIdempotent: 1500, scarce: 500 } as const

const AVOID_NONE: ReadonlySet<string> = new Set()

/** Balances requests over the targets of each service. */
export interface LoadBalancer extends Admission {
  /** Withdraws one retry from the service's retry budget; false when the budget is exhausted. */
  readonly tryWithdrawRetry: (service: string, now: number) => boolean
  /** Adds the first attempt of a request to the service's retry budget. */
  readonly depositRetry: (service: string, now: number) => void
  /** Average latency of a class, in ms; undefined before the first response. */
  readonly averageLatencyMs: (service: string, className: string) => number | undefined
  /** Checks for overdue requests, serves the queues, and sends load reports to other VMs. */
  readonly sweep: (now: number) => void
  /** Calls `sweep` periodically until interrupted. */
  readonly maintain: Effect.Effect<never>
  readonly targets: TargetStates
  readonly queueLength: (service: string) => number
}

/** Dependencies of the load balancer. */
export interface LoadBalancerOptions {
  readonly self: string
  readonly zone: string
  readonly catalog: Catalog
  readonly mesh: Mesh
  /** Names of the VMs that serve callers, this VM included. */
  readonly servingVMs: (now: number) => readonly string[]
  /** Names of the serving VMs of this VM's zone, without this VM. */
  readonly zonePeers: (now: number) => readonly string[]
  /** Names of the serving VMs of other zones. */
  readonly otherZoneVMs: (now: number) => readonly string[]
  readonly retries: () => RetryBudgetLimits
  /** Part of the fleet's slack of retries that this VM may use, from 0 to 1. */
  readonly retryShare: (now: number) => number
  /** Receives the outcome of each attempt. */
  readonly observe: (observation: Observation, now: number) => void
  readonly random: () => number
  readonly log: Log
  readonly clock: Clock
}

interface QueueEntry extends QueuedRequest {
  readonly request: PlacementRequest
  readonly deliver: (slot: Slot) => void
  readonly refuse: (refused: Refusal) => void
}

/** Queue, retry budget and request history of one service. */
interface ServiceState {
  queue: QueueEntry[]
  readonly budget: RetryBudget
  readonly history: RequestHistory
}

/** Expected wait for a slot, and what it results from. */
interface WaitEstimate {
  readonly waitMs: number
  readonly reason: string
}

/** A request in flight. */
interface RunningRequest {
  readonly listing: Listing
  readonly className: string
  readonly grantedAt: number
}

function targetOf ({ id, address, port, zone, slots }: Listing, connections: number): Target {
  return { id, address, port, place: zone, slots, connections }
}

/** Fraction of the candidates' slots that is in use; Infinity without slots. */
function utilisationOf (candidates: readonly Candidate[]): number {
  const slots = candidates.reduce((sum, { listing }) => sum + listing.slots, 0)
  const load = candidates.reduce((sum, candidate) => sum + candidate.load, 0)
  return slots > 0 ? load / slots : Infinity
}

/** Whether most slots of the healthy targets are in use. */
function isScarce (candidates: readonly Candidate[]): boolean {
  return utilisationOf(candidates.filter(({ circuit }) => circuit === 'sound')) >= SCARCE_UTILISATION
}

/**
 * Creates the load balancer of one VM.
 *
 * @example
 * const balancer = createLoadBalancer(options)
 * const slot = yield * balancer.acquire(request, clock())
 */
export function createLoadBalancer (options: LoadBalancerOptions): LoadBalancer {
  const { catalog, mesh, clock, random, zone } = options
  const targets = createTargetStates(options)
  const services = new Map<string, ServiceState>()
  const running = new Set<RunningRequest>()

  const stateOf = (service: string): ServiceState => {
    const existing = services.get(service)
    if (existing !== undefined) return existing
    const state: ServiceState = { queue: [], budget: createRetryBudget(options.retries), history: createRequestHistory() }
    services.set(service, state)
    return state
  }

  const vmCount = (now: number): number => Math.max(1, options.servingVMs(now).length)

  const averageLatencyMsOf = (service: string, className: string): number => targets.latenciesOf(service).averageMs(className) ?? ASSUMED_LATENCY_MS

  /** Requests that this VM completes per ms; estimated from the slots until there are enough samples. */
  const estimateThroughputPerMs = (service: string, className: string, candidates: readonly Candidate[], now: number): number => {
    const measured = stateOf(service).history.throughputPerMs(now)
    if (measured !== undefined) return measured
    const slots = candidates.reduce((sum, { circuit, listing }) => circuit === 'sound' ? sum + listing.slots : sum, 0)
    return slots / Math.max(1, averageLatencyMsOf(service, className)) / vmCount(now)
  }

  const nonIdempotentProbeAfterMs = (state: ServiceState, candidates: readonly Candidate[], now: number): number => {
    if (isScarce(candidates)) return NON_IDEMPOTENT_PROBE_AFTER_MS.scarce
    return state.history.hasRecentIdempotent(now) ? Infinity : NON_IDEMPOTENT_PROBE_AFTER_MS.noIdempotent
  }

  const selectTarget = (request: PlacementRequest, candidates: readonly Candidate[], now: number): Selection | undefined => {
    const state = stateOf(request.service)
    const isRetry = request.avoid.size > 0
    const selection = chooseTarget(candidates, {
      zone,
      idempotent: request.idempotent,
      canRetry: !isRetry && state.budget.canWithdraw(options.retryShare(now), now),
      isSpread: state.history.isFailing(now),
      hasQueue: state.queue.length > 0,
      nonIdempotentProbeAfterMs: isRetry ? Infinity : nonIdempotentProbeAfterMs(state, candidates, now),
      random
    })
    if (selection !== undefined || candidates.some(({ circuit }) => circuit === 'sound')) return selection
    return chooseSuspectTarget(candidates)
  }

  const logFailure = (request: PlacementRequest, candidate: Candidate, isProbe: boolean, { result }: Observation, latencyMs: number): void => {
    if (result === 'answered' || result === 'cancelled') return
    const { listing: { id }, circuit, load, lastSuccessAgeMs } = candidate
    options.log.info('attempt.failed', {
      requestId: request.requestId,
      service: request.service,
      target: id,
      result,
      idempotent: request.idempotent,
      isTrial: isProbe,
      phase: circuit,
      load,
      provenAgeMs: Number.isFinite(lastSuccessAgeMs) ? Math.round(lastSuccessAgeMs) : -1,
      afterMs: Math.round(latencyMs)
    })
  }

  /** Whether the process that was selected is still listed and does not drain. */
  const isListed = ({ id, address, port, startedAt }: Listing): boolean => {
    const current = catalog.find(id)
    return current !== undefined && !current.draining && current.address === address && current.port === port && current.startedAt === startedAt
  }

  const grant = (request: PlacementRequest, { candidate, isProbe }: Selection, now: number): Slot => {
    const { listing } = candidate
    const entry: RunningRequest = { listing, className: request.class, grantedAt: now }
    running.add(entry)
    targets.loads.begin(listing.id)
    if (isProbe) targets.beginProbe(listing.id)
    const connections = catalog.ruleset()?.pools.find(({ name }) => name === listing.service)?.maxConnections ?? 1
    let isReleased = false
    return {
      target: targetOf(listing, connections),
      announce: (announcement, at) => targets.recordAnnouncement(listing, announcement, request.requestId, at),
      isUsable: at => isListed(listing) && targets.announcements.stateOf(listing, at) === undefined,
      release: (observation, endedAt) => {
        if (isReleased) return
        isReleased = true
        running.delete(entry)
        targets.loads.end(listing.id)
        targets.recordOutcome(listing, observation, now, endedAt)
        if (observation === undefined) return serveQueue(request.service, endedAt)
        const { history } = stateOf(request.service)
        if (observation.result === 'answered') history.recordSuccess(endedAt)
        else history.recordFailure(endedAt)
        logFailure(request, candidate, isProbe, observation, endedAt - now)
        options.observe(observation, endedAt)
        serveQueue(request.service, endedAt)
      }
    }
  }

  const tryGrant = (request: PlacementRequest, now: number): Slot | undefined => {
    const candidates = targets.candidates(request.service, request.avoid, now)
    const selection = selectTarget(request, candidates, now)
    return selection === undefined ? undefined : grant(request, selection, now)
  }

  const dequeue = (state: ServiceState, entry: QueueEntry): void => { state.queue = state.queue.filter(other => other !== entry) }

  /** Expected wait of a request with `ahead` others before it. */
  const estimateWait = (request: PlacementRequest, candidates: readonly Candidate[], ahead: number, now: number): WaitEstimate => {
    if (candidates.some(({ circuit }) => circuit === 'sound')) {
      const waitMs = expectedWaitMs(ahead, estimateThroughputPerMs(request.service, request.class, candidates, now))
      return { waitMs, reason: `${ahead} requests wait, which takes about ${Math.round(waitMs)} ms` }
    }
    const probeInMs = Math.min(...candidates.map(({ halfOpenMs }) => Math.max(0, -halfOpenMs)))
    const reason = `all ${candidates.length} targets failed lately, and the next one is tried in ${Math.round(probeInMs)} ms`
    return { waitMs: probeInMs + averageLatencyMsOf(request.service, request.class), reason }
  }

  const refuseQueued = (service: string, state: ServiceState, entry: QueueEntry, now: number): void => {
    dequeue(state, entry)
    state.history.recordFailure(now)
    const { waitMs, reason } = estimateWait(entry.request, targets.candidates(service, entry.request.avoid, now), state.queue.length, now)
    entry.refuse(refusal('overloaded', `no slot became free in time; ${reason}`, { retryAfterMs: retryAfterMs(waitMs, random) }))
  }

  /** Refusal of a request that no target may get. If all targets leave or paused, callers are to return when the first pause ends. */
  const refuseWithoutTarget = ({ service, avoid }: PlacementRequest, now: number): Refusal => {
    const retryAfterDefaultMs = retryAfterMs(ASSUMED_LATENCY_MS, random)
    if (avoid.size > 0 && targets.candidates(service, AVOID_NONE, now).length > 0) return refusal('no-target', 'every target was tried', { retryAfterMs: retryAfterDefaultMs })
    const { leaving, paused, pauseEndMs } = targets.announced(service, now)
    if (leaving + paused === 0) return refusal('no-target', 'the service has no target', { retryAfterMs: retryAfterDefaultMs })
    const pauseEnd = paused > 0 ? `; the first pause ends in ${Math.round(pauseEndMs)} ms` : ''
    const detail = `all targets announced that they take no requests: ${leaving} leave and ${paused} paused${pauseEnd}`
    return refusal('no-target', detail, { retryAfterMs: paused > 0 ? retryAfterPauseMs(pauseEndMs, random) : retryAfterDefaultMs })
  }

  const hasCandidates = ({ service, avoid }: PlacementRequest, now: number): boolean => targets.candidates(service, avoid, now).length > 0

  /** Refuses the queued requests that no target may get, for example because all of them leave or paused. */
  const refuseWithoutCandidates = (state: ServiceState, now: number): void => {
    let hasFirstChoice: boolean | undefined
    for (const entry of state.queue) {
      const { request } = entry
      const isFirstAttempt = request.avoid.size === 0
      const hasChoice = isFirstAttempt ? hasFirstChoice ??= hasCandidates(request, now) : hasCandidates(request, now)
      if (hasChoice) continue
      dequeue(state, entry)
      entry.refuse(refuseWithoutTarget(request, now))
    }
  }

  /** Assigns free slots to queued requests, and refuses those that can no longer be served in time. */
  function serveQueue (service: string, now: number): void {
    const state = services.get(service)
    if (state === undefined || state.queue.length === 0) return
    // A blocked request does not block the other kind behind it: an idempotent one may probe a half-open target.
    const blockedKinds = new Set<boolean>()
    for (const entry of sortByPrecedence(state.queue, now)) {
      const { idempotent, avoid } = entry.request
      if (blockedKinds.has(idempotent)) continue
      const slot = tryGrant(entry.request, now)
      if (slot !== undefined) {
        dequeue(state, entry)
        entry.deliver(slot)
      } else if (avoid.size === 0) blockedKinds.add(idempotent)
    }
    refuseWithoutCandidates(state, now)
    for (const entry of state.queue.filter(each => latestStartAt(each) <= now)) refuseQueued(service, state, entry, now)
  }

  const acquire: Admission['acquire'] = (request, now) => Effect.callback<Slot, Refusal>(resume => {
    const state = stateOf(request.service)
    state.history.recordRequest(request.idempotent, now)
    const candidates = targets.candidates(request.service, request.avoid, now)
    if (candidates.length === 0) return resume(Effect.fail(refuseWithoutTarget(request, now)))
    const isQueueEmpty = state.queue.length === 0
    const slot = isQueueEmpty ? tryGrant(request, now) : undefined
    if (slot !== undefined) return resume(Effect.succeed(slot))
    const entry: QueueEntry = {
      request,
      urgency: -request.priority,
      objectiveAt: request.objectiveAt,
      deadlineAt: request.deadlineAt,
      averageLatencyMs: averageLatencyMsOf(request.service, request.class),
      deliver: granted => resume(Effect.succeed(granted)),
      refuse: refused => resume(Effect.fail(refused))
    }
    const ahead = state.queue.filter(other => !precedes(entry, other, now)).length
    const { waitMs, reason } = estimateWait(request, candidates, ahead, now)
    if (!shouldQueue(entry, waitMs, now)) {
      state.history.recordFailure(now)
      return resume(Effect.fail(refusal('overloaded', reason, { retryAfterMs: retryAfterMs(waitMs, random) })))
    }
    state.queue.push(entry)
    serveQueue(request.service, now)
    return Effect.sync(() => dequeue(state, entry))
  })

  const reportInZone = createLoadReporter(mesh, ZONE_REPORTS, targets.loads.createReport)
  const reportToOtherZones = createLoadReporter(mesh, CROSS_ZONE_REPORTS, targets.loads.createCountReport)
  /** Whether requests of a service spill over to targets of other zones, or soon will. */
  const hasHighUtilisation = (service: string, now: number): boolean => {
    const healthy = targets.candidates(service, AVOID_NONE, now).filter(({ circuit, listing }) => circuit === 'sound' && listing.zone === zone)
    return utilisationOf(healthy) >= CROSS_ZONE_REPORT_UTILISATION
  }
  let spillover = { checkedAt: -Infinity, isLikely: false }
  const canSpillOver = (now: number): boolean => {
    if (now - spillover.checkedAt >= CROSS_ZONE_REPORTS.minMs) {
      spillover = { checkedAt: now, isLikely: [...services.keys()].some(service => hasHighUtilisation(service, now)) }
    }
    return spillover.isLikely
  }
  const reportLoads = (now: number): void => {
    reportInZone(options.zonePeers(now), now)
    if (canSpillOver(now)) reportToOtherZones(options.otherZoneVMs(now), now)
  }

  mesh.subscribe(loadReportChannel, (from, loads) => targets.loads.applyReport(from.vm, loads, clock()))

  let prunedAt = -Infinity
  const sweep = (now: number): void => {
    for (const { listing, className, grantedAt } of running) targets.checkOverdue(listing, className, grantedAt, now)
    for (const service of services.keys()) serveQueue(service, now)
    reportLoads(now)
    targets.announcements.sweep(now)
    if (now - prunedAt < PRUNE_MS) return
    prunedAt = now
    targets.prune()
  }

  return {
    acquire,
    tryWithdrawRetry: (service, now) => stateOf(service).budget.tryWithdraw(options.retryShare(now), now),
    depositRetry: (service, now) => stateOf(service).budget.deposit(now),
    averageLatencyMs: (service, className) => targets.latenciesOf(service).averageMs(className),
    sweep,
    maintain: Effect.forever(Effect.suspend(() => {
      sweep(clock())
      const isBusy = running.size > 0 || [...services.values()].some(({ queue }) => queue.length > 0)
      return Effect.sleep(isBusy ? SWEEP_MS : IDLE_SWEEP_MS)
    })),
    targets,
    queueLength: service => services.get(service)?.queue.length ?? 0
  }
}
