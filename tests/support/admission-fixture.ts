/** Fixture: admission of one VM for one service, with a manual clock and shares that the test sets. */
import { Effect, Exit, Fiber } from 'effect'
import type { Refusal } from '../../src/errors/index.js'
import { createAdmission, type AdmissionControl, type AdmissionOptions } from '../../src/admission/index.js'
import type { Class, Configuration, Observation, Result, Service, Shares, Slot, SlotRequest, Target } from '../../src/model/index.js'

const read: Class = { name: 'read', idempotent: true, deadlineMs: 2000, priority: 0 }
const hold: Class = { name: 'hold', idempotent: false, deadlineMs: 2000, priority: 5 }

export const target = (id: string, place = 'riga-a', slots = 1): Target =>
  ({ id, address: '127.0.0.1', port: 1, place, slots, connections: 400 })

export interface FixtureSettings {
  readonly targets: readonly Target[]
  readonly queue?: Service['queue']
  readonly limit?: (target: string) => number
  readonly ejected?: readonly string[]
  readonly probation?: readonly string[]
  readonly draining?: readonly string[]
  readonly random?: () => number
}

export type AcquisitionState = { readonly kind: 'waiting' } | { readonly kind: 'slot', readonly slot: Slot } | { readonly kind: 'refused', readonly refused: Refusal }

export interface Acquisition {
  readonly state: () => AcquisitionState
  readonly interrupt: () => void
}

export interface AdmissionFixture {
  readonly admission: AdmissionControl
  readonly observed: Observation[]
  readonly clock: { now: number }
  readonly request: (wanted?: Partial<SlotRequest>) => SlotRequest
  readonly acquire: (wanted?: Partial<SlotRequest>) => Acquisition
  readonly configure: (services: readonly Service[]) => void
  readonly settings: { -readonly [Key in keyof FixtureSettings]: FixtureSettings[Key] }
}

export function createAdmissionFixture (initial: FixtureSettings): AdmissionFixture {
  const settings = { ...initial }
  const clock = { now: 1000 }
  const observed: Observation[] = []
  const service: Service = {
    name: 'listing',
    targets: settings.targets,
    classes: [read, hold],
    floor: 1,
    preference: 'detection',
    queue: settings.queue ?? { length: 64, ageMs: 500 }
  }
  let configuration: Configuration = { revision: 1, services: [service], routes: [] }
  const slotsOf = (id: string): number => settings.targets.find(target => target.id === id)?.slots ?? 0
  const shares: Shares = {
    limit: (_, id) => settings.limit?.(id) ?? slotsOf(id),
    connectionLimit: () => 10,
    ejected: () => new Set(settings.ejected),
    probation: () => new Set(settings.probation)
  }
  const options: AdmissionOptions = {
    configuration: () => configuration,
    shares,
    zone: 'riga-a',
    draining: () => new Set(settings.draining),
    observe: observation => { observed.push(observation) },
    random: settings.random ?? (() => 0.5),
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
    settings,
    configure: services => { configuration = { revision: configuration.revision + 1, services, routes: [] } },
    request,
    acquire: wanted => {
      const fiber = Effect.runFork(admission.acquire(request(wanted), clock.now))
      return { state: () => stateOf(fiber), interrupt: () => { Effect.runFork(Fiber.interrupt(fiber)) } }
    }
  }
}

function stateOf (fiber: Fiber.Fiber<Slot, Refusal>): AcquisitionState {
  const exit = fiber.pollUnsafe()
  if (exit === undefined) return { kind: 'waiting' }
  if (Exit.isSuccess(exit)) return { kind: 'slot', slot: exit.value }
  const refused = exit.cause.reasons.flatMap(reason => reason._tag === 'Fail' ? [reason.error] : [])[0]
  if (refused === undefined) return { kind: 'waiting' }
  return { kind: 'refused', refused }
}

/** Returns the id of the assigned target, the kind of the refusal, or `waiting`. */
export function outcomeOf (acquisition: Acquisition): string {
  const state = acquisition.state()
  if (state.kind === 'slot') return state.slot.target.id
  return state.kind === 'refused' ? state.refused.kind : 'waiting'
}

export const observation = (id: string, result: Result, latencyMs = 10, className = 'read'): Observation =>
  ({ service: 'listing', target: id, class: className, result, latencyMs, fingerprint: 'f' })

export function release (fixture: AdmissionFixture, acquisition: Acquisition, result: Result = 'answered', latencyMs = 10): void {
  const state = acquisition.state()
  if (state.kind !== 'slot') throw new Error('no slot to release: the request is queued or refused')
  state.slot.release(observation(state.slot.target.id, result, latencyMs), fixture.clock.now)
}

/** Completes 30 requests of class `read`, which is enough for a median latency. */
export function recordLatencies (fixture: AdmissionFixture, latencyMs: number): void {
  for (let i = 0; i < 30; i++) release(fixture, fixture.acquire(), 'answered', latencyMs)
}
