import { Effect } from 'effect'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createCatalog, type Change } from '../catalog/index.js'
import type { Log } from '../log/index.js'
import type { Mesh, PlacementRequest, Result, Slot } from '../model/index.js'
import { createLoadBalancer, type LoadBalancer } from './index.js'

const test = suite('load balancer')

const SILENT: Log = { info: () => {}, warn: () => {}, error: () => {} }
/** Longer than the open time after a first failure, in ms. */
const OPEN_MS = 600

interface Harness {
  readonly balancer: LoadBalancer
  /** Advances the clock and sweeps. */
  readonly advance: (ms: number) => void
  /** Requests a slot, and records the id of the target or the kind of the refusal in `outcomes`. */
  readonly request: (id: string, over?: Partial<PlacementRequest>) => void
  readonly end: (id: string, result: Result) => void
  /** Target id or refusal kind by request; queued requests have none. */
  readonly outcomes: Readonly<Record<string, string>>
  /** VMs to which messages were sent. */
  readonly receivers: readonly string[]
}

function createHarness (ids: readonly string[], servingVMs: readonly string[] = ['vm-1']): Harness {
  let now = 0
  const receivers: string[] = []
  const mesh: Mesh = {
    contacts: () => ['vm-2', 'vm-3', 'vm-4'].map(vm => ({ vm, incarnation: '1', lastEchoAt: 0, roundTripMs: 1 })),
    subscribe: () => {},
    send: vm => receivers.push(vm) > 0
  }
  const catalog = createCatalog(SILENT)
  const changes = ids.map((id): Change => ({
    version: 1,
    entry: { kind: 'listing', id, listing: { id, service: 's', address: '127.0.0.1', port: 1, zone: 'a', slots: 1, draining: false, warmupMs: 0, startedAt: 1 } }
  }))
  catalog.apply({ section: 'listings', changes, after: undefined, upTo: 1 }, 0)
  const balancer = createLoadBalancer({
    self: 'vm-1',
    zone: 'a',
    catalog,
    mesh,
    servingVMs: () => servingVMs,
    zonePeers: () => [],
    otherZoneVMs: () => [],
    retries: () => ({ ratio: 0.2, windowMs: 10_000, slack: 64 }),
    retryShare: () => 1,
    observe: () => {},
    random: () => 0.5,
    log: SILENT,
    clock: () => now
  })
  const outcomes: Record<string, string> = {}
  const slots = new Map<string, Slot>()
  return {
    balancer,
    outcomes,
    receivers,
    advance: ms => {
      now += ms
      balancer.sweep(now)
    },
    request: (id, over = {}) => {
      const slotRequest: PlacementRequest = {
        service: 's',
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
            return
          }
          slots.set(id, exit.value.success)
          outcomes[id] = exit.value.success.target.id
        }
      })
    },
    end: (id, result) => {
      const slot = slots.get(id)
      slot?.release({ requestId: id, service: 's', target: slot.target.id, class: 'c', result, latencyMs: 10, fingerprint: '' }, now)
    }
  }
}

/** One half-open target, and one healthy target that is full with two requests, so that a third one is queued. */
function createBusyHarness (): Harness {
  const harness = createHarness(['t-1', 't-2'])
  harness.request('failing')
  harness.end('failing', 'failed')
  harness.request('first')
  harness.request('second')
  harness.advance(OPEN_MS)
  return harness
}

// A queued non-idempotent request must not block an idempotent one behind it that can probe a target.
test('an idempotent request probes a target while a non-idempotent one is queued', () => {
  const harness = createBusyHarness()
  const [failed, healthy] = [harness.outcomes['failing'], harness.outcomes['first']]
  assert.is.not(failed, healthy)
  harness.request('waiting')
  assert.is(harness.outcomes['waiting'], undefined)
  harness.request('read', { idempotent: true })
  assert.is(harness.outcomes['read'], failed)
})

test('the queued request with the highest priority gets the next free slot', () => {
  const harness = createBusyHarness()
  const healthy = harness.outcomes['first']
  harness.request('waiting')
  harness.request('urgent', { priority: 2 })
  harness.end('first', 'answered')
  harness.end('second', 'answered')
  assert.is(harness.outcomes['urgent'], healthy)
})

test('a request without a slot at its latest start is refused', () => {
  const harness = createHarness(['t-1'])
  harness.request('first')
  harness.request('second')
  harness.request('third')
  harness.advance(5000)
  assert.is(harness.outcomes['third'], 'overloaded')
})

// Guards against messages that grow with the number of VMs that serve no callers.
test('a failure is reported to the other serving VMs only', () => {
  const harness = createHarness(['t-1'], ['vm-1', 'vm-2', 'vm-3'])
  harness.request('failing')
  harness.end('failing', 'failed')
  assert.equal(harness.receivers, ['vm-2', 'vm-3'])
})

test('a request is refused immediately when there is no target', () => {
  const harness = createHarness([])
  harness.request('first')
  assert.is(harness.outcomes['first'], 'no-target')
})

test.run()
