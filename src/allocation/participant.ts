/** Roles of one VM in the coordination of one service: member, lease grantor, candidate and coordinator. */
import { createCollector } from '../health/index.js'
import type { Observation, Peer } from '../model/index.js'
import { createAllocationReceiver, type AdoptedAllocation } from './allocation-receiver.js'
import { baseShares, createLocalBaseShares } from './base-shares.js'
import { createCandidate } from './candidate.js'
import type { ServiceContext } from './context.js'
import { createCoordinator, type Coordinator } from './coordinator.js'
import { createDrains } from './drains.js'
import { LEASE_MS } from './durations.js'
import { leaseGrantChannel, leaseRequestChannel, type Allocation, type AllocationContent, type EvidenceReport, type LeaseGrant, type LeaseRequest } from './messages.js'
import { createLeaseGrantor, isSamePeer } from './lease-grantor.js'
import { createReachability } from './reachability.js'
import { createReportSender } from './report-sender.js'
import { createServiceShares, type ServiceShares } from './shares.js'

/** Participation of one VM in the coordination of one service. */
export interface Participant {
  readonly shares: ServiceShares
  readonly observe: (observation: Observation, now: number) => void
  /** Retracts outcomes that were caused by a request and not by its target. */
  readonly retract: (observations: readonly Observation[]) => void
  readonly tick: (now: number) => void
  readonly handleLeaseRequest: (from: Peer, request: LeaseRequest, now: number) => void
  readonly handleLeaseGrant: (from: Peer, grant: LeaseGrant, now: number) => void
  readonly handleReport: (from: Peer, report: EvidenceReport, now: number) => void
  readonly handleAllocation: (from: Peer, allocation: Allocation, now: number) => void
  /** Records that a target drains. */
  readonly drain: (target: string, now: number) => void
  /** Releases the lease, and does not request it again before `notBefore`. */
  readonly resign: (notBefore: number, now: number) => void
  /** Drops the lease and the allocation after a pause of the process, and abstains from new grants. */
  readonly resetAfterPause: (now: number) => void
  readonly context: ServiceContext
  readonly adopted: (now: number) => AdoptedAllocation | undefined
  readonly coordinator: () => Coordinator | undefined
  /** The VM that this member follows as the coordinator. */
  readonly followedCoordinator: (now: number) => Peer | undefined
  readonly holdsLease: (now: number) => boolean
  readonly epoch: () => number
  readonly draining: () => ReadonlySet<string>
  readonly baseShare: (target: string, now: number) => number
}

/**
 * Creates a participant without any state of the service.
 *
 * @param startedAt when the VM started, or began to serve the service
 * @param isJoining whether other VMs may still use the base shares that are now assigned to this VM
 */
