import type { Refusal } from '../errors/index.js'
import type { Class, Service, Shares, Slot, SlotRequest, Target } from '../model/index.js'
import { createAvoidance, type Avoidance } from './avoidance.js'
import type { Candidate } from './choose-target.js'
import { createSlidingMedian, type SlidingMedian } from './sliding-median.js'
import { createFairQueue, type FairQueue, type QueueEntry } from './fair-queue.js'

/** A queued request and the callbacks that resume its fiber. */
export interface QueuedRequest extends QueueEntry {
  readonly request: SlotRequest
  readonly class: Class
  readonly queuedAt: number
  readonly deliver: (slot: Slot) => void
  readonly refuse: (refused: Refusal) => void
  /** The slot that was granted to the request; its fiber may not have received it yet. */
  granted: Slot | undefined
}

/** State of one service at this VM. */
export interface ServiceState {
  readonly queue: FairQueue<QueuedRequest>
  readonly avoidance: Avoidance
  readonly inUse: (target: string) => number
  /** Whether a slot of any target is in use. */
  readonly hasSlotsInUse: () => boolean
  readonly adjustInUse: (target: string, slots: 1 | -1) => void
  readonly medianLatencyMs: (className: string, now: number) => number | undefined
  readonly recordLatency: (className: string, latencyMs: number, now: number) => void
}

/** A service, its state and the usability of its targets at one time. */
export interface ServiceView {
  readonly service: Service
  readonly state: ServiceState
  readonly shares: Shares
  readonly ejected: ReadonlySet<string>
  readonly probation: ReadonlySet<string>
  readonly draining: ReadonlySet<string>
  readonly now: number
}

/** Creates the state of a service without requests. */
export function createServiceState (): ServiceState {
  const slotsInUse = new Map<string, number>()
  const medians = new Map<string, SlidingMedian>()
  return {
    queue: createFairQueue(),
    avoidance: createAvoidance(),
    inUse: target => slotsInUse.get(target) ?? 0,
    hasSlotsInUse: () => slotsInUse.size > 0,
    adjustInUse: (target, slots) => {
      const inUse = (slotsInUse.get(target) ?? 0) + slots
      if (inUse > 0) slotsInUse.set(target, inUse)
      else slotsInUse.delete(target)
    },
    medianLatencyMs: (className, now) => medians.get(className)?.value(now),
    recordLatency: (className, latencyMs, now) => {
      const median = medians.get(className) ?? createSlidingMedian(now)
      medians.set(className, median)
      median.record(latencyMs, now)
    }
  }
}

function isDraining ({ state, draining, now }: ServiceView, target: Target): boolean {
  return draining.has(target.id) || state.avoidance.isDraining(target.id, now)
}

/** Whether the target can serve the request if it has a free slot. */
function isSuitable (view: ServiceView, target: Target, request: SlotRequest, { idempotent }: Class): boolean {
  return !request.avoid.has(target.id) &&
    !view.ejected.has(target.id) &&
    !isDraining(view, target) &&
    (idempotent || !view.probation.has(target.id))
}

/** Slots of the target that this VM may use; a target on probation serves one request at a time. */
function limitOf (view: ServiceView, target: Target): number {
  const limit = view.shares.limit(view.service.name, target.id, view.now)
  return view.probation.has(target.id) ? Math.min(1, limit) : limit
}

/** Whether any target of the service can serve the request, now or once a slot is free. */
export function hasSuitableTarget (view: ServiceView, request: SlotRequest, requestClass: Class): boolean {
  return view.service.targets.some(target => isSuitable(view, target, request, requestClass))
}

/** Whether any target has a free slot, suitable or not. */
export function hasFreeSlot (view: ServiceView): boolean {
  return view.service.targets.some(target => view.state.inUse(target.id) < limitOf(view, target))
}

/** Returns the targets that have a free slot and can serve the request. */
export function findCandidates (view: ServiceView, request: SlotRequest, requestClass: Class): readonly Candidate[] {
  const { service, state, now } = view
  const candidates: Candidate[] = []
  for (const target of service.targets) {
    const inUse = state.inUse(target.id)
    const limit = limitOf(view, target)
    if (inUse >= limit || !isSuitable(view, target, request, requestClass)) continue
    const isAvoided = state.avoidance.isAvoided(target.id, now)
    candidates.push({ target, limit, inUse, isAvoided, isOnProbation: view.probation.has(target.id) })
  }
  return candidates
}

/** Use of one target by this VM, as sent to operators under these names. */
export interface TargetUse {
  readonly target: string
  readonly inUse: number
  readonly limit: number
  /** Whether other targets are preferred because of a recent failure. */
  readonly avoided: boolean
  /** Whether the target is draining. */
  readonly leaving: boolean
  readonly ejected: boolean
  readonly probation: boolean
}

/** Use of a service by this VM, as sent to operators under these names. */
export interface ServiceUse {
  /** Number of queued requests. */
  readonly waiting: number
  readonly targets: readonly TargetUse[]
}

/** Explains to operators which targets get requests. */
export function explainService (view: ServiceView): ServiceUse {
  const { service, state, now } = view
  const targets = service.targets.map(target => ({
    target: target.id,
    inUse: state.inUse(target.id),
    limit: limitOf(view, target),
    avoided: state.avoidance.isAvoided(target.id, now),
    leaving: isDraining(view, target),
    ejected: view.ejected.has(target.id),
    probation: view.probation.has(target.id)
  }))
  return { waiting: state.queue.size(), targets }
}
