/** Decides which targets of a service are ejected, within the floor. */
import {
  createEjections, createEvidence, createOutlierDetector, healthSignalOf, OUTCOMES,
  type Count, type Ejection, type EvidenceSummary, type Verdict
} from '../health/index.js'
import type { Service } from '../model/index.js'
import { floorArithmetic, withinFloor, type FloorArithmetic } from './floor.js'
import type { Log } from '../log/index.js'

/** What the decisions depend on besides the evidence. */
export interface EjectorContext {
  readonly service: () => Service
  readonly draining: () => ReadonlySet<string>
  /** Targets that some member may treat as ejected. */
  readonly ejectedAnywhere: (now: number) => ReadonlySet<string>
  /** Members that can send the requests of a probation. */
  readonly probers: () => readonly string[]
  /** Whether the member has adopted an allocation that tells it of its probation. */
  readonly knowsProbation: (vm: string, target: string) => boolean
  readonly mayEject: (now: number) => boolean
  readonly log: Log
}

/** Health of the targets of one service as its coordinator sees it. */
export interface Ejector {
  readonly add: (reporter: string, counts: readonly Count[], now: number) => void
  /** Adds counts that a member had reported to a predecessor, as of the time they were seen. */
  readonly recall: (reporter: string, counts: readonly Count[], at: number) => void
  /** Takes outcomes back that were the fault of a request, and ends an ejection that rested on nothing else. */
  readonly retract: (reporter: string, counts: readonly Count[]) => void
  /** Takes over an ejection of a predecessor; one that is not in effect any more has to fit the floor. */
  readonly restore: (ejection: Ejection, inEffect: boolean) => void
  /** Lets the share of a target that is new grow over the slow start. */
  readonly introduce: (target: string, now: number) => void
  /** Decides; returns whether the ejections changed. */
  readonly tick: (now: number) => boolean
  readonly list: () => readonly Ejection[]
  readonly get: (target: string) => Ejection | undefined
  readonly verdict: (target: string) => Verdict | undefined
  readonly summary: (target: string, now: number) => EvidenceSummary
  readonly floor: () => FloorArithmetic
}

/** The evidence of an ejection without counts that were retracted. */
function subtractEvidence (evidence: EvidenceSummary, reporter: string, { outcome, count }: Count): EvidenceSummary {
  const row = evidence[reporter] ?? {}
  return { ...evidence, [reporter]: { ...row, [outcome]: Math.max(0, (row[outcome] ?? 0) - count) } }
}

function hasBadOutcome (evidence: EvidenceSummary): boolean {
  return Object.values(evidence).some(row =>
    OUTCOMES.some(outcome => healthSignalOf(outcome) === 'bad' && (row[outcome] ?? 0) > 0))
}

