/** The parts of the allocation, each alone. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Ejection, EjectionPhase } from '../health/index.js'
import type { Service } from '../model/index.js'
import { createAdoption, type Adopted } from './adoption.js'
import { baseShare, baseTotal, createOwnBase } from './base-shares.js'
import { distribute, type Claimant } from './distribution.js'
import { createDrains, DRAIN_MEMORY_MS } from './drains.js'
import { LEASE_MS } from './durations.js'
import { floorArithmetic, withinFloor } from './floor.js'
import { createLedger, type Ledger } from './ledger.js'
import { allocation, evidenceReport, leaseRequest, type Allocation } from './messages.js'
import { createTakeover } from './takeover.js'
import { createServiceShares, type ServiceShares } from './shares.js'

const parts = suite('allocation parts')
const NOW = 10_000
const MEMBERS = ['a', 'b', 'c', 'd']

function serviceOf (slots: readonly number[], floor: number, address = '127.0.0.1'): Service {
  return {
    name: 's',
    targets: slots.map((count, i) => ({ id: `t${i + 1}`, address, port: 8080 + i, place: 'riga-a', slots: count, connections: 400 })),
    classes: [],
    floor,
    preference: 'detection',
    queue: { length: 64, ageMs: 500 }
  }
}

// Base shares

for (const [slots, members] of [[1, 3], [2, 4], [4, 6], [4, 1], [7, 3], [30, 8]] as const) {
  // Guards against base shares that add up to more than their part, which nothing else would notice without a coordinator.
  parts(`base shares of ${slots} slots add up among ${members} members, for each target`, () => {
    const names = Array.from({ length: members }, (_, i) => `vm-${i}`)
    for (let position = 0; position < 9; position++) {
      const sum = names.reduce((total, vm) => total + baseShare(slots, position, names, vm), 0)
      assert.is(sum, baseTotal(slots))
    }
  })
}

parts('base shares of small targets are spread over the members', () => {
  const shares = MEMBERS.map(vm => [0, 1, 2, 3, 4, 5, 6, 7].reduce((sum, position) => sum + baseShare(2, position, MEMBERS, vm), 0))
  assert.equal(shares, [2, 2, 2, 2])
})

parts('a VM outside of the subset has no base share', () => assert.is(baseShare(4, 0, MEMBERS, 'z'), 0))

// Guards against slots that an old and a new member use while only one of them has seen the change.
parts('a base share shrinks at once and grows after 8 s', () => {
  const base = createOwnBase()
  base.update(new Map([['t1', 2], ['t2', 0]]), NOW)
  assert.is(base.share('t1', NOW), 2)
  base.update(new Map([['t1', 1], ['t2', 1]]), NOW)
  assert.equal([base.share('t1', NOW), base.share('t2', NOW), base.share('t2', NOW + 7_999), base.share('t2', NOW + 8_000)], [1, 0, 0, 1])
})

// Floor

const floorCases: ReadonlyArray<{ name: string, slots: readonly number[], floor: number, ejected: readonly string[], unavailable: readonly string[], kept: readonly string[] }> = [
  { name: 'ejections within the floor are kept', slots: [4, 4, 4, 4, 4, 4], floor: 16, ejected: ['t1', 't2'], unavailable: [], kept: ['t1', 't2'] },
  { name: 'the newest ejection beyond the floor is dropped', slots: [4, 4, 4, 4, 4, 4], floor: 16, ejected: ['t3', 't1', 't2'], unavailable: [], kept: ['t3', 't1'] },
  { name: 'draining, cold and unreachable targets are no capacity', slots: [4, 4, 4, 4, 4, 4], floor: 16, ejected: ['t1', 't2'], unavailable: ['t6'], kept: ['t1'] },
  { name: 'an ejected target that is unreachable as well counts once', slots: [4, 4, 4, 4, 4, 4], floor: 16, ejected: ['t1', 't2'], unavailable: ['t2'], kept: ['t1', 't2'] },
  { name: 'a smaller target may fit where a larger one does not', slots: [8, 2, 4, 4], floor: 12, ejected: ['t1', 't2'], unavailable: [], kept: ['t2'] },
  { name: 'a floor of the whole pool allows none', slots: [2, 2], floor: 4, ejected: ['t1'], unavailable: [], kept: [] },
  { name: '8 targets of 2 slots with floor 12 allow two', slots: [2, 2, 2, 2, 2, 2, 2, 2], floor: 12, ejected: ['t1', 't2', 't3'], unavailable: [], kept: ['t1', 't2'] }
]
for (const { name, slots, floor, ejected, unavailable, kept } of floorCases) {
  parts(`floor: ${name}`, () => {
    assert.equal([...withinFloor(serviceOf(slots, floor), ejected, new Set(unavailable))], [...kept])
  })
}

parts('the floor arithmetic adds up', () => {
  assert.equal(floorArithmetic(serviceOf([4, 4, 4], 4), new Set(['t1']), new Set(['t1', 't2'])),
    { floor: 4, configured: 12, unavailable: 4, ejected: 4, healthy: 4 })
})

// Shares

const ejectionOf = (target: string, phase: EjectionPhase, prober?: string): Ejection =>
  ({ target, phase, since: 0, phaseSince: 0, times: 1, holdMs: 2_000, prober, proberSince: 0, successes: 0, evidence: undefined })

interface View {
  readonly draining?: readonly string[]
  readonly unreachable?: readonly string[]
  readonly ejectionsUntil?: number
}

function sharesWith (ejections: readonly Ejection[], view: View = {}): ServiceShares {
  const { ejectionsUntil = NOW + 1_000 } = view
  const service = serviceOf([4, 4, 4, 4, 4, 4], 16)
  const adopted: Adopted = {
    coordinator: { vm: 'a', incarnation: 'a-0' },
    epoch: 1,
    number: 1,
    validUntil: NOW + 1_000,
    ejectionsUntil,
    limits: new Map(service.targets.map(({ id }) => [id, ejections.some(({ target }) => target === id) ? 0 : 2])),
    ejections
  }
  return createServiceShares({
    self: 'b',
    service: () => service,
    members: () => MEMBERS,
    adopted: now => now < adopted.validUntil ? adopted : undefined,
    base: () => 1,
    draining: () => new Set(view.draining),
    unreachable: () => new Set(view.unreachable)
  })
}

parts('an allocation counts until it expires, then the base share', () => {
  const shares = sharesWith([])
  assert.equal([shares.limit('t1', NOW), shares.limit('t1', NOW + 1_000)], [2, 1])
})

// Guards against a coordinator that ejects more than the floor allows.
parts('a member ignores the ejections that go beyond the floor in its own view', () => {
  const ejections = ['t1', 't2', 't3'].map(target => ejectionOf(target, 'ejected'))
  assert.equal([...sharesWith(ejections).ejected(NOW)], ['t1', 't2'])
  assert.equal(['t1', 't2', 't3'].map(target => sharesWith(ejections).limit(target, NOW)), [0, 0, 1])
  assert.equal([...sharesWith(ejections, { unreachable: ['t6'] }).ejected(NOW)], ['t1'])
  assert.equal([...sharesWith([...ejections.slice(0, 2), ejectionOf('t5', 'slow-start')]).ejected(NOW)], ['t1'])
})

parts('only the prober sees a probation, and a draining target gets nothing', () => {
  assert.equal([...sharesWith([ejectionOf('t1', 'probation', 'b')]).probation(NOW)], ['t1'])
  assert.equal([...sharesWith([ejectionOf('t1', 'probation', 'b')]).ejected(NOW)], [])
  assert.equal([...sharesWith([ejectionOf('t1', 'probation', 'c')]).ejected(NOW)], ['t1'])
  assert.is(sharesWith([], { draining: ['t2'] }).limit('t2', NOW), 0)
})

parts('connections are divided by the size of the subset', () => assert.is(sharesWith([]).connectionLimit('t1'), 100))

// Ledger

const holder = { vm: 'a', incarnation: 'a-0' }
const slots = (count: number): ReadonlyMap<string, number> => new Map([['t1', count]])
const none: ReadonlySet<string> = new Set()

const ledgerCases: ReadonlyArray<{ name: string, act: (ledger: Ledger) => void, held: ReadonlyArray<readonly [number, number]> }> = [
  {
    // Guards against slots that move before the member has released them.
    name: 'a lower allocation counts only when it was adopted',
    act: ledger => { ledger.sent(holder, 1, slots(3), none, NOW); ledger.sent(holder, 2, slots(1), none, NOW) },
    held: [[0, 3]]
  },
  {
    name: 'an adopted allocation ends the ones before it',
    act: ledger => {
      ledger.sent(holder, 1, slots(3), none, NOW)
      ledger.sent(holder, 2, slots(1), none, NOW)
      ledger.confirmed(holder, 2, slots(0), NOW)
    },
    held: [[0, 1]]
  },
  {
    name: 'slots in use count above the limit',
    act: ledger => { ledger.sent(holder, 2, slots(1), none, NOW); ledger.confirmed(holder, 2, slots(3), NOW) },
    held: [[0, 3]]
  },
  {
    name: 'an allocation that was not adopted yet may still be',
    act: ledger => {
      ledger.sent(holder, 1, slots(1), none, NOW)
      ledger.sent(holder, 2, slots(3), none, NOW)
      ledger.confirmed(holder, 1, slots(1), NOW)
    },
    held: [[0, 3]]
  },
  {
    name: 'slots of a lost member are free 2 s after its allocation expired',
    act: ledger => ledger.sent(holder, 1, slots(3), none, NOW),
    held: [[0, 3], [3_999, 3], [4_000, 0]]
  }
]
for (const { name, act, held } of ledgerCases) {
  parts(`ledger: ${name}`, () => {
    const ledger = createLedger()
    act(ledger)
    for (const [afterMs, count] of held) assert.is(ledger.held(holder, 't1', NOW + afterMs), count, `after ${afterMs} ms`)
  })
}

parts('ledger: an ejection counts until the allocation that has it expired or was replaced', () => {
  const ledger = createLedger()
  ledger.sent(holder, 1, slots(0), new Set(['t1']), NOW)
  assert.equal([...ledger.ejectedAnywhere(NOW + 1_999)], ['t1'])
  assert.equal([...ledger.ejectedAnywhere(NOW + 2_000)], [])
  ledger.sent(holder, 2, slots(1), none, NOW)
  assert.equal([...ledger.ejectedAnywhere(NOW)], ['t1'])
  ledger.confirmed(holder, 2, slots(0), NOW)
  assert.equal([...ledger.ejectedAnywhere(NOW)], [])
})

// Adoption

const coordinator = { vm: 'a', incarnation: 'a-0' }
const offer = (over: Partial<Allocation>): Allocation =>
  ({ service: 's', to: 'b-0', epoch: 3, number: 5, anchor: 1, ejectionsForMs: LEASE_MS, content: { limits: [['t1', 2]], ejections: [], draining: [] }, ...over })
const withoutContent = (over: Partial<Allocation>): Allocation => {
  const { content, ...rest } = offer(over)
  return content === undefined ? rest : rest
}

const adoptionCases: ReadonlyArray<{ name: string, offered: Allocation, atMs: number, rejection: string | undefined }> = [
  { name: 'a later number is adopted', offered: offer({ number: 6 }), atMs: 0, rejection: undefined },
  { name: 'a renewal without content is adopted', offered: withoutContent({ number: 6 }), atMs: 0, rejection: undefined },
  { name: 'an older number is refused', offered: offer({ number: 5 }), atMs: 0, rejection: 'older-number' },
  { name: 'an older epoch is refused', offered: offer({ number: 6, epoch: 2 }), atMs: 0, rejection: 'older-epoch' },
  { name: 'an allocation for the predecessor of this process is refused', offered: offer({ number: 6, to: 'b-9' }), atMs: 0, rejection: 'other-incarnation' },
  // Guards against a delayed allocation that counts from its arrival.
  { name: 'an allocation that answers a report older than 2 s is refused', offered: offer({ number: 6 }), atMs: 2_000, rejection: 'expired' },
  { name: 'an allocation that answers no known report is refused', offered: offer({ number: 6, anchor: 7 }), atMs: 0, rejection: 'expired' }
]
for (const { name, offered, atMs, rejection } of adoptionCases) {
  parts(`adoption: ${name}`, () => {
    const adoption = createAdoption('b-0')
    adoption.reported(1, NOW)
    assert.is(adoption.offer(coordinator, offer({}), 3, NOW), undefined)
    assert.is(adoption.offer(coordinator, offered, 3, NOW + atMs), rejection)
  })
}

parts('adoption: a renewal by another coordinator needs its content', () => {
  const adoption = createAdoption('b-0')
  adoption.reported(1, NOW)
  adoption.offer(coordinator, offer({}), 3, NOW)
  assert.is(adoption.offer({ vm: 'c', incarnation: 'c-0' }, withoutContent({ epoch: 4 }), 3, NOW), 'unknown-content')
})

// Takeover

interface TakeoverCase {
  readonly name: string
  readonly reported: readonly string[]
  /** Members that did not grant the lease. */
  readonly lost?: readonly string[]
  /** End of a predecessor's lease that was given back. */
  readonly heldUntilMs?: number
  readonly atMs: number
  readonly mayEject: boolean
  readonly mayAssign: boolean
  readonly heldMs: number
}

