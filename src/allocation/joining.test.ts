/** Coordination of one VM whose subset changes, without peers. */
import { Effect, Fiber } from 'effect'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { noDemand, silentLog } from '../../measure/fleet/fleet.js'
import type { Configuration, Mesh } from '../model/index.js'
import { createCoordination, type Coordination } from './index.js'

const joining = suite('joining')
const START = 1_000
const mesh: Mesh = { send: () => false, subscribe: () => {}, contacts: () => [] }
const configuration: Configuration = {
  revision: 1,
  routes: [],
  services: [{
    name: 's',
    targets: [{ id: 't1', address: '127.0.0.1', port: 80, place: 'riga-a', slots: 4, connections: 400 }],
    classes: [],
    floor: 0,
    preference: 'detection',
    queue: { length: 64, ageMs: 500 }
  }]
}

interface Subset {
  members: readonly string[]
}

function coordinationOf (subset: Subset): Coordination {
  return createCoordination({
    self: 'a', incarnation: 'a-0', subset: () => subset.members, configuration: () => configuration, mesh, demand: noDemand, log: silentLog
  })
}

function tickUntil (coordination: Coordination, from: number, to: number): void {
  for (let now = from; now <= to; now += 50) coordination.tick(now)
}

const cases: ReadonlyArray<{ name: string, before: readonly string[], after: readonly string[], changeMs: number, limits: ReadonlyArray<readonly [number, number]> }> = [
  {
    // Guards against slots that are still in use by the VM that left the subset.
    name: 'a VM that joins a subset has base shares after 8 s',
    before: ['x', 'y'],
    after: ['a', 'y', 'z'],
    changeMs: 10_000,
    limits: [[9_950, 0], [10_000, 0], [17_950, 0], [18_050, 1]]
  },
  {
    // Guards against a new fleet that serves no requests before it has a coordinator.
    name: 'a VM that discovers its subset while it starts has base shares immediately',
    before: [],
    after: ['a', 'y', 'z'],
    changeMs: 1_000,
    limits: [[950, 0], [1_050, 1]]
  },
  {
    name: 'a VM that leaves a subset loses its share immediately',
    before: ['a', 'y', 'z'],
    after: ['x', 'y', 'z'],
    changeMs: 1_000,
    limits: [[950, 1], [1_000, 0]]
  }
]

for (const { name, before, after, changeMs, limits } of cases) {
  joining(name, () => {
    const subset: Subset = { members: before }
    const coordination = coordinationOf(subset)
    let at = START
    for (const [atMs, limit] of limits) {
      for (; at <= START + atMs; at += 50) {
        if (at >= START + changeMs) subset.members = after
        coordination.tick(at)
      }
      assert.is(coordination.shares.limit('s', 't1', at - 50), limit, `after ${atMs} ms`)
    }
  })
}

joining('a VM outside of every subset has no shares and no explanation', () => {
  const coordination = coordinationOf({ members: ['x'] })
  tickUntil(coordination, START, START + 200)
  assert.is(coordination.shares.connectionLimit('s', 't1', START + 200), 0)
  assert.is(coordination.explain('s', undefined, START + 200), undefined)
  assert.equal([...coordination.shares.ejected('unknown', START + 200)], [])
})

// Guards against a loop that ends after its first tick.
joining('run ticks until it is interrupted', async () => {
  const times: number[] = []
  const coordination = coordinationOf({ members: ['a'] })
  await Effect.runPromise(Effect.gen(function * () {
    const fiber = yield * Effect.forkChild(coordination.run(() => {
      times.push(performance.now())
      return performance.now()
    }))
    yield * Effect.sleep(180)
    yield * Fiber.interrupt(fiber)
  }))
  assert.ok(times.length >= 2, `${times.length} ticks`)
})

joining.run()
