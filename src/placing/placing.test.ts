import { Effect } from 'effect'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createCatalog, type Change } from '../catalog/index.js'
import type { Log } from '../log/index.js'
import type { Mesh, PlacementRequest, Result, Slot } from '../model/index.js'
import { createPlacing, type Placing } from './index.js'

const test = suite('placing')

const SILENT: Log = { info: () => {}, warn: () => {}, error: () => {} }
const NO_LINKS: Mesh = { contacts: () => [], subscribe: () => {}, send: () => false }
/** Longer than the hold after a first failure. */
const HELD_MS = 600

interface Bench {
  readonly placing: Placing
  /** Lets time pass. */
  readonly pass: (ms: number) => void
  /** Asks for a slot; the name of the target is pushed when it is granted, or the kind of the refusal. */
  readonly ask: (id: string, over?: Partial<PlacementRequest>) => void
  readonly end: (id: string, result: Result) => void
  /** What became of each request so far. */
  readonly outcomes: Readonly<Record<string, string>>
}

function createBench (ids: readonly string[]): Bench {
  let now = 0
  const catalog = createCatalog(SILENT)
  const changes = ids.map((id): Change => ({
    version: 1,
    entry: { kind: 'listing', id, listing: { id, service: 's', address: '127.0.0.1', port: 1, zone: 'a', slots: 1, draining: false, warmupMs: 0, startedAt: 1 } }
  }))
  catalog.apply({ section: 'listings', changes, after: undefined, upTo: 1 }, 0)
  const placing = createPlacing({
    self: 'vm-1',
    zone: 'a',
    catalog,
    mesh: NO_LINKS,
    servingVMs: () => ['vm-1'],
    neighbours: () => [],
    farServing: () => [],
    retries: () => ({ ratio: 0.2, windowMs: 10_000, slack: 64 }),
    observe: () => {},
    random: () => 0.5,
    log: SILENT,
    clock: () => now
  })
  const outcomes: Record<string, string> = {}
  const slots = new Map<string, Slot>()
  return {
    placing,
    outcomes,
    pass: ms => {
      now += ms
      placing.sweep(now)
    },
    ask: (id, over = {}) => {
      const wanted: PlacementRequest = {
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
      Effect.runCallback(Effect.result(placing.acquire(wanted, now)), {
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

/** One target that failed and may be tried, and one that is sound and busy with two requests; a third one waits. */
function createBusy (): Bench {
  const bench = createBench(['t-1', 't-2'])
  bench.ask('failing')
  bench.end('failing', 'failed')
  bench.ask('first')
  bench.ask('second')
  bench.pass(HELD_MS)
  return bench
}

// Guards against requests that could be served, and find out about a target, behind one that has to wait.
test('an idempotent request tries a target while one that must not run twice waits', () => {
  const bench = createBusy()
  const [failed, sound] = [bench.outcomes['failing'], bench.outcomes['first']]
  assert.is.not(failed, sound)
  bench.ask('waiting')
  assert.is(bench.outcomes['waiting'], undefined)
  bench.ask('read', { idempotent: true })
  assert.is(bench.outcomes['read'], failed)
})

test('the first of the line gets a slot as soon as one is free', () => {
  const bench = createBusy()
  const sound = bench.outcomes['first']
  bench.ask('waiting')
  bench.ask('urgent', { priority: 2 })
  bench.end('first', 'answered')
  bench.end('second', 'answered')
  assert.is(bench.outcomes['urgent'], sound)
})

test('a request that was granted no slot until its latest start is refused', () => {
  const bench = createBench(['t-1'])
  bench.ask('first')
  bench.ask('second')
  bench.ask('third')
  bench.pass(5000)
  assert.is(bench.outcomes['third'], 'overloaded')
})

test('without targets, a request is refused at once', () => {
  const bench = createBench([])
  bench.ask('first')
  assert.is(bench.outcomes['first'], 'no-target')
})

test.run()