const takeoverCases: readonly TakeoverCase[] = [
  { name: 'at first nothing is decided', reported: [], atMs: 0, mayEject: false, mayAssign: false, heldMs: 1_900 },
  { name: 'with a report missing of a grantor nothing is decided', reported: ['a', 'b', 'c'], atMs: 499, mayEject: false, mayAssign: false, heldMs: 1_900 },
  { name: 'with reports of all grantors ejections are decided', reported: ['a', 'b', 'c'], lost: ['d'], atMs: 0, mayEject: true, mayAssign: false, heldMs: 1_900 },
  // Guards against ejections beside those of a predecessor that gave its lease back and was not heard.
  { name: 'before the end of a lease that was given back nothing is decided', reported: ['a', 'b', 'c'], lost: ['d'], heldUntilMs: 1_500, atMs: 1_499, mayEject: false, mayAssign: false, heldMs: 1_900 },
  { name: 'after the end of a lease that was given back ejections are decided', reported: ['a', 'b', 'c'], lost: ['d'], heldUntilMs: 1_500, atMs: 1_500, mayEject: true, mayAssign: false, heldMs: 1_900 },
  { name: 'with all reports a lease that was given back is known', reported: MEMBERS, heldUntilMs: 1_500, atMs: 0, mayEject: true, mayAssign: true, heldMs: -1 },
  { name: 'with all reports everything is decided', reported: MEMBERS, atMs: 0, mayEject: true, mayAssign: true, heldMs: -1 },
  { name: 'after 500 ms ejections are decided', reported: [], atMs: 500, mayEject: true, mayAssign: false, heldMs: 1_900 },
  { name: 'after 4 s slots are handed out', reported: [], atMs: 4_000, mayEject: true, mayAssign: true, heldMs: -1 }
]
for (const { name, reported, lost = [], heldUntilMs = 0, atMs, mayEject, mayAssign, heldMs } of takeoverCases) {
  parts(`takeover: ${name}`, () => {
    // The lease was obtained 100 ms after it was asked for, which shortens how long slots count as held.
    const term = { askedAt: NOW - 100, startedAt: NOW, heldUntil: () => NOW + heldUntilMs, isGrantor: (vm: string) => !lost.includes(vm) }
    const takeover = createTakeover(term, () => MEMBERS)
    for (const vm of reported) takeover.reported({ vm, incarnation: `${vm}-0` })
    const now = NOW + atMs
    assert.equal([takeover.mayEject(now), takeover.mayAssign(now)], [mayEject, mayAssign])
    assert.equal([takeover.isStillHeld(Math.max(0, heldMs), now), takeover.isStillHeld(heldMs + 1, now)], [heldMs >= 0, false])
  })
}