export function createParticipant (context: ServiceContext, startedAt: number, isJoining = false): Participant {
  const { self, service, members, log } = context
  const grantor = createLeaseGrantor(startedAt)
  const receiver = createAllocationReceiver(self.incarnation)
  const localBaseShares = createLocalBaseShares()
  const drains = createDrains()
  const reachability = createReachability()
  const collector = createCollector()
  let coordinator: Coordinator | undefined
  /** Increases across the terms of this process, because members reject an allocation whose number is not above the latest one of the same process. */
  let allocationNumber = 0
  const nextAllocationNumber = (): number => { allocationNumber += 1; return allocationNumber }
  let subset: readonly string[] = members()
  let followed: { readonly peer: Peer, readonly until: number } | undefined

  const shares = createServiceShares({
    self: self.vm,
    service,
    members,
    adopted: receiver.current,
    baseShare: localBaseShares.share,
    draining: drains.current,
    unreachable: reachability.unreachable
  })
  const reportSender = createReportSender({ context, collector, receiver, drains, knownEpoch: grantor.epoch, limit: shares.limit, enforcedEjections: shares.enforcedEjections })
  const candidate = createCandidate({
    members,
    betterRankedContacts: now => members().slice(0, Math.max(0, members().indexOf(self.vm))).filter(vm => context.hasContact(vm, now)).length,
    knownEpoch: grantor.epoch,
    grantableAt: grantor.grantableAt,
    broadcastRequest: (round, epoch, release) => {
      const body = { service: service().name, epoch, round, subset: members(), release }
      for (const vm of members()) context.send(vm, leaseRequestChannel, body)
    }
  })

  const follow = (peer: Peer, now: number): void => {
    if (!isSamePeer(followed?.peer, peer)) reportSender.expedite()
    followed = { peer, until: now + LEASE_MS }
  }
  const followedCoordinator = (now: number): Peer | undefined => followed !== undefined && now < followed.until ? followed.peer : undefined

  let baseShareInputs: { readonly service: object, readonly members: readonly string[] } | undefined
  const applyChanges = (now: number): void => {
    const current = members()
    if (current.length !== subset.length || current.some((vm, rank) => vm !== subset[rank])) {
      // A VM that joined the subset may not know of a lease that other members granted.
      grantor.abstain(now)
      subset = current
    }
    drains.update(service(), now)
    if (baseShareInputs?.service === service() && baseShareInputs.members === subset) return
    baseShareInputs = { service: service(), members: subset }
    localBaseShares.update(baseShares(service(), subset, self.vm), now)
  }
  if (isJoining) localBaseShares.update(new Map(service().targets.map(({ id }) => [id, 0])), startedAt)
  applyChanges(startedAt)

  const updateTerm = (now: number): void => {
    candidate.tick(now)
    const holdsLease = candidate.holdsLease(now)
    if (holdsLease && coordinator === undefined) {
      coordinator = createCoordinator(context, drains, { ...candidate, requestedAt: candidate.requestedAt(), startedAt: now, nextAllocationNumber })
      log.info('coordinator.started', { service: service().name, epoch: candidate.epoch() })
    }
    if (!holdsLease && coordinator !== undefined) {
      coordinator = undefined
      log.info('coordinator.ended', { service: service().name, epoch: candidate.epoch() })
    }
    const conflictingEpoch = coordinator?.conflictingEpoch()
    if (conflictingEpoch !== undefined) candidate.raiseEpoch(conflictingEpoch)
    coordinator?.tick(now)
  }
  const resign = (notBefore: number, now: number): void => {
    candidate.resign(notBefore, now)
    coordinator = undefined
  }
  const mergeDrains = ({ draining, restarted = [] }: Pick<AllocationContent, 'draining' | 'restarted'>, now: number): void => {
    for (const [target, ageMs] of restarted) drains.end(target, ageMs, now)
    for (const [target, ageMs] of draining) drains.add(target, ageMs, now)
  }
  const hasSameSubset = (request: LeaseRequest): boolean =>
    request.subset.length === members().length && members().every((vm, rank) => vm === request.subset[rank])

  return {
    shares,
    observe: (observation, now) => {
      const outcome = collector.add(observation, now)
      reachability.recordOutcome(observation.target, outcome, now)
      if (outcome === 'draining' && drains.add(observation.target, 0, now)) reportSender.broadcastDrains(now)
    },
    retract: reportSender.retract,
    tick: now => {
      applyChanges(now)
      if (!members().includes(self.vm)) {
        resign(now, now)
        reportSender.clear()
        return
      }
      updateTerm(now)
      reportSender.tick(followedCoordinator(now), now)
    },
    handleLeaseRequest: (from, request, now) => {
      if (request.release) {
        grantor.release(from, request.round, now)
        if (isSamePeer(followed?.peer, from)) followed = undefined
        return
      }
      const { granted, heldForMs } = hasSameSubset(request) && members().includes(self.vm)
        ? grantor.decide(from, request, now)
        : { granted: false, heldForMs: 0 }
      if (granted) follow(from, now)
      context.send(from.vm, leaseGrantChannel, {
        service: service().name,
        to: from.incarnation,
        round: request.round,
        granted,
        epoch: grantor.epoch(),
        heldForMs
      })
    },
    handleLeaseGrant: (from, grant, now) => {
      if (grant.to !== self.incarnation) return
      candidate.handleGrant(from.vm, grant, now)
      if (!grant.granted) grantor.observeEpoch(grant.epoch, from)
    },
    handleReport: (from, report, now) => {
      mergeDrains(report, now)
      if (report.to === self.incarnation && members().includes(from.vm)) coordinator?.handleReport(from, report, now)
    },
    handleAllocation: (from, allocation, now) => {
      if (!members().includes(from.vm) || allocation.epoch < grantor.epoch()) return
      grantor.observeEpoch(allocation.epoch, from)
      follow(from, now)
      if (allocation.content !== undefined) mergeDrains(allocation.content, now)
      if (receiver.receive(from, allocation, grantor.epoch(), now) === undefined && allocation.content !== undefined) reportSender.expedite()
    },
    drain: (target, now) => { if (drains.add(target, 0, now)) reportSender.broadcastDrains(now) },
    resign,
    resetAfterPause: now => {
      resign(now, now)
      receiver.clear()
      grantor.abstain(now)
      followed = undefined
      reportSender.clear()
    },
    context,
    adopted: receiver.current,
    coordinator: () => coordinator,
    followedCoordinator,
    holdsLease: candidate.holdsLease,
    epoch: grantor.epoch,
    draining: drains.current,
    baseShare: localBaseShares.share
  }
}
