/** A load balancer with a clock that tests advance. For tests only. */
import { Effect } from 'effect'
import { createCatalog, type Catalog } from '../catalog/index.js'
import { fullListingBatch, listingChange, sampleListing, silentLog } from '../catalog/sample.fixture.js'
import type { Refusal } from '../errors/index.js'
import type { Log } from '../log/index.js'
import type { Announcement, Contact, Mesh, Peer, PlacementRequest, Result, Slot } from '../model/index.js'
import { createLoadBalancer, type LoadBalancer } from './index.js'
import { healthReportChannel, type HealthReport } from './messages.js'

/** Longer than the open time after a first failure, in ms. */
export const OPEN_MS = 600

const SERVICE = 'search'

/** A load balancer under test. */
export interface Harness {
  readonly balancer: LoadBalancer
  readonly catalog: Catalog
  readonly now: () => number
  /** Advances the clock and sweeps. */
  readonly advance: (ms: number) => void
  /** Requests a slot, and records the id of the target or the kind of the refusal in `outcomes`. */
  readonly request: (id: string, over?: Partial<PlacementRequest>) => void
  /** Releases the slot of a request; without a result, nothing is recorded, as for an attempt whose response is not used. */
  readonly end: (id: string, result: Result | undefined) => void
  /** Lets the target of a request announce something in its response. */
  readonly announce: (id: string, announcement: Announcement) => void
  /** Whether the target of a request may still get it. */
  readonly isUsable: (id: string) => boolean
  /** Receives a report of another VM that the target is healthy again. */
  readonly hearHealthy: (target: string) => void
  /** Target id or refusal kind by request; queued requests have none. */
  readonly outcomes: Readonly<Record<string, string>>
  readonly refusals: Readonly<Record<string, Refusal>>
  /** VMs to which messages were sent. */
  readonly receivers: readonly string[]
}

interface HarnessOptions {
  readonly servingVMs?: readonly string[]
  /** Slots of each target. Default: 1. */
  readonly slots?: number
  readonly log?: Log
}

/** Creates a load balancer for targets of one service that started at 1. */
export function createHarness (ids: readonly string[], { servingVMs = ['vm-1'], slots: slotsPerTarget = 1, log = silentLog }: HarnessOptions = {}): Harness {
  let now = 0
  const receivers: string[] = []
  const contacts: readonly Contact[] = ['vm-2', 'vm-3', 'vm-4'].map(vm => ({ vm, incarnation: '1', lastEchoAt: 0, roundTripMs: 1 }))
  let receiveHealthReport: (from: Peer, report: HealthReport) => void = () => {}
  const mesh: Mesh = {
    contacts: () => contacts,
    subscribe: (channel, handler) => {
      if (channel.kind === healthReportChannel.kind) receiveHealthReport = handler as unknown as typeof receiveHealthReport
    },
    send: vm => receivers.push(vm) > 0
  }
  const catalog = createCatalog(silentLog)
  const balancer = createLoadBalancer({
    self: 'vm-1',
    zone: 'riga-a',
    catalog,
    mesh,
    servingVMs: () => servingVMs,
    zonePeers: () => [],
    otherZoneVMs: () => [],
    retries: () => ({ ratio: 0.2, windowMs: 10_000, slack: 64 }),
    retryShare: () => 1,
    observe: () => {},
    random: () => 0.5,
    log,
    clock: () => now
  })
  catalog.apply(fullListingBatch(1, ...ids.map(id => listingChange(1, sampleListing(id, { service: SERVICE, slots: slotsPerTarget })))), 0)
  const outcomes: Record<string, string> = {}
  const refusals: Record<string, Refusal> = {}
  const slots = new Map<string, Slot>()
  return {
    balancer,
    catalog,
    outcomes,
    refusals,
    receivers,
    now: () => now,
    advance: ms => {
      now += ms
      balancer.sweep(now)
    },
    request: (id, over = {}) => {
      const slotRequest: PlacementRequest = {
        service: SERVICE,
        class: 'c',
        caller: id,
        requestId: id,
        deadlineAt: now + 5000,
        objectiveAt: now + 4000,
        idempotent: false,
        priority: 1,
        avoid: new Set(),
        avoidPlaces: new Set(),
        ...over
      }
      Effect.runCallback(Effect.result(balancer.acquire(slotRequest, now)), {
        onExit: exit => {
          if (exit._tag === 'Failure') throw new Error(String(exit.cause))
          if (exit.value._tag === 'Failure') {
            outcomes[id] = exit.value.failure.kind
            refusals[id] = exit.value.failure
            return
          }
          slots.set(id, exit.value.success)
          outcomes[id] = exit.value.success.target.id
        }
      })
    },
    end: (id, result) => {
      const slot = slots.get(id)
      const observation = result && { requestId: id, service: SERVICE, target: slot?.target.id ?? '', class: 'c', result, latencyMs: 10, fingerprint: '' }
      slot?.release(observation, now)
    },
    announce: (id, announcement) => slots.get(id)?.announce?.(announcement, now),
    isUsable: id => slots.get(id)?.isUsable?.(now) ?? true,
    hearHealthy: target => receiveHealthReport({ vm: 'vm-2', incarnation: '1' }, [target, 1, 0])
  }
}
