/** Ejects unhealthy targets of a service within the floor, and returns them to service. */
import {
  createEjections, createEvidence, createOutlierDetector, healthSignalOf, OUTCOMES,
  type Count, type Ejection, type EvidenceSummary, type Verdict
} from '../health/index.js'
import type { Service } from '../model/index.js'
import { computeCapacity, ejectionsWithinFloor, type ServiceCapacity } from './floor.js'
import type { Log } from '../log/index.js'

/** Dependencies of the ejector. */
export interface EjectorContext {
  readonly service: () => Service
  readonly draining: () => ReadonlySet<string>
  /** Targets that at least one member may treat as ejected. */
  readonly possiblyEjected: (now: number) => ReadonlySet<string>
  /** Members that can send requests to a target on probation. */
  readonly probers: () => readonly string[]
  /** Whether the member has adopted an allocation that makes it the prober of the target. */
  readonly hasAdoptedProbation: (vm: string, target: string) => boolean
  readonly isEjectionAllowed: (now: number) => boolean
  readonly log: Log
}

/** Health of the targets of one service, in the view of its coordinator. */
export interface Ejector {
  readonly add: (reporter: string, counts: readonly Count[], now: number) => void
  /** Adds counts that a member reported to a predecessor, observed at `at`. */
  readonly addHistory: (reporter: string, counts: readonly Count[], at: number) => void
  /** Removes outcomes that were caused by a request, and ends an ejection that has no other evidence. */
  readonly retract: (reporter: string, counts: readonly Count[]) => void
  /** Takes over an ejection of a predecessor. One that is no longer in effect is restored only within the floor. */
  readonly restore: (ejection: Ejection, inEffect: boolean) => void
  /** Starts the slow start of a new target process. */
  readonly startSlowStart: (target: string, now: number) => void
  /** Updates the ejections. Returns true if any of them changed. */
  readonly tick: (now: number) => boolean
  readonly list: () => readonly Ejection[]
  readonly get: (target: string) => Ejection | undefined
  readonly verdict: (target: string) => Verdict | undefined
  readonly summary: (target: string, now: number) => EvidenceSummary
  readonly floor: () => ServiceCapacity
}

/** Returns the evidence of an ejection without a retracted count. */
function subtractEvidence (evidence: EvidenceSummary, reporter: string, { outcome, count }: Count): EvidenceSummary {
  const row = evidence[reporter] ?? {}
  return { ...evidence, [reporter]: { ...row, [outcome]: Math.max(0, (row[outcome] ?? 0) - count) } }
}

function hasBadOutcome (evidence: EvidenceSummary): boolean {
  return Object.values(evidence).some(row =>
    OUTCOMES.some(outcome => healthSignalOf(outcome) === 'bad' && (row[outcome] ?? 0) > 0))
}