// Distribution

const claimant = (vm: string, demand: number): Claimant => ({ vm, demand, base: new Map() })
const pool = ['t1', 't2', 't3'].map(id => ({ id, pool: 2 }))
const sum = (holdings: ReadonlyMap<string, ReadonlyMap<string, number>>, vm: string): number =>
  [...holdings.get(vm)?.values() ?? []].reduce((a, b) => a + b, 0)

parts('distribution: free slots go where the demand is', () => {
  const holdings = distribute([claimant('a', 8), claimant('b', 0)], pool, new Map(), new Map(pool.map(({ id }) => [id, 2])), () => 0)
  assert.ok(sum(holdings, 'a') >= 5)
  assert.is(sum(holdings, 'a') + sum(holdings, 'b'), 6)
})

parts('distribution: slots are taken from a member whose demand went away, idle ones first', () => {
  const before = new Map([['a', new Map([['t1', 2], ['t2', 2], ['t3', 2]])]])
  const holdings = distribute([claimant('a', 1), claimant('b', 6)], pool, before, new Map(), (_, target) => target === 't3' ? 2 : 0)
  assert.is(holdings.get('a')?.get('t3'), 0)
  assert.ok(sum(holdings, 'a') >= 1)
})

// Guards against slots that move back and forth with small changes of demand.
parts('distribution: a small difference of demand moves nothing', () => {
  const before = new Map([['a', new Map([['t1', 2], ['t2', 1]])], ['b', new Map([['t2', 1], ['t3', 2]])]])
  const holdings = distribute([claimant('a', 2), claimant('b', 2.5)], pool, before, new Map(), () => 0)
  assert.equal([sum(holdings, 'a'), sum(holdings, 'b')], [3, 3])
})

