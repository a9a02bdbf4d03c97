/** Coordinator of one service: collects reports, ejects targets and distributes the slots to the members. */
import type { Count, Ejection, Verdict, EvidenceSummary } from '../health/index.js'
import { slowStartSlots } from '../health/index.js'
import type { Peer, Target } from '../model/index.js'
import { ejectionFromRecord, ejectionToRecord } from './allocation-receiver.js'
import { baseShare, baseSlots } from './base-shares.js'
import type { ServiceContext } from './context.js'
import { distribute, type PoolAssignment } from './distribution.js'
import type { Drains } from './drains.js'
import { ALLOCATION_INTERVAL_MS } from './durations.js'
import { createEjector, hasIdempotentClass } from './ejector.js'
import type { ServiceCapacity } from './floor.js'
import { createAllocationTracker } from './allocation-tracker.js'
import { createAllocationSender } from './allocation-sender.js'
import type { EvidenceReport } from './messages.js'
import { createRestartDetector } from './restart-detector.js'
import { createMemberReports, type ReportingMember } from './member-reports.js'
import { createTakeover, type Term } from './takeover.js'

/** Coordinator of one service for one term, which ends with its lease. */
export interface Coordinator {
  readonly handleReport: (from: Peer, report: EvidenceReport, now: number) => void
  readonly tick: (now: number) => void
  readonly ejection: (target: string) => Ejection | undefined
  readonly verdict: (target: string) => Verdict | undefined
  readonly evidence: (target: string, now: number) => EvidenceSummary
  readonly floor: () => ServiceCapacity
  readonly startedAt: number
  /** Epoch that a member knows from another coordinator, if it is not below the epoch of this one. */
  readonly conflictingEpoch: () => number | undefined
}

type Limits = ReadonlyMap<string, ReadonlyMap<string, number>>

function toCount ([target, className, outcome, count]: EvidenceReport['counts'][number]): Count {
  return { target, class: className, outcome, count }
}