/** Creates the ejector of a service without any evidence. */
export function createEjector (context: EjectorContext): Ejector {
  const { service } = context
  const evidence = createEvidence()
  const ejections = createEjections()
  const judge = createOutlierDetector(service().preference)
  let verdicts: ReadonlyMap<string, Verdict> = new Map()
  let hasNews = false
  let hasFailures = false
  let hasRetraction = false
  let expired: readonly Ejection[] = []

  const isOut = (ejection: Ejection): boolean => ejection.phase !== 'slow-start'
  const ejected = (): readonly string[] => ejections.list().filter(isOut).map(({ target }) => target)
  const unavailable = (): ReadonlySet<string> => new Set([
    ...context.draining(),
    ...ejections.list().filter(ejection => !isOut(ejection)).map(({ target }) => target),
    ...[...verdicts.values()].filter(verdict => verdict.unreachable).map(({ target }) => target)
  ])

  const addProbe = (reporter: string, ejection: Ejection, count: Count, now: number): void => {
    const meaning = healthSignalOf(count.outcome)
    if (ejection.prober !== reporter || meaning === 'neutral' || !context.knowsProbation(reporter, count.target)) return
    if (meaning === 'good') {
      for (let i = 0; i < count.count; i++) ejections.recordProbe(count.target, true, now)
      return
    }
    ejections.eject(count.target, { [reporter]: { [count.outcome]: count.count } }, now)
    context.log.info('target.probation-failed', { service: service().name, target: count.target, prober: reporter, outcome: count.outcome })
    hasNews = true
  }
  const add = (reporter: string, count: Count, now: number): void => {
    const ejection = ejections.get(count.target)
    // Requests that were sent before the ejection end during the hold time and tell nothing new.
    if (ejection?.phase === 'ejected') return
    if (ejection?.phase === 'probation') addProbe(reporter, ejection, count, now)
    else evidence.add(reporter, [count], now)
    hasNews = true
    hasFailures ||= healthSignalOf(count.outcome) === 'bad'
  }
  const recall = (reporter: string, count: Count, at: number): void => {
    const ejection = ejections.get(count.target)
    // What was seen before a change of phase has been judged.
    if (ejection !== undefined && (isOut(ejection) || at <= ejection.phaseSince)) return
    evidence.add(reporter, [count], at)
    hasNews = true
    hasFailures ||= healthSignalOf(count.outcome) === 'bad'
  }
  const retract = (reporter: string, count: Count): void => {
    evidence.retract(reporter, [count])
    const ejection = ejections.get(count.target)
    if (ejection?.evidence === undefined || ejection.phase === 'slow-start') return
    const left = subtractEvidence(ejection.evidence, reporter, count)
    ejections.restore({ ...ejection, evidence: left })
    if (hasBadOutcome(left)) return
    ejections.retract(count.target)
    hasRetraction = true
    context.log.info('ejection.retracted', { service: service().name, target: count.target })
  }
  /** Floor arithmetic with one more ejection, and with all that any member may still follow. */
  const floorWith = (target: string, now: number): FloorArithmetic =>
    floorArithmetic(service(), new Set([...context.ejectedAnywhere(now), ...ejected(), target]), unavailable())
  const restore = (ejection: Ejection): void => {
    if ((ejections.get(ejection.target)?.times ?? 0) >= ejection.times) return
    ejections.restore(ejection)
    evidence.removeTarget(ejection.target)
  }
  const restoreExpired = (now: number): boolean => {
    if (expired.length === 0 || !context.mayEject(now)) return false
    for (const ejection of expired.toSorted((a, b) => a.since - b.since)) {
      const { healthy, floor } = floorWith(ejection.target, now)
      if (healthy >= floor) restore(ejection)
    }
    expired = []
    return true
  }
  const eject = (verdict: Verdict, now: number): boolean => {
    const { target } = verdict
    const { healthy, floor } = floorWith(target, now)
    if (healthy < floor) return false
    const { holdMs, times } = ejections.eject(target, verdict.evidence, now)
    evidence.removeTarget(target)
    context.log.warn('target.ejected', { service: service().name, target, holdMs, times, sum: verdict.sum, healthy, floor })
    return true
  }
  const judgeAll = (now: number): boolean => {
    const draining = context.draining()
    const compared = service().targets.map(({ id }) => id)
      .filter(id => !draining.has(id) && (ejections.get(id)?.phase ?? 'slow-start') === 'slow-start')
    const returning = new Set(compared.filter(id => (ejections.get(id)?.times ?? 0) > 0))
    verdicts = judge.evaluate(evidence, compared, returning, now)
    if (!context.mayEject(now)) return false
    // The clearest case first: the floor may not allow all of them.
    const unhealthy = [...verdicts.values()].filter(verdict => verdict.unhealthy).toSorted((a, b) => b.sum - a.sum)
    return unhealthy.map(verdict => eject(verdict, now)).includes(true)
  }
  /**
   * Good answers alone cannot make a target unhealthy, so most of the time there is nothing to judge.
   * Judging at each tick with news took the event loop of a busy coordinator for milliseconds.
   */
  const isJudgementDue = (): boolean =>
    hasFailures || (hasNews && [...verdicts.values()].some(verdict => verdict.suspected))
  /** Ends what the configuration, a drain or the floor leaves no room for. */
  const revoke = (now: number): boolean => {
    const configured = new Set(service().targets.map(({ id }) => id))
    const draining = context.draining()
    const gone = ejections.list().filter(({ target }) => !configured.has(target) || draining.has(target))
    for (const { target } of gone) ejections.revoke(target, now)
    const kept = withinFloor(service(), ejected(), unavailable())
    const excess = ejected().filter(target => !kept.has(target))
    for (const target of excess) {
      ejections.revoke(target, now)
      context.log.warn('ejection.revoked', { service: service().name, target, floor: service().floor })
    }
    return gone.length + excess.length > 0
  }
  const advance = (now: number): boolean => {
    const moved = ejections.advance(context.probers(), now)
    // A target in slow start has a lower threshold.
    hasFailures ||= moved.length > 0
    for (const target of moved) {
      evidence.removeTarget(target)
      context.log.info('target.returning', { service: service().name, target, phase: ejections.get(target)?.phase ?? 'in-service' })
    }
    return moved.length > 0
  }
  return {
    add: (reporter, counts, now) => { for (const count of counts) add(reporter, count, now) },
    recall: (reporter, counts, at) => { for (const count of counts) recall(reporter, count, at) },
    retract: (reporter, counts) => { for (const count of counts) retract(reporter, count) },
    restore: (ejection, inEffect) => {
      if (inEffect) restore(ejection)
      else expired = [...expired, ejection]
    },
    introduce: (target, now) => {
      evidence.removeTarget(target)
      ejections.beginSlowStart(target, now)
    },
    tick: now => {
      const restored = restoreExpired(now)
      const changed = isJudgementDue() && judgeAll(now)
      hasNews = false
      hasFailures = false
      const retracted = hasRetraction
      hasRetraction = false
      return [revoke(now), advance(now), changed, restored, retracted].includes(true)
    },
    list: ejections.list,
    get: ejections.get,
    verdict: target => verdicts.get(target),
    summary: evidence.summary,
    floor: () => floorArithmetic(service(), new Set(ejected()), unavailable())
  }
}

/** Whether the service has requests that a probation may use. */
export function hasIdempotentClass (service: Service): boolean {
  return service.classes.some(({ idempotent }) => idempotent)
}
