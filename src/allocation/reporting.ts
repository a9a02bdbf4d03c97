/** Sends the reports of a member to its coordinator, and drain announcements to all members. */
import { createReportHistory, type Collector, type Count } from '../health/index.js'
import type { Observation, Peer } from '../model/index.js'
import { toRecord, type Adoption } from './adoption.js'
import type { ServiceContext } from './context.js'
import type { Drains } from './drains.js'
import { EVIDENCE_MS, KEEPALIVE_MS } from './durations.js'
import { evidenceReport, type EvidenceReport } from './messages.js'

/** New announcements are repeated to all members for this long, since one message may be lost. */
const DRAIN_REPEAT_MS = 2_000

/** Bounds the memory of a member without a coordinator. */
const KEPT_RETRACTIONS = 1_000

/** What a report is made of. */
export interface ReportSource {
  readonly context: ServiceContext
  readonly collector: Collector
  readonly adoption: Adoption
  readonly drains: Drains
  readonly knownEpoch: () => number
  readonly limit: (target: string, now: number) => number
  /** Targets whose ejection this VM follows. */
  readonly followed: (now: number) => ReadonlySet<string>
}

/** The reports of one member about one service. */
export interface Reporting {
  /** @param coordinator the VM that this member follows */
  readonly tick: (coordinator: Peer | undefined, now: number) => void
  /** Takes reported outcomes back with the next report. */
  readonly retract: (observations: readonly Observation[]) => void
  /** Makes the next report due at once. */
  readonly hurry: () => void
  /** Sends the known drain announcements to all members. */
  readonly spreadDrains: (now: number) => void
  /** Drops all counts, because this VM was paused or left the subset. */
  readonly clear: () => void
}

const toTuple = ({ target, class: className, outcome, count }: Count): EvidenceReport['counts'][number] => [target, className, outcome, count]

/** Creates the reporting of a member. */
export function createReporting (source: ReportSource): Reporting {
  const { context, collector, adoption, drains } = source
  let seq = 0
  let lastSentAt = -Infinity
  let lastSpreadAt = -Infinity
  let isUrgent = false
  let retracted: ReadonlyArray<{ readonly count: Count, readonly isInHistory: boolean }> = []
  const history = createReportHistory()

  const use = (now: number): EvidenceReport['use'] => context.service().targets.flatMap(({ id }) => {
    const inUse = context.demand.inUse(context.service().name, id)
    const limit = source.limit(id, now)
    return inUse > 0 || limit > 0 ? [[id, inUse, limit] as const] : []
  })
  const takeCounts = (now: number): EvidenceReport['counts'] => {
    const counts = collector.take()
    history.add(counts, now)
    return counts.map(toTuple)
  }
  /** Earlier counts for a coordinator that may not have them, and those to take back. The history lacks these already. */
  const past = (isKnown: boolean, now: number): Pick<EvidenceReport, 'history' | 'retracted'> => {
    const taken = retracted.filter(({ isInHistory }) => isKnown || !isInHistory).map(({ count }) => toTuple(count))
    retracted = []
    const entries = isKnown ? [] : history.list(now).map(({ ageMs, counts }) => ({ ageMs, counts: counts.map(toTuple) }))
    return { ...(taken.length > 0 ? { retracted: taken } : {}), ...(entries.length > 0 ? { history: entries } : {}) }
  }
  const drained = (now: number): Pick<EvidenceReport, 'draining' | 'restarted'> => {
    const restarted = drains.restarted(now)
    return { draining: drains.records(now), ...(restarted.length > 0 ? { restarted } : {}) }
  }
  const build = (to: string, now: number): EvidenceReport => {
    const adopted = adoption.current(now)
    // The allocation answers a report, so the coordinator has the history since then.
    const isKnown = adopted?.coordinator.incarnation === to && adopted.epoch === source.knownEpoch()
    const recent = adoption.recent(now)
    // The coordinator knows its own ejections; only a new one needs them.
    const isOther = recent !== undefined && recent.coordinator.incarnation !== to
    const isLapsed = recent !== undefined && adopted === undefined
    return {
      service: context.service().name,
      to,
      seq,
      epoch: source.knownEpoch(),
      coordinator: adopted?.coordinator.incarnation ?? '',
      adopted: adopted?.number ?? 0,
      ...past(isKnown, now),
      counts: takeCounts(now),
      use: use(now),
      waiting: context.demand.waiting(context.service().name),
      ...(isLapsed ? { lapsed: { ageMs: now - recent.validUntil, limits: [...recent.limits] } } : {}),
      ...drained(now),
      inEffect: adopted !== undefined && now < adopted.ejectionsUntil,
      ejections: isOther ? recent.ejections.map(ejection => toRecord(ejection, now)) : []
    }
  }
  const spreadDrains = (now: number): void => {
    lastSpreadAt = now
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
      ...drained(now),
      inEffect: false,
      ejections: []
    }
    for (const vm of context.members()) if (vm !== context.self.vm) context.send(vm, evidenceReport, body)
  }
  const isDue = (now: number): boolean => {
    const elapsed = now - lastSentAt
    return isUrgent || elapsed >= KEEPALIVE_MS || (elapsed >= EVIDENCE_MS && !collector.isEmpty())
  }
  return {
    tick: (coordinator, now) => {
      // The ejection rests on these counts; after it only what follows counts.
      for (const target of source.followed(now)) history.removeTarget(target)
      const isNew = drains.records(now).some(([, ageMs]) => ageMs < DRAIN_REPEAT_MS)
      if (isNew && now - lastSpreadAt >= KEEPALIVE_MS) spreadDrains(now)
      if (!isDue(now)) return
      lastSentAt = now
      isUrgent = false
      if (coordinator === undefined) {
        // Counts that wait for a later coordinator would look like news to it, so they become history.
        history.add(collector.take(), now)
        return
      }
      seq += 1
      adoption.reported(seq, now)
      context.send(coordinator.vm, evidenceReport, build(coordinator.incarnation, now))
    },
    retract: observations => {
      const added = observations.map(({ target, class: className, result }) => {
        const count = { target, class: className, outcome: result, count: 1 }
        return { count, isInHistory: history.retract(count) }
      })
      retracted = [...retracted, ...added].slice(-KEPT_RETRACTIONS)
      isUrgent = true
    },
    hurry: () => { isUrgent = true },
    spreadDrains,
    clear: () => {
      collector.take()
      history.clear()
    }
  }
}
