import { Effect, Latch } from 'effect'
import { refusal, type Refusal } from '../errors/index.js'
import type { Admission, Class, Clock, Configuration, Demand, Observation, Place, Service, Shares, Slot, SlotRequest } from '../model/index.js'
import { createOutbox } from './outbox.js'
import { whyNotStartable } from './refusals.js'
import { enqueue, refuseWaiting, serveQueue, tryGrant, type QueueContext } from './service-queue.js'
import { createServiceState, explainPool, type Pool, type ServiceState, type ServiceUse, type WaitingRequest } from './service-state.js'

/**
 * How often waiting requests are checked. Deadlines and new slot shares take
 * effect within this time; a slot that is released is passed on at once.
 */
const SWEEP_INTERVAL_MS = 5

/** What admission depends on. */
export interface AdmissionOptions {
  /** The current configuration; read for each decision. */
  readonly configuration: () => Configuration
  readonly shares: Shares
  /** Place of this VM; its targets come first when otherwise equal. */
  readonly place: Place
  /** Targets of a service that are leaving. Default: only those that told this VM. */
  readonly draining?: (service: string, now: number) => ReadonlySet<string>
  /** Receives each observation that a slot was released with. */
  readonly observe: (observation: Observation, now: number) => void
  /** Uniform in [0, 1), for example `Math.random`. */
  readonly random: () => number
  /** Read by `maintain` and by the clean-up of interrupted fibers. */
  readonly clock: Clock
}

/** Admission with what the entry, the daemon and the operators need besides `acquire`. */
export interface AdmissionControl extends Admission<SlotRequest>, Demand {
  /** Median time to the answer's headers in ms; undefined while there are too few recent answers. */
  readonly medianLatencyMs: (service: string, className: string, now: number) => number | undefined
  /** Refuses requests that waited too long and passes on slots that became free through a new share. */
  readonly sweep: (now: number) => void
  /** Sweeps while requests wait. The daemon forks it; without it, waiting requests do not expire. */
  readonly maintain: Effect.Effect<never>
  /** Undefined for a service that does not exist. */
  readonly explain: (service: string, now: number) => ServiceUse | undefined
}

interface Resolved {
  readonly service: Service
  readonly definition: Class
}

const NO_TARGETS: ReadonlySet<string> = new Set()

type Services = ReadonlyMap<string, Service>

function resolve (services: Services, wanted: SlotRequest): Resolved | Refusal {
  const service = services.get(wanted.service)
  if (service === undefined) return refusal('service-unknown', `"${wanted.service}"`)
  const definition = service.classes.find(({ name }) => name === wanted.class)
  if (definition === undefined) return refusal('route-unknown', `"${wanted.service}" has no class "${wanted.class}"`)
  return { service, definition }
}

/**
 * Creates the admission of one VM.
 *
 * `acquire` fails with a `Refusal` that is always not run: `overloaded`,
 * `deadline-too-short`, `no-target`, `service-unknown`, or `route-unknown`
 * for a class that does not exist. A fiber that is interrupted while it waits
 * leaves the queue. A slot has to be released, whatever happens to its holder:
 *
 * @example
 * const admission = createAdmission({ configuration, shares, place: 'riga-a', observe, random: Math.random, clock })
 * Effect.uninterruptibleMask(restore => Effect.gen(function * () {
 *   const slot = yield * restore(admission.acquire(wanted, clock()))
 *   return yield * restore(forward(slot)).pipe(
 *     Effect.ensuring(Effect.sync(() => slot.release(undefined, clock()))))
 * }))
 */
