/** A service with one VM's admission, a manual clock and shares that a test sets. */
import { Effect, Exit, Fiber } from 'effect'
import type { Refusal } from '../../src/errors/index.js'
import { createAdmission, type AdmissionControl, type AdmissionOptions } from '../../src/admission/index.js'
import type { Class, Configuration, Observation, Result, Service, Shares, Slot, SlotRequest, Target } from '../../src/model/index.js'

const read: Class = { name: 'read', idempotent: true, deadlineMs: 2000, priority: 0 }
const hold: Class = { name: 'hold', idempotent: false, deadlineMs: 2000, priority: 5 }

export const target = (id: string, place = 'riga-a', slots = 1): Target =>
  ({ id, address: '127.0.0.1', port: 1, place, slots, connections: 400 })

export interface Setting {
  readonly targets: readonly Target[]
  readonly queue?: Service['queue']
  readonly limit?: (target: string) => number
  readonly ejected?: readonly string[]
  readonly probation?: readonly string[]
  readonly draining?: readonly string[]
  readonly random?: () => number
}

export type State = { readonly kind: 'waiting' } | { readonly kind: 'slot', readonly slot: Slot } | { readonly kind: 'refused', readonly refused: Refusal }

export interface Attempt {
  readonly state: () => State
  readonly interrupt: () => void
}

export interface World {
  readonly admission: AdmissionControl
  readonly observed: Observation[]
  readonly clock: { now: number }
  readonly request: (wanted?: Partial<SlotRequest>) => SlotRequest
  readonly ask: (wanted?: Partial<SlotRequest>) => Attempt
  readonly configure: (services: readonly Service[]) => void
  readonly setting: { -readonly [Key in keyof Setting]: Setting[Key] }
}

export function createWorld (initial: Setting): World {
  const setting = { ...initial }
  const clock = { now: 1000 }
  const observed: Observation[] = []
  const service: Service = {
    name: 'listing',
    targets: setting.targets,
    classes: [read, hold],
    floor: 1,
    preference: 'detection',
    queue: setting.queue ?? { length: 64, ageMs: 500 }
  }
  let configuration: Configuration = { revision: 1, services: [service], routes: [] }
  const slotsOf = (id: string): number => setting.targets.find(target => target.id === id)?.slots ?? 0
  const shares: Shares = {
    limit: (_, id) => setting.limit?.(id) ?? slotsOf(id),
    connectionLimit: () => 10,
    ejected: () => new Set(setting.ejected),
    probation: () => new Set(setting.probation)
  }
  const options: AdmissionOptions = {
    configuration: () => configuration,
    shares,
    zone: 'riga-a',
    draining: () => new Set(setting.draining),
    observe: observation => { observed.push(observation) },
    random: setting.random ?? (() => 0.5),
    clock: () => clock.now
  }
  const admission = createAdmission(options)
  const request = (wanted?: Partial<SlotRequest>): SlotRequest => ({
    service: 'listing',
    class: 'read',
    caller: 'family-1',
    deadlineAt: clock.now + 2000,
    avoid: new Set(),
    avoidPlaces: new Set(),
    ...wanted
  })
  return {
    admission,
    observed,
    clock,
    setting,
    configure: services => { configuration = { revision: configuration.revision + 1, services, routes: [] } },
    request,
    ask: wanted => {
      const fiber = Effect.runFork(admission.acquire(request(wanted), clock.now))
      return { state: () => stateOf(fiber), interrupt: () => { Effect.runFork(Fiber.interrupt(fiber)) } }
    }
  }
}

function stateOf (fiber: Fiber.Fiber<Slot, Refusal>): State {
  const exit = fiber.pollUnsafe()
  if (exit === undefined) return { kind: 'waiting' }
  if (Exit.isSuccess(exit)) return { kind: 'slot', slot: exit.value }
  const refused = exit.cause.reasons.flatMap(reason => reason._tag === 'Fail' ? [reason.error] : [])[0]
  if (refused === undefined) return { kind: 'waiting' }
  return { kind: 'refused', refused }
}

/** Target id, refusal kind, or `waiting`. */
export function outcome (attempt: Attempt): string {
  const state = attempt.state()
  if (state.kind === 'slot') return state.slot.target.id
  return state.kind === 'refused' ? state.refused.kind : 'waiting'
}

export const observation = (id: string, result: Result, latencyMs = 10, className = 'read'): Observation =>
  ({ service: 'listing', target: id, class: className, result, latencyMs, fingerprint: 'f' })

export function finish (world: World, attempt: Attempt, result: Result = 'answered', latencyMs = 10): void {
  const state = attempt.state()
  if (state.kind !== 'slot') throw new Error('the attempt holds no slot')
  state.slot.release(observation(state.slot.target.id, result, latencyMs), world.clock.now)
}

/** Makes the median latency of class `read` known. */
export function teachLatency (world: World, latencyMs: number): void {
  for (let i = 0; i < 30; i++) finish(world, world.ask(), 'answered', latencyMs)
}
