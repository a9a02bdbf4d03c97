/** Shares of this VM in the capacity of the targets of its services. */
import type { Service, Shares, Target } from '../model/index.js'
import type { AdoptedAllocation } from './allocation-receiver.js'
import { ejectionsWithinFloor } from './floor.js'

/** Inputs from which the shares of one service are computed. */
export interface ShareInputs {
  readonly self: string
  readonly service: () => Service
  readonly members: () => readonly string[]
  readonly adopted: (now: number) => AdoptedAllocation | undefined
  readonly baseShare: (target: string, now: number) => number
  readonly draining: () => ReadonlySet<string>
  /** Targets that this VM cannot reach itself. */
  readonly unreachable: (now: number) => ReadonlySet<string>
}

const NO_TARGETS: ReadonlySet<string> = new Set()

function isOutOfService (phase: string): boolean {
  return phase !== 'slow-start'
}

/** Ejections that this VM enforces: those of its allocation that the floor allows in its own view, until the coordinator's lease expires. */
function computeEnforced (inputs: ShareInputs, adopted: AdoptedAllocation, now: number): ReadonlySet<string> {
  if (adopted.ejections.length === 0 || now >= adopted.ejectionsUntil) return NO_TARGETS
  const slowStarting = adopted.ejections.filter(({ phase }) => !isOutOfService(phase)).map(({ target }) => target)
  const unavailable = new Set([...inputs.draining(), ...inputs.unreachable(now), ...slowStarting])
  return ejectionsWithinFloor(inputs.service(), adopted.ejections.filter(({ phase }) => isOutOfService(phase)).map(({ target }) => target), unavailable)
}

/** Shares of this VM in one service. */
export interface ServiceShares {
  readonly limit: (target: string, now: number) => number
  readonly connectionLimit: (target: string) => number
  readonly ejected: (now: number) => ReadonlySet<string>
  readonly probation: (now: number) => ReadonlySet<string>
  /** Targets whose ejection this VM enforces, including those on probation. */
  readonly enforcedEjections: (now: number) => ReadonlySet<string>
}

/** Creates the shares of this VM in one service. */
export function createServiceShares (inputs: ShareInputs): ServiceShares {
  let targets: ReadonlyMap<string, Target> = new Map()
  let indexed: Service | undefined
  const find = (id: string): Target | undefined => {
    const service = inputs.service()
    if (service !== indexed) {
      targets = new Map(service.targets.map(target => [target.id, target]))
      indexed = service
    }
    return targets.get(id)
  }
  const isMember = (): boolean => inputs.members().includes(inputs.self)
  // Admission queries all targets with the same time, so the enforced ejections are computed once for each time.
  let cached: { readonly adopted: AdoptedAllocation, readonly service: Service, readonly now: number, readonly value: ReadonlySet<string> } | undefined
  const enforcedAt = (adopted: AdoptedAllocation, now: number): ReadonlySet<string> => {
    const service = inputs.service()
    if (cached?.adopted === adopted && cached.service === service && cached.now === now) return cached.value
    cached = { adopted, service, now, value: computeEnforced(inputs, adopted, now) }
    return cached.value
  }
  const probation = (now: number): ReadonlySet<string> => {
    const adopted = inputs.adopted(now)
    if (adopted === undefined) return NO_TARGETS
    const enforced = enforcedAt(adopted, now)
    const own = adopted.ejections.filter(({ phase, prober, target }) => phase === 'probation' && prober === inputs.self && enforced.has(target))
    return new Set(own.map(({ target }) => target))
  }
  const limitOf = (target: Target, now: number): number => {
    const baseShare = inputs.baseShare(target.id, now)
    const adopted = inputs.adopted(now)
    if (adopted === undefined) return baseShare
    const isEjected = adopted.ejections.some(ejection => ejection.target === target.id && isOutOfService(ejection.phase))
    // An ejection beyond the floor, or after the expiry of the coordinator's lease, leaves the base share, which is never assigned to another member.
    if (isEjected && !enforcedAt(adopted, now).has(target.id)) return baseShare
    return Math.min(target.slots, adopted.limits.get(target.id) ?? baseShare)
  }
  return {
    limit: (id, now) => {
      const target = find(id)
      if (target === undefined || !isMember() || inputs.draining().has(id)) return 0
      return limitOf(target, now)
    },
    connectionLimit: id => isMember() ? Math.max(1, Math.floor((find(id)?.connections ?? 0) / inputs.members().length)) : 0,
    ejected: now => {
      const adopted = inputs.adopted(now)
      const ownProbations = probation(now)
      const enforced = adopted === undefined ? [] : [...enforcedAt(adopted, now)].filter(target => !ownProbations.has(target))
      return new Set([...enforced, ...inputs.draining()])
    },
    probation,
    enforcedEjections: now => {
      const adopted = inputs.adopted(now)
      return adopted === undefined ? NO_TARGETS : enforcedAt(adopted, now)
    }
  }
}

/**
 * Creates the shares of a VM in all its services.
 *
 * @param find returns undefined for a service that is not configured, or that this VM does not serve
 *
 * @example
 * shares.limit('holds', 't1', now) // 2
 */
export function createShares (find: (service: string, now: number) => ServiceShares | undefined): Shares {
  return {
    limit: (service, target, now) => find(service, now)?.limit(target, now) ?? 0,
    connectionLimit: (service, target, now) => find(service, now)?.connectionLimit(target) ?? 0,
    ejected: (service, now) => find(service, now)?.ejected(now) ?? NO_TARGETS,
    probation: (service, now) => find(service, now)?.probation(now) ?? NO_TARGETS
  }
}