export function createAdmission (options: AdmissionOptions): AdmissionControl {
  const { configuration, shares, place, observe, random, clock } = options
  const states = new Map<string, ServiceState>()
  const latch = Latch.makeUnsafe(false)
  const outbox = createOutbox()
  const context: QueueContext = { place, random, observe, outbox, onRelease: (service, now) => serve(service, now) }
  let knownRevision = -1

  let indexed: Configuration | undefined
  let services: Services = new Map()
  /** A scan of thousands of services would cost more than the rest of the admission. */
  const currentServices = (): Services => {
    const current = configuration()
    if (current === indexed) return services
    indexed = current
    services = new Map(current.services.map(service => [service.name, service]))
    return services
  }
  const stateOf = (name: string): ServiceState => {
    const state = states.get(name) ?? createServiceState()
    states.set(name, state)
    return state
  }
  const poolOf = (service: Service, now: number): Pool => ({
    service,
    shares,
    now,
    state: stateOf(service.name),
    ejected: shares.ejected(service.name, now),
    probation: shares.probation(service.name, now),
    draining: options.draining?.(service.name, now) ?? NO_TARGETS
  })
  const refuseWithdrawn = (name: string, state: ServiceState): void => {
    for (const entry of state.list.entries()) {
      refuseWaiting(context, state, entry, refusal('service-unknown', `"${name}" was withdrawn`))
    }
    if (!state.busy()) states.delete(name)
  }
  function serve (name: string, now: number): void {
    const state = states.get(name)
    if (state !== undefined && state.list.size() > 0) {
      const service = currentServices().get(name)
      if (service === undefined) refuseWithdrawn(name, state)
      else serveQueue(context, poolOf(service, now))
    }
    outbox.flush()
  }
  /** Drops what belongs to withdrawn services and targets, so that memory follows the configuration. */
  const followRevision = (): void => {
    const { revision } = configuration()
    if (revision === knownRevision) return
    knownRevision = revision
    for (const [name, state] of states) {
      const service = currentServices().get(name)
      if (service === undefined) refuseWithdrawn(name, state)
      else state.avoidance.retain(new Set(service.targets.map(({ id }) => id)))
    }
  }

  /** The caller went away: the request leaves the queue, or the slot it did not receive goes back. */
  const withdraw = (state: ServiceState, entry: WaitingRequest): void => {
    if (!state.list.remove(entry)) entry.granted?.release(undefined, clock())
  }
  const acquire: Admission<SlotRequest>['acquire'] = (wanted, now) => Effect.callback<Slot, Refusal>(resume => {
    followRevision()
    const resolved = resolve(currentServices(), wanted)
    if ('kind' in resolved) return resume(Effect.fail(resolved))
    const { service, definition } = resolved
    const pool = poolOf(service, now)
    const refused = whyNotStartable(pool, wanted, definition)
    if (refused !== undefined) return resume(Effect.fail(refused))
    // Requests that wait come first; what they cannot use is free for this one.
    serve(service.name, now)
    const slot = tryGrant(context, pool, wanted, definition)
    if (slot !== undefined) return resume(Effect.succeed(slot))
    const entry: WaitingRequest = {
      caller: wanted.caller,
      priority: definition.priority,
      wanted,
      class: definition,
      since: now,
      granted: undefined,
      deliver: slot => resume(Effect.succeed(slot)),
      refuse: refused => resume(Effect.fail(refused))
    }
    const full = enqueue(context, pool, entry)
    outbox.flush()
    if (full !== undefined) return resume(Effect.fail(full))
    latch.openUnsafe()
    return Effect.sync(() => withdraw(pool.state, entry))
  })

  const sweep = (now: number): void => {
    followRevision()
    for (const name of [...states.keys()]) serve(name, now)
    const waiting = [...states.values()].some(state => state.list.size() > 0)
    if (!waiting) latch.closeUnsafe()
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
    waiting: service => states.get(service)?.list.size() ?? 0,
    medianLatencyMs: (service, className, now) => states.get(service)?.medianLatencyMs(className, now),
    explain: (name, now) => {
      const service = currentServices().get(name)
      return service === undefined ? undefined : explainPool(poolOf(service, now))
    }
  }
}
