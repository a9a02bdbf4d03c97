import { refusal, type Refusal } from '../errors/index.js'
import type { Class, Observation, Place, Slot, SlotRequest, Target } from '../model/index.js'
import { chooseTarget } from './choose-target.js'
import type { TaskQueue } from './task-queue.js'
import { checkWhileQueued } from './refusals.js'
import { findCandidates, hasFreeSlot, type QueuedRequest, type ServiceView } from './service-state.js'

/** Dependencies that the queues of all services share. */
export interface QueueContext {
  /** Zone of this VM. */
  readonly zone: Place
  readonly random: () => number
  readonly observe: (observation: Observation, now: number) => void
  /** Resumes the fibers of queued requests. */
  readonly tasks: TaskQueue
  /** Called after a slot was released. */
  readonly onRelease: (service: string, now: number) => void
}

function grant (context: QueueContext, { service, state }: ServiceView, target: Target): Slot {
  state.adjustInUse(target.id, 1)
  let isReleased = false
  return {
    target,
    release: (observation, now) => {
      if (isReleased) return
      isReleased = true
      state.adjustInUse(target.id, -1)
      if (observation !== undefined) {
        state.avoidance.record(observation, now)
        if (observation.result === 'answered') state.recordLatency(observation.class, observation.latencyMs, now)
        context.observe(observation, now)
      }
      context.onRelease(service.name, now)
    }
  }
}

/** Grants the request a slot; undefined if no suitable target has a free one. */
export function tryGrant (context: QueueContext, view: ServiceView, request: SlotRequest, requestClass: Class): Slot | undefined {
  const { zone, random } = context
  const isRetry = request.avoid.size > 0
  const target = chooseTarget(findCandidates(view, request, requestClass), { zone, avoidPlaces: request.avoidPlaces, isRetry, random })
  return target === undefined ? undefined : grant(context, view, target)
}

/** Removes a request from the queue and fails its fiber with the refusal; no effect if it is no longer queued. */
export function refuseQueued ({ tasks }: QueueContext, { queue }: ServiceView['state'], entry: QueuedRequest, refused: Refusal): void {
  if (queue.remove(entry)) tasks.add(() => entry.refuse(refused))
}

/** Grants a slot to the first queued request that can use one; returns false if there is none. */
function grantNext (context: QueueContext, view: ServiceView): boolean {
  for (const entry of view.state.queue.inServiceOrder()) {
    const slot = tryGrant(context, view, entry.request, entry.class)
    if (slot === undefined) continue
    view.state.queue.dequeue(entry)
    entry.granted = slot
    context.tasks.add(() => entry.deliver(slot))
    return true
  }
  return false
}

/**
 * Refuses the queued requests that expired, then grants free slots to the others. Afterwards no queued request can
 * use any slot that is still free.
 */
export function serveQueue (context: QueueContext, view: ServiceView): void {
  const { state } = view
  if (state.queue.size() === 0) return
  for (const entry of state.queue.entries()) {
    const refused = checkWhileQueued(view, entry)
    if (refused !== undefined) refuseQueued(context, state, entry, refused)
  }
  while (state.queue.size() > 0 && hasFreeSlot(view) && grantNext(context, view));
}

/** Adds a request to the queue. A full queue evicts another request, or returns the refusal of this one. */
export function enqueue (context: QueueContext, { service, state }: ServiceView, entry: QueuedRequest): Refusal | undefined {
  const { length } = service.queue
  if (state.queue.size() >= length) {
    const refused = refusal('overloaded', `the queue of "${service.name}" has ${state.queue.size()} entries`)
    const evicted = length === 0 ? undefined : state.queue.findEvictable(entry, length)
    if (evicted === undefined) return refused
    refuseQueued(context, state, evicted, refused)
  }
  state.queue.add(entry)
  return undefined
}