parts('distribution: the second slot of a small target goes to another member than its base share', () => {
  const base = (vm: string, target: string): Claimant => ({ vm, demand: 1, base: new Map([[target, 1]]) })
  const holdings = distribute([base('a', 't1'), base('b', 't2')], [{ id: 't1', pool: 1 }, { id: 't2', pool: 1 }],
    new Map(), new Map([['t1', 1], ['t2', 1]]), () => 0)
  assert.equal([holdings.get('b')?.get('t1'), holdings.get('a')?.get('t2')], [1, 1])
})

// Drains

parts('a drain announcement holds until the target is replaced, also against repeated old news', () => {
  const drains = createDrains()
  drains.update(serviceOf([4, 4], 4), NOW)
  assert.is(drains.add('t1', 100, NOW), true)
  assert.is(drains.add('t1', 50, NOW), false)
  drains.update(serviceOf([4, 4], 4), NOW + 1)
  assert.equal([...drains.current()], ['t1'])
  drains.update(serviceOf([4, 4], 4, '127.0.0.9'), NOW + 2)
  assert.equal([...drains.current()], [])
  assert.is(drains.add('t1', 200, NOW + 100), false)
  assert.equal([...drains.current()], [])
  assert.is(drains.add('t2', DRAIN_MEMORY_MS, NOW + 100), false)
})

// Messages

const malformed: ReadonlyArray<readonly [string, { parse: (value: unknown) => { isErr: () => boolean } }, unknown]> = [
  ['a lease request without a service', leaseRequest, { epoch: 1, round: 1, subset: [], release: false }],
  ['a negative epoch', leaseRequest, { service: 's', epoch: -1, round: 1, subset: [], release: false }],
  ['a subset beyond the bound', leaseRequest, { service: 's', epoch: 1, round: 1, subset: Array.from({ length: 2_000 }, () => 'vm'), release: false }],
  ['a negative limit', allocation, offer({ content: { limits: [['t1', -1]], ejections: [], draining: [] } })],
  ['an infinite age', allocation, offer({ content: { limits: [], ejections: [], draining: [['t1', Infinity]] } })],
  ['an unknown outcome', evidenceReport, { service: 's', to: '', seq: 1, epoch: 1, coordinator: '', adopted: 0, counts: [['t1', 'c', 'odd', 1]], use: [], waiting: 0, draining: [], inEffect: false, ejections: [] }],
  ['no object', evidenceReport, 'text']
]
for (const [name, channel, body] of malformed) {
  parts(`${name} is refused`, () => assert.is(channel.parse(body).isErr(), true))
}

parts.run()