/** Creates an ejector without evidence. */
export function createEjector (context: EjectorContext): Ejector {
  const { service } = context
  const evidence = createEvidence()
  const ejections = createEjections()
  const outlierDetector = createOutlierDetector(service().preference)
  let verdicts: ReadonlyMap<string, Verdict> = new Map()
  let hasNewCounts = false
  let hasNewFailures = false
  let hasRetraction = false
  let expiredEjections: readonly Ejection[] = []

  const isOutOfService = (ejection: Ejection): boolean => ejection.phase !== 'slow-start'
  const ejected = (): readonly string[] => ejections.list().filter(isOutOfService).map(({ target }) => target)
  const unavailable = (): ReadonlySet<string> => new Set([
    ...context.draining(),
    ...ejections.list().filter(ejection => !isOutOfService(ejection)).map(({ target }) => target),
    ...[...verdicts.values()].filter(verdict => verdict.unreachable).map(({ target }) => target)
  ])

  const recordProbe = (reporter: string, ejection: Ejection, count: Count, now: number): void => {
    const signal = healthSignalOf(count.outcome)
    if (ejection.prober !== reporter || signal === 'neutral' || !context.hasAdoptedProbation(reporter, count.target)) return
    if (signal === 'good') {
      for (let i = 0; i < count.count; i++) ejections.recordProbe(count.target, true, now)
      return
    }
    ejections.eject(count.target, { [reporter]: { [count.outcome]: count.count } }, now)
    context.log.info('target.probation-failed', { service: service().name, target: count.target, prober: reporter, outcome: count.outcome })
    hasNewCounts = true
  }
  const add = (reporter: string, count: Count, now: number): void => {
    const ejection = ejections.get(count.target)
    // Requests from before the ejection end during the hold time. They are no new evidence.
    if (ejection?.phase === 'ejected') return
    if (ejection?.phase === 'probation') recordProbe(reporter, ejection, count, now)
    else evidence.add(reporter, [count], now)
    hasNewCounts = true
    hasNewFailures ||= healthSignalOf(count.outcome) === 'bad'
  }
  const addHistorical = (reporter: string, count: Count, at: number): void => {
    const ejection = ejections.get(count.target)
    // Counts from before a change of phase have already been evaluated.
    if (ejection !== undefined && (isOutOfService(ejection) || at <= ejection.phaseSince)) return
    evidence.add(reporter, [count], at)
    hasNewCounts = true
    hasNewFailures ||= healthSignalOf(count.outcome) === 'bad'
  }
  const retract = (reporter: string, count: Count): void => {
    evidence.retract(reporter, [count])
    const ejection = ejections.get(count.target)
    if (ejection?.evidence === undefined || ejection.phase === 'slow-start') return
    const remaining = subtractEvidence(ejection.evidence, reporter, count)
    ejections.restore({ ...ejection, evidence: remaining })
    if (hasBadOutcome(remaining)) return
    ejections.retract(count.target)
    hasRetraction = true
    context.log.info('ejection.retracted', { service: service().name, target: count.target })
  }
  /** Capacity with `target` ejected as well, and with every ejection that a member may still enforce. */
  const capacityWith = (target: string, now: number): ServiceCapacity =>
    computeCapacity(service(), new Set([...context.possiblyEjected(now), ...ejected(), target]), unavailable())
  const restore = (ejection: Ejection): void => {
    if ((ejections.get(ejection.target)?.times ?? 0) >= ejection.times) return
    ejections.restore(ejection)
    evidence.removeTarget(ejection.target)
  }
  const restoreExpired = (now: number): boolean => {
    if (expiredEjections.length === 0 || !context.isEjectionAllowed(now)) return false
    for (const ejection of expiredEjections.toSorted((a, b) => a.since - b.since)) {
      const { healthy, floor } = capacityWith(ejection.target, now)
      if (healthy >= floor) restore(ejection)
    }
    expiredEjections = []
    return true
  }
  const eject = (verdict: Verdict, now: number): boolean => {
    const { target } = verdict
    const { healthy, floor } = capacityWith(target, now)
    if (healthy < floor) return false
    const { holdMs, times } = ejections.eject(target, verdict.evidence, now)
    evidence.removeTarget(target)
    context.log.warn('target.ejected', { service: service().name, target, holdMs, times, sum: verdict.sum, healthy, floor })
    return true
  }
  const evaluate = (now: number): boolean => {
    const draining = context.draining()
    const compared = service().targets.map(({ id }) => id)
      .filter(id => !draining.has(id) && (ejections.get(id)?.phase ?? 'slow-start') === 'slow-start')
    const returning = new Set(compared.filter(id => (ejections.get(id)?.times ?? 0) > 0))
    verdicts = outlierDetector.evaluate(evidence, compared, returning, now)
    if (!context.isEjectionAllowed(now)) return false
    // The strongest evidence first, because the floor may not allow all ejections.
    const unhealthy = [...verdicts.values()].filter(verdict => verdict.unhealthy).toSorted((a, b) => b.sum - a.sum)
    return unhealthy.map(verdict => eject(verdict, now)).includes(true)
  }
  /**
   * Successes alone cannot make a target unhealthy, so most ticks need no evaluation. An evaluation
   * on each tick with new counts blocked the event loop of a busy coordinator for milliseconds.
   */
  const isEvaluationDue = (): boolean =>
    hasNewFailures || (hasNewCounts && [...verdicts.values()].some(verdict => verdict.suspected))
  /** Revokes ejections of removed and draining targets, and those beyond the floor. */
  const revoke = (now: number): boolean => {
    const configured = new Set(service().targets.map(({ id }) => id))
    const draining = context.draining()
    const obsolete = ejections.list().filter(({ target }) => !configured.has(target) || draining.has(target))
    for (const { target } of obsolete) ejections.revoke(target, now)
    const kept = ejectionsWithinFloor(service(), ejected(), unavailable())
    const excess = ejected().filter(target => !kept.has(target))
    for (const target of excess) {
      ejections.revoke(target, now)
      context.log.warn('ejection.revoked', { service: service().name, target, floor: service().floor })
    }
    return obsolete.length + excess.length > 0
  }
  const advance = (now: number): boolean => {
    const advanced = ejections.advance(context.probers(), now)
    // A target in slow start has a lower threshold, so an evaluation is due.
    hasNewFailures ||= advanced.length > 0
    for (const target of advanced) {
      evidence.removeTarget(target)
      context.log.info('target.returning', { service: service().name, target, phase: ejections.get(target)?.phase ?? 'in-service' })
    }
    return advanced.length > 0
  }
  return {
    add: (reporter, counts, now) => { for (const count of counts) add(reporter, count, now) },
    addHistory: (reporter, counts, at) => { for (const count of counts) addHistorical(reporter, count, at) },
    retract: (reporter, counts) => { for (const count of counts) retract(reporter, count) },
    restore: (ejection, inEffect) => {
      if (inEffect) restore(ejection)
      else expiredEjections = [...expiredEjections, ejection]
    },
    startSlowStart: (target, now) => {
      evidence.removeTarget(target)
      ejections.beginSlowStart(target, now)
    },
    tick: now => {
      const restored = restoreExpired(now)
      const changed = isEvaluationDue() && evaluate(now)
      hasNewCounts = false
      hasNewFailures = false
      const retracted = hasRetraction
      hasRetraction = false
      return [revoke(now), advance(now), changed, restored, retracted].includes(true)
    },
    list: ejections.list,
    get: ejections.get,
    verdict: target => verdicts.get(target),
    summary: evidence.summary,
    floor: () => computeCapacity(service(), new Set(ejected()), unavailable())
  }
}

/** Whether the service has requests that may be sent to a target on probation. */
export function hasIdempotentClass (service: Service): boolean {
  return service.classes.some(({ idempotent }) => idempotent)
}
