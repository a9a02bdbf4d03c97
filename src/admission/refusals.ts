import { refusal, type Refusal } from '../errors/index.js'
import type { Class, SlotRequest } from '../model/index.js'
import { hasSuitableTarget, type QueuedRequest, type ServiceView } from './service-state.js'

/** Refuses a request that could not complete before its deadline if it started now. */
function checkDeadline ({ state, now }: ServiceView, { class: className, deadlineAt }: SlotRequest): Refusal | undefined {
  const remainingMs = deadlineAt - now
  const medianMs = state.medianLatencyMs(className, now) ?? 0
  if (remainingMs > 0 && remainingMs >= medianMs) return undefined
  return refusal('deadline-too-short', `${Math.round(remainingMs)} ms remain until the deadline; the median latency is ${Math.round(medianMs)} ms`)
}

/** Returns the refusal of a request on its arrival; undefined if it may start or be queued. */
export function checkOnArrival (view: ServiceView, request: SlotRequest, requestClass: Class): Refusal | undefined {
  const late = checkDeadline(view, request)
  if (late !== undefined) return late
  if (hasSuitableTarget(view, request, requestClass)) return undefined
  return refusal('no-target', `none of the ${view.service.targets.length} targets of "${view.service.name}" can take the request`)
}

/** Returns the refusal of a queued request; undefined if it may stay in the queue. */
export function checkWhileQueued (view: ServiceView, { request, queuedAt }: QueuedRequest): Refusal | undefined {
  const waitedMs = view.now - queuedAt
  const { ageMs } = view.service.queue
  if (waitedMs >= ageMs) return refusal('overloaded', `the request was queued for ${Math.round(waitedMs)} ms; the limit is ${ageMs} ms`)
  return checkDeadline(view, request)
}
