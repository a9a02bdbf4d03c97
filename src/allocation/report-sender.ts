/** Sends reports to the coordinator, and drain announcements to all members. */
import { createReportHistory, type Collector, type Count } from '../health/index.js'
import type { Observation, Peer } from '../model/index.js'
import { ejectionToRecord, type AllocationReceiver } from './allocation-receiver.js'
import type { ServiceContext } from './context.js'
import type { Drains } from './drains.js'
import { REPORT_INTERVAL_MS, KEEPALIVE_INTERVAL_MS } from './durations.js'
import { evidenceReportChannel, type EvidenceReport } from './messages.js'

/** Time for which a new announcement is repeated to all members, in ms, because a message may be lost. */
const DRAIN_REPEAT_MS = 2_000

/** Bounds the memory of a member that has no coordinator. */
const MAX_RETRACTIONS = 1_000

/** Dependencies of the reports. */
export interface ReportContext {
  readonly context: ServiceContext
  readonly collector: Collector
  readonly receiver: AllocationReceiver
  readonly drains: Drains
  readonly knownEpoch: () => number
  readonly limit: (target: string, now: number) => number
  /** Targets whose ejection this VM enforces. */
  readonly enforcedEjections: (now: number) => ReadonlySet<string>
}

/** Sends the reports of one member about one service. */
export interface ReportSender {
  /** @param coordinator the VM that this member follows */
  readonly tick: (coordinator: Peer | undefined, now: number) => void
  /** Retracts reported outcomes with the next report, which is sent without delay. */
  readonly retract: (observations: readonly Observation[]) => void
  /** Makes the next report due immediately. */
  readonly expedite: () => void
  /** Sends the known drain announcements to all members. */
  readonly broadcastDrains: (now: number) => void
  /** Drops all counts. Used after a pause of the process, and when this VM leaves the subset. */
  readonly clear: () => void
}

const toTuple = ({ target, class: className, outcome, count }: Count): EvidenceReport['counts'][number] => [target, className, outcome, count]

/** Creates the report sender of a member. */
export function createReportSender (options: ReportContext): ReportSender {
  const { context, collector, receiver, drains } = options
  let seq = 0
  let lastSentAt = -Infinity
  let lastBroadcastAt = -Infinity
  let isUrgent = false
  let retracted: ReadonlyArray<{ readonly count: Count, readonly isInHistory: boolean }> = []
  const history = createReportHistory()

  const use = (now: number): EvidenceReport['use'] => context.service().targets.flatMap(({ id }) => {
    const inUse = context.demand.inUse(context.service().name, id)
    const limit = options.limit(id, now)
    return inUse > 0 || limit > 0 ? [[id, inUse, limit] as const] : []
  })
  const takeCounts = (now: number): EvidenceReport['counts'] => {
    const counts = collector.take()
    history.add(counts, now)
    return counts.map(toTuple)
  }
  /** Earlier counts for a coordinator that may not have them, and the retracted ones. Retracted counts are no longer in the history. */
  const historyFields = (coordinatorHasHistory: boolean, now: number): Pick<EvidenceReport, 'history' | 'retracted'> => {
    const retractedCounts = retracted.filter(({ isInHistory }) => coordinatorHasHistory || !isInHistory).map(({ count }) => toTuple(count))
    retracted = []
    const entries = coordinatorHasHistory ? [] : history.list(now).map(({ ageMs, counts }) => ({ ageMs, counts: counts.map(toTuple) }))
    return { ...(retractedCounts.length > 0 ? { retracted: retractedCounts } : {}), ...(entries.length > 0 ? { history: entries } : {}) }
  }
  const drainFields = (now: number): Pick<EvidenceReport, 'draining' | 'restarted'> => {
    const restarted = drains.restarted(now)
    return { draining: drains.records(now), ...(restarted.length > 0 ? { restarted } : {}) }
  }
  const build = (to: string, now: number): EvidenceReport => {
    const adopted = receiver.current(now)
    // The adopted allocation answers a report with the history, so the coordinator already has it.
    const coordinatorHasHistory = adopted?.coordinator.incarnation === to && adopted.epoch === options.knownEpoch()
    const recent = receiver.recent(now)
    // The coordinator that sent the allocation knows its ejections. Only another one needs them.
    const isFromOtherCoordinator = recent !== undefined && recent.coordinator.incarnation !== to
    const isExpired = recent !== undefined && adopted === undefined
    return {
      service: context.service().name,
      to,
      seq,
      epoch: options.knownEpoch(),
      coordinator: adopted?.coordinator.incarnation ?? '',
      adopted: adopted?.number ?? 0,
      ...historyFields(coordinatorHasHistory, now),
      counts: takeCounts(now),
      use: use(now),
      waiting: context.demand.waiting(context.service().name),
      ...(isExpired ? { lapsed: { ageMs: now - recent.validUntil, limits: [...recent.limits] } } : {}),
      ...drainFields(now),
      inEffect: adopted !== undefined && now < adopted.ejectionsUntil,
      ejections: isFromOtherCoordinator ? recent.ejections.map(ejection => ejectionToRecord(ejection, now)) : []
    }
  }
  const broadcastDrains = (now: number): void => {
    lastBroadcastAt = now
    const body: EvidenceReport = {
      service: context.service().name,
      to: '',
      seq: 0,
      epoch: 0,
      coordinator: '',
      adopted: 0,
      counts: [],
      use: [],
      waiting: 0,
      ...drainFields(now),
      inEffect: false,
      ejections: []
    }
    for (const vm of context.members()) if (vm !== context.self.vm) context.send(vm, evidenceReportChannel, body)
  }
  const isDue = (now: number): boolean => {
    const elapsed = now - lastSentAt
    return isUrgent || elapsed >= KEEPALIVE_INTERVAL_MS || (elapsed >= REPORT_INTERVAL_MS && !collector.isEmpty())
  }
  return {
    tick: (coordinator, now) => {
      // The ejection is based on these counts, so they must not count again as evidence after it.
      for (const target of options.enforcedEjections(now)) history.removeTarget(target)
      const hasNewAnnouncement = drains.records(now).some(([, ageMs]) => ageMs < DRAIN_REPEAT_MS)
      if (hasNewAnnouncement && now - lastBroadcastAt >= KEEPALIVE_INTERVAL_MS) broadcastDrains(now)
      if (!isDue(now)) return
      lastSentAt = now
      isUrgent = false
      if (coordinator === undefined) {
        // A later coordinator would take delayed counts for new ones, so they are moved to the history with their ages.
        history.add(collector.take(), now)
        return
      }
      seq += 1
      receiver.recordReport(seq, now)
      context.send(coordinator.vm, evidenceReportChannel, build(coordinator.incarnation, now))
    },
    retract: observations => {
      const added = observations.map(({ target, class: className, result }) => {
        const count = { target, class: className, outcome: result, count: 1 }
        return { count, isInHistory: history.retract(count) }
      })
      retracted = [...retracted, ...added].slice(-MAX_RETRACTIONS)
      isUrgent = true
    },
    expedite: () => { isUrgent = true },
    broadcastDrains,
    clear: () => {
      collector.take()
      history.clear()
    }
  }
}
