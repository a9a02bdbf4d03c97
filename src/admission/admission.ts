import { Effect, Latch } from 'effect'
import { refusal, type Refusal } from '../errors/index.js'
import type { Admission, Class, Clock, Configuration, Demand, Observation, Place, Service, Shares, Slot, SlotRequest } from '../model/index.js'
import { createTaskQueue } from './task-queue.js'
import { checkOnArrival } from './refusals.js'
import { enqueue, refuseQueued, serveQueue, tryGrant, type QueueContext } from './service-queue.js'
import { createServiceState, explainService, type QueuedRequest, type ServiceState, type ServiceUse, type ServiceView } from './service-state.js'

/**
 * Interval between checks of the queued requests, within which deadlines and changed shares take effect. A released
 * slot is granted to the next request immediately.
 */
const SWEEP_INTERVAL_MS = 5

/** Dependencies of the admission. */
export interface AdmissionOptions {
  /** The current configuration; read for each decision. */
  readonly configuration: () => Configuration
  readonly shares: Shares
  /** Zone of this VM; its targets are preferred among otherwise equal ones. */
  readonly zone: Place
  /** Draining targets of a service. Default: only those that responded so to this VM. */
  readonly draining?: (service: string, now: number) => ReadonlySet<string>
  /** Called with the observation with which a slot is released. */
  readonly observe: (observation: Observation, now: number) => void
  /** Uniform in [0, 1), for example `Math.random`. */
  readonly random: () => number
  /** Used by `maintain`, and when a fiber is interrupted. */
  readonly clock: Clock
}

/** Admission with its maintenance and statistics. */
export interface AdmissionControl extends Admission<SlotRequest>, Demand {
  /** Median time to the response headers, in ms; undefined with too few recent responses. */
  readonly medianLatencyMs: (service: string, className: string, now: number) => number | undefined
  /** Refuses queued requests that expired, and grants slots that a changed share made available. */
  readonly sweep: (now: number) => void
  /** Sweeps while requests are queued. Has to be forked; otherwise queued requests do not expire. */
  readonly maintain: Effect.Effect<never>
  /** Explains the use of a service to operators; undefined if it does not exist. */
  readonly explain: (service: string, now: number) => ServiceUse | undefined
}

interface Resolved {
  readonly service: Service
  readonly requestClass: Class
}

const NO_TARGETS: ReadonlySet<string> = new Set()

type Services = ReadonlyMap<string, Service>

function resolve (services: Services, request: SlotRequest): Resolved | Refusal {
  const service = services.get(request.service)
  if (service === undefined) return refusal('service-unknown', `service "${request.service}" does not exist`)
  const requestClass = service.classes.find(({ name }) => name === request.class)
  if (requestClass === undefined) return refusal('route-unknown', `service "${request.service}" has no class "${request.class}"`)
  return { service, requestClass }
}

/**
 * Creates the admission of one VM.
 *
 * `acquire` fails with one of these refusals, all of which mean that the request was not executed: `overloaded`,
 * `deadline-too-short`, `no-target`, `service-unknown`, or `route-unknown` for a class that does not exist. The
 * interruption of a fiber removes its request from the queue. A slot has to be released in every case:
 *
 * @example
 * const admission = createAdmission({ configuration, shares, zone: 'riga-a', observe, random: Math.random, clock })
 * Effect.uninterruptibleMask(restore => Effect.gen(function * () {
 *   const slot = yield * restore(admission.acquire(request, clock()))
 *   return yield * restore(forward(slot)).pipe(
 *     Effect.ensuring(Effect.sync(() => slot.release(undefined, clock()))))
 * }))
 */
