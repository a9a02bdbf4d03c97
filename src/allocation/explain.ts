/** Builds the explanation of the health and the shares of a service or a target, for operators. */
import type { Ejection } from '../health/index.js'
import type { Target } from '../model/index.js'
import type { AdoptedAllocation } from './allocation-receiver.js'
import type { Participant } from './participant.js'

/** An object that JSON can represent. Undefined properties are left out. */
export type Explanation = Readonly<Record<string, unknown>>

const ROUNDING_FACTOR = 100

function roundToHundredths (value: number): number {
  return Math.round(value * ROUNDING_FACTOR) / ROUNDING_FACTOR
}

function explainEjection (ejection: Ejection | undefined, now: number): Explanation | undefined {
  if (ejection === undefined) return undefined
  const { phase, since, phaseSince, times, holdMs, prober, evidence } = ejection
  return {
    phase,
    ejectedForMs: Math.round(now - since),
    phaseForMs: Math.round(now - phaseSince),
    ejectionsWithin5Min: times,
    holdMs,
    holdLeftMs: phase === 'ejected' ? Math.max(0, Math.round(phaseSince + holdMs - now)) : 0,
    prober,
    evidence
  }
}

function explainAllocation (adopted: AdoptedAllocation | undefined, now: number): Explanation | undefined {
  if (adopted === undefined) return undefined
  return {
    coordinator: adopted.coordinator.vm,
    epoch: adopted.epoch,
    number: adopted.number,
    expiresInMs: Math.round(adopted.validUntil - now)
  }
}

function stateOf (participant: Participant, target: Target, ejection: Ejection | undefined, now: number): string {
  if (participant.draining().has(target.id)) return 'draining'
  if (ejection === undefined) return 'in-service'
  const isEnforced = ejection.phase === 'slow-start' || participant.shares.enforcedEjections(now).has(target.id)
  return isEnforced ? ejection.phase : 'in-service-for-floor'
}

function explainTarget (participant: Participant, target: Target, now: number): Explanation {
  const coordinator = participant.coordinator()
  const adopted = participant.adopted(now)
  const ejection = coordinator?.ejection(target.id) ?? adopted?.ejections.find(({ target: id }) => id === target.id)
  const verdict = coordinator?.verdict(target.id)
  const name = participant.context.service().name
  return {
    target: target.id,
    slots: target.slots,
    state: stateOf(participant, target, ejection, now),
    ejection: explainEjection(ejection, now),
    // Only the coordinator receives the evidence of all members.
    verdict: verdict === undefined
      ? undefined
      : {
          unhealthy: verdict.unhealthy,
          unreachable: verdict.unreachable,
          failingForMs: verdict.since === undefined ? undefined : Math.round(now - verdict.since),
          sum: roundToHundredths(verdict.sum),
          threshold: verdict.threshold,
          poolFailureRate: roundToHundredths(verdict.poolRate),
          excludedReporters: verdict.excludedReporters
        },
    evidence: coordinator?.evidence(target.id, now),
    thisVM: {
      limit: participant.shares.limit(target.id, now),
      baseShare: participant.baseShare(target.id, now),
      inUse: participant.context.demand.inUse(name, target.id),
      connectionLimit: participant.shares.connectionLimit(target.id)
    }
  }
}

/**
 * Explains a service with one of its targets or all of them.
 *
 * @param target undefined for all targets of the service
 */
export function explainService (participant: Participant, target: string | undefined, now: number): Explanation {
  const { context } = participant
  const service = context.service()
  const coordinator = participant.coordinator()
  const targets = service.targets.filter(({ id }) => target === undefined || id === target)
  return {
    service: service.name,
    preference: service.preference,
    vm: context.self.vm,
    members: context.members(),
    coordinator: participant.followedCoordinator(now)?.vm,
    leads: participant.holdsLease(now),
    leadsForMs: coordinator === undefined ? undefined : Math.round(now - coordinator.startedAt),
    epoch: participant.epoch(),
    floor: coordinator?.floor() ?? { floor: service.floor },
    allocation: explainAllocation(participant.adopted(now), now),
    waiting: context.demand.waiting(service.name),
    targets: targets.map(entry => explainTarget(participant, entry, now))
  }
}