/** Creates a coordinator that has just obtained the lease. */
export function createCoordinator (context: ServiceContext, drains: Drains, term: Term): Coordinator {
  const { service, members } = context
  const { epoch } = term
  const firstEpoch = epoch()
  const firstNumber = term.nextAllocationNumber()
  const takenOverIncarnations = new Set<string>()
  const reports = createMemberReports()
  const tracker = createAllocationTracker()
  const takeover = createTakeover(term, members)
  const sender = createAllocationSender(context, tracker, term)
  const restartDetector = createRestartDetector(context.tryConnect)
  let assignment: PoolAssignment = new Map()
  let lastSentAt = -Infinity
  let conflictingEpoch: number | undefined

  const probers = (): readonly string[] => hasIdempotentClass(service()) ? reports.live(members(), lastTickAt).map(({ vm }) => vm) : []
  let lastTickAt = term.startedAt
  const ejector = createEjector({
    service,
    draining: drains.current,
    possiblyEjected: tracker.possiblyEjected,
    probers,
    hasAdoptedProbation: (vm, target) => sender.hasAdoptedProbation(vm, target, reports.get(vm)?.adopted ?? 0),
    isEjectionAllowed: takeover.isEjectionAllowed,
    log: context.log
  })

  const baseShareOf = (target: Target, position: number, vm: string): number => baseShare(target.slots, position, members(), vm)
  /** Number of slots of a target that members may be using now, whatever is assigned to them. */
  const possiblyUsedSlots = (target: Target, position: number, now: number): number => {
    const keys = tracker.activeHolders(now)
    const known = new Set(keys.map(({ vm }) => vm))
    const untrackedBaseShares = members().filter(vm => !known.has(vm)).reduce((sum, vm) => sum + baseShareOf(target, position, vm), 0)
    return keys.reduce((sum, key) => sum + Math.max(baseShareOf(target, position, key.vm), tracker.reservedSlots(key, target.id, now)), untrackedBaseShares)
  }
  const takeOverFrom = (from: Peer, report: EvidenceReport, now: number): void => {
    const inEffect = !report.inEffect ? [] : report.ejections.filter(({ phase }) => phase !== 'slow-start')
    const limits = new Map(report.use.map(([target, , limit]) => [target, limit]))
    const { lapsed } = report
    if (lapsed !== undefined && takeover.isExpiredAllocationReserved(lapsed.ageMs, now)) {
      for (const [target, limit] of lapsed.limits) limits.set(target, Math.max(limit, limits.get(target) ?? 0))
    }
    tracker.recordSent(from, 0, limits, new Set(inEffect.map(({ target }) => target)), now)
    for (const record of report.ejections) ejector.restore(ejectionFromRecord(record, now), report.inEffect)
    const kept = service().targets.flatMap((target, position) => {
      const limit = limits.get(target.id) ?? 0
      return limit > baseShareOf(target, position, from.vm) ? [[target.id, limit - baseShareOf(target, position, from.vm)] as const] : []
    })
    assignment = new Map([...assignment, [from.vm, new Map(kept)]])
  }
  const handleReport = (from: Peer, report: EvidenceReport, now: number): void => {
    const isFromSelf = report.coordinator === context.self.incarnation
    // An allocation of an earlier term is taken over like one of another coordinator.
    const isOfThisTerm = isFromSelf && report.adopted > firstNumber
    const adopted = isOfThisTerm ? report.adopted : 0
    if (report.epoch > epoch() || (report.epoch === epoch() && report.coordinator !== '' && !isFromSelf)) conflictingEpoch = report.epoch
    // A member that does not know the epoch yet may still adopt an older allocation, so its report is not final.
    if (report.epoch < firstEpoch) return
    const reporter = reports.record(from, report, adopted, now)
    if (reporter === undefined) return
    if (!takenOverIncarnations.has(from.incarnation)) {
      if (!isOfThisTerm) takeOverFrom(from, report, now)
      for (const { ageMs, counts } of report.history ?? []) ejector.addHistory(from.vm, counts.map(toCount), now - ageMs)
    }
    takenOverIncarnations.add(from.incarnation)
    takeover.recordReport(from)
    tracker.recordAdopted(from, adopted, reporter.inUse, now)
    ejector.add(from.vm, report.counts.map(toCount), now)
    ejector.retract(from.vm, (report.retracted ?? []).map(toCount))
  }

  const isInService = (target: Target): boolean => ejector.get(target.id) === undefined && !drains.current().has(target.id)
  const idleSlots = (vm: string, target: string): number => {
    const used = reports.get(vm)?.inUse.get(target) ?? 0
    return (assignment.get(vm)?.get(target) ?? 0) - used
  }
  const redistribute = (live: readonly ReportingMember[], now: number): void => {
    const targets = service().targets
    const free = new Map(targets.flatMap((target, position) => {
      if (!isInService(target)) return []
      const keys = tracker.activeHolders(now)
      const reserved = members().reduce((sum, vm) => {
        const assigned = baseShareOf(target, position, vm) + (assignment.get(vm)?.get(target.id) ?? 0)
        return sum + Math.max(assigned, ...keys.filter(key => key.vm === vm).map(key => tracker.reservedSlots(key, target.id, now)))
      }, 0)
      return [[target.id, Math.max(0, target.slots - reserved)] as const]
    }))
    const kept = new Map(live.map(({ vm }) => [vm, new Map([...assignment.get(vm) ?? []].filter(([id]) => free.has(id)))]))
    const demands = live.map(({ vm, demand }) => ({
      vm,
      demand,
      baseShares: new Map(targets.flatMap((target, position) => isInService(target) ? [[target.id, baseShareOf(target, position, vm)] as const] : []))
    }))
    const pools = targets.filter(isInService).map(({ id, slots }) => ({ id, pool: slots - baseSlots(slots) }))
    assignment = takeover.isAssignmentAllowed(now) ? distribute(demands, pools, kept, free, idleSlots) : kept
  }
  /** Number of slots of a target that a member should get, regardless of the slots that other members may be using. */
  const desiredLimit = (target: Target, position: number, vm: string, live: readonly ReportingMember[], now: number): number => {
    if (drains.current().has(target.id)) return 0
    const ejection = ejector.get(target.id)
    if (ejection === undefined) return baseShareOf(target, position, vm) + (assignment.get(vm)?.get(target.id) ?? 0)
    if (ejection.phase === 'ejected') return 0
    if (ejection.phase === 'probation') return ejection.prober === vm ? 1 : 0
    const slots = slowStartSlots(target.slots, ejection.phaseSince, now)
    const offset = (live.findIndex(reporter => reporter.vm === vm) - position % live.length + live.length) % live.length
    return Math.floor(slots / live.length) + (offset < slots % live.length ? 1 : 0)
  }
  /** Limits of the live members. No target exceeds its slots, even if other members keep their earlier limits. */
  const computeLimits = (live: readonly ReportingMember[], now: number): Limits => {
    const limits = new Map(live.map(({ vm }) => [vm, new Map<string, number>()]))
    service().targets.forEach((target, position) => {
      // A member that has not reported may still use slots of an allocation of the predecessor.
      let free = takeover.isAssignmentAllowed(now) ? Math.max(0, target.slots - possiblyUsedSlots(target, position, now)) : 0
      for (const reporter of live) {
        const reserved = Math.max(baseShareOf(target, position, reporter.vm), tracker.reservedSlots(reporter, target.id, now))
        const limit = Math.min(desiredLimit(target, position, reporter.vm, live, now), reserved + free)
        free -= Math.max(0, limit - reserved)
        limits.get(reporter.vm)?.set(target.id, limit)
      }
    })
    return limits
  }
  const sendAllocations = (now: number): void => {
    const live = reports.live(members(), now)
    redistribute(live, now)
    const limits = computeLimits(live, now)
    const ejections = ejector.list()
    const draining = drains.records(now)
    const restarted = drains.restarted(now)
    for (const reporter of live) {
      sender.send(reporter, {
        limits: [...limits.get(reporter.vm) ?? []],
        ejections: ejections.map(ejection => ejectionToRecord(ejection, now)),
        draining,
        ...(restarted.length > 0 ? { restarted } : {})
      })
    }
    for (const vm of members()) if (!live.some(reporter => reporter.vm === vm)) sender.requestReport(vm)
    lastSentAt = now
  }
  /** Returns restarted targets to service with a slow start, because a new process may be cold. */
  const returnRestarted = (now: number): boolean => {
    const draining = drains.current()
    const restarted = restartDetector.tick(service().targets.filter(({ id }) => draining.has(id)), now)
    for (const target of restarted) {
      drains.end(target, 0, now)
      ejector.startSlowStart(target, now)
      context.log.info('target.restarted', { service: service().name, target })
    }
    return restarted.length > 0
  }
  return {
    handleReport,
    tick: now => {
      lastTickAt = now
      const returned = returnRestarted(now)
      const changed = ejector.tick(now)
      if (returned || changed || now - lastSentAt >= ALLOCATION_INTERVAL_MS) sendAllocations(now)
    },
    ejection: ejector.get,
    verdict: ejector.verdict,
    evidence: ejector.summary,
    floor: ejector.floor,
    startedAt: term.startedAt,
    conflictingEpoch: () => conflictingEpoch !== undefined && conflictingEpoch >= epoch() ? conflictingEpoch : undefined
  }
}
