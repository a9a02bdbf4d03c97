/** Acquires the slots of the attempts at one request, each at a target that was not tried if possible. */
import { Effect } from 'effect'
import type { Refusal } from '../errors/index.js'
import type { Slot } from '../model/index.js'
import type { EntryOptions } from './options.js'
import { hasTimeLeft, type RoutedRequest } from './pre-send-checks.js'

/** The slots of one request. */
export interface SlotSearch {
  /** For the first attempt. Errors: the refusal of admission. */
  readonly acquireFirst: Effect.Effect<Slot, Refusal>
  /** For an attempt after a failed one; undefined if too little time is left. Errors: the refusal of admission. */
  readonly acquireNext: Effect.Effect<Slot | undefined, Refusal>
  /**
   * Like `acquireNext`, for an attempt beside a stalled one. If there is no other target, the same one may be tried over
   * another connection: the connection may be the fault.
   */
  readonly acquireBeside: (stalledTarget: string) => Effect.Effect<Slot | undefined, Refusal>
}

/**
 * Creates the search for the slots of one request.
 *
 * @example
 * const search = createSlotSearch(options, { exchange, request, route, body, deadlineAt })
 * const slot = yield * search.acquireFirst
 */
export function createSlotSearch (options: EntryOptions, { exchange, route, deadlineAt }: RoutedRequest): SlotSearch {
  const { admission, clock } = options
  const triedTargets = new Set<string>()
  const triedPlaces = new Set<string>()

  const acquireAvoiding = (avoid: ReadonlySet<string>): Effect.Effect<Slot, Refusal> => Effect.suspend(() => admission.acquire({
    service: route.service.name,
    class: route.class.name,
    caller: exchange.callerKey,
    deadlineAt,
    requestId: exchange.id,
    idempotent: route.class.idempotent,
    priority: route.class.priority,
    objectiveAt: exchange.arrivedAt + (route.class.objectiveMs ?? route.class.deadlineMs),
    avoid,
    avoidPlaces: triedPlaces
  }, clock()))

  const markTried = (slot: Slot): Slot => {
    triedTargets.add(slot.target.id)
    triedPlaces.add(slot.target.place)
    return slot
  }

  /** Gives the slot back if its target may not be tried, or if too little time is left. */
  const accept = (slot: Slot, allowedTarget: string | undefined): Slot | undefined => {
    const { id } = slot.target
    const mayTry = id === allowedTarget || !triedTargets.has(id)
    if (mayTry && hasTimeLeft(options, route, deadlineAt, clock())) return markTried(slot)
    slot.release(undefined, clock())
    return undefined
  }

  return {
    acquireFirst: acquireAvoiding(triedTargets).pipe(Effect.map(markTried)),
    acquireNext: acquireAvoiding(triedTargets).pipe(Effect.map(slot => accept(slot, undefined))),
    acquireBeside: stalledTarget => acquireAvoiding(triedTargets).pipe(
      Effect.catch(refused => refused.kind === 'no-target'
        ? acquireAvoiding(new Set([...triedTargets].filter(id => id !== stalledTarget)))
        : Effect.fail(refused)),
      Effect.map(slot => accept(slot, stalledTarget))
    )
  }
}