export function createAdmission (options: AdmissionOptions): AdmissionControl {
  const { configuration, shares, zone, observe, random, clock } = options
  const states = new Map<string, ServiceState>()
  const latch = Latch.makeUnsafe(false)
  const tasks = createTaskQueue()
  const context: QueueContext = { zone, random, observe, tasks, onRelease: (service, now) => serve(service, now) }
  let appliedRevision = -1

  let indexedConfiguration: Configuration | undefined
  let services: Services = new Map()
  /** Indexed by name, because a scan of thousands of services would take longer than the rest of the admission. */
  const currentServices = (): Services => {
    const current = configuration()
    if (current === indexedConfiguration) return services
    indexedConfiguration = current
    services = new Map(current.services.map(service => [service.name, service]))
    return services
  }
  const stateOf = (name: string): ServiceState => {
    const state = states.get(name) ?? createServiceState()
    states.set(name, state)
    return state
  }
  const viewOf = (service: Service, now: number): ServiceView => ({
    service,
    shares,
    now,
    state: stateOf(service.name),
    ejected: shares.ejected(service.name, now),
    probation: shares.probation(service.name, now),
    draining: options.draining?.(service.name, now) ?? NO_TARGETS
  })
  const removeService = (name: string, state: ServiceState): void => {
    for (const entry of state.queue.entries()) {
      refuseQueued(context, state, entry, refusal('service-unknown', `service "${name}" was removed from the configuration`))
    }
    if (!state.hasSlotsInUse()) states.delete(name)
  }
  function serve (name: string, now: number): void {
    const state = states.get(name)
    if (state !== undefined && state.queue.size() > 0) {
      const service = currentServices().get(name)
      if (service === undefined) removeService(name, state)
      else serveQueue(context, viewOf(service, now))
    }
    tasks.flush()
  }
  /** Removes the state of services and targets that a new revision removed, so that memory stays bounded. */
  const applyRevision = (): void => {
    const { revision } = configuration()
    if (revision === appliedRevision) return
    appliedRevision = revision
    for (const [name, state] of states) {
      const service = currentServices().get(name)
      if (service === undefined) removeService(name, state)
      else state.avoidance.retain(new Set(service.targets.map(({ id }) => id)))
    }
  }

  /** Removes the request of an interrupted fiber from the queue, or releases the slot that the fiber did not receive. */
  const cancel = (state: ServiceState, entry: QueuedRequest): void => {
    if (!state.queue.remove(entry)) entry.granted?.release(undefined, clock())
  }
  const acquire: Admission<SlotRequest>['acquire'] = (request, now) => Effect.callback<Slot, Refusal>(resume => {
    applyRevision()
    const resolved = resolve(currentServices(), request)
    if ('kind' in resolved) return resume(Effect.fail(resolved))
    const { service, requestClass } = resolved
    const view = viewOf(service, now)
    const refused = checkOnArrival(view, request, requestClass)
    if (refused !== undefined) return resume(Effect.fail(refused))
    // Queued requests are served first; this one may use the slots that remain free.
    serve(service.name, now)
    const slot = tryGrant(context, view, request, requestClass)
    if (slot !== undefined) return resume(Effect.succeed(slot))
    const entry: QueuedRequest = {
      caller: request.caller,
      priority: requestClass.priority,
      request,
      class: requestClass,
      queuedAt: now,
      granted: undefined,
      deliver: slot => resume(Effect.succeed(slot)),
      refuse: refused => resume(Effect.fail(refused))
    }
    const overloaded = enqueue(context, view, entry)
    tasks.flush()
    if (overloaded !== undefined) return resume(Effect.fail(overloaded))
    latch.openUnsafe()
    return Effect.sync(() => cancel(view.state, entry))
  })

  const sweep = (now: number): void => {
    applyRevision()
    for (const name of [...states.keys()]) serve(name, now)
    const hasQueued = [...states.values()].some(state => state.queue.size() > 0)
    if (!hasQueued) latch.closeUnsafe()
  }
  return {
    acquire,
    sweep,
    maintain: Effect.gen(function * () {
      while (true) {
        yield * latch.await
        sweep(clock())
        yield * Effect.sleep(SWEEP_INTERVAL_MS)
      }
    }),
    inUse: (service, target) => states.get(service)?.inUse(target) ?? 0,
    waiting: service => states.get(service)?.queue.size() ?? 0,
    medianLatencyMs: (service, className, now) => states.get(service)?.medianLatencyMs(className, now),
    explain: (name, now) => {
      const service = currentServices().get(name)
      return service === undefined ? undefined : explainService(viewOf(service, now))
    }
  }
}
