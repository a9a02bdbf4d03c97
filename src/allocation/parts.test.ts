/** Unit tests of the modules of this folder. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Ejection, EjectionPhase } from '../health/index.js'
import type { Service } from '../model/index.js'
import { createAllocationReceiver, type AdoptedAllocation } from './allocation-receiver.js'
import { baseShare, baseSlots, createLocalBaseShares } from './base-shares.js'
import { distribute, type MemberDemand } from './distribution.js'
import { createDrains, DRAIN_TTL_MS } from './drains.js'
import { LEASE_MS } from './durations.js'
import { computeCapacity, ejectionsWithinFloor } from './floor.js'
import { createAllocationTracker, type AllocationTracker } from './allocation-tracker.js'
import { allocationChannel, evidenceReportChannel, leaseRequestChannel, type Allocation } from './messages.js'
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
  // Guards against base shares whose sum exceeds their fraction of the slots. Without a coordinator, nothing else would detect it.
  parts(`the base shares of ${slots} slots among ${members} members add up for each target`, () => {
    const names = Array.from({ length: members }, (_, i) => `vm-${i}`)
    for (let position = 0; position < 9; position++) {
      const sum = names.reduce((total, vm) => total + baseShare(slots, position, names, vm), 0)
      assert.is(sum, baseSlots(slots))
    }
  })
}

parts('base shares of small targets are spread over the members', () => {
  const shares = MEMBERS.map(vm => [0, 1, 2, 3, 4, 5, 6, 7].reduce((sum, position) => sum + baseShare(2, position, MEMBERS, vm), 0))
  assert.equal(shares, [2, 2, 2, 2])
})

parts('a VM outside of the subset has no base share', () => assert.is(baseShare(4, 0, MEMBERS, 'z'), 0))

// Guards against slots that two members use while only one of them has applied a change.
parts('a base share shrinks immediately and grows after 8 s', () => {
  const base = createLocalBaseShares()
  base.update(new Map([['t1', 2], ['t2', 0]]), NOW)
  assert.is(base.share('t1', NOW), 2)
  base.update(new Map([['t1', 1], ['t2', 1]]), NOW)
  assert.equal([base.share('t1', NOW), base.share('t2', NOW), base.share('t2', NOW + 7_999), base.share('t2', NOW + 8_000)], [1, 0, 0, 1])
})

// Floor

const floorCases: ReadonlyArray<{ name: string, slots: readonly number[], floor: number, ejected: readonly string[], unavailable: readonly string[], kept: readonly string[] }> = [
  { name: 'ejections within the floor are kept', slots: [4, 4, 4, 4, 4, 4], floor: 16, ejected: ['t1', 't2'], unavailable: [], kept: ['t1', 't2'] },
  { name: 'the newest ejection beyond the floor is dropped', slots: [4, 4, 4, 4, 4, 4], floor: 16, ejected: ['t3', 't1', 't2'], unavailable: [], kept: ['t3', 't1'] },
  { name: 'draining, slow-starting and unreachable targets provide no capacity', slots: [4, 4, 4, 4, 4, 4], floor: 16, ejected: ['t1', 't2'], unavailable: ['t6'], kept: ['t1'] },
  { name: 'an ejected target that is also unreachable counts once', slots: [4, 4, 4, 4, 4, 4], floor: 16, ejected: ['t1', 't2'], unavailable: ['t2'], kept: ['t1', 't2'] },
  { name: 'a smaller target may fit where a larger one does not', slots: [8, 2, 4, 4], floor: 12, ejected: ['t1', 't2'], unavailable: [], kept: ['t2'] },
  { name: 'a floor of the whole capacity allows no ejection', slots: [2, 2], floor: 4, ejected: ['t1'], unavailable: [], kept: [] },
  { name: '8 targets of 2 slots with floor 12 allow two', slots: [2, 2, 2, 2, 2, 2, 2, 2], floor: 12, ejected: ['t1', 't2', 't3'], unavailable: [], kept: ['t1', 't2'] }
]
for (const { name, slots, floor, ejected, unavailable, kept } of floorCases) {
  parts(`floor: ${name}`, () => {
    assert.equal([...ejectionsWithinFloor(serviceOf(slots, floor), ejected, new Set(unavailable))], [...kept])
  })
}

parts('the capacity of a service adds up', () => {
  assert.equal(computeCapacity(serviceOf([4, 4, 4], 4), new Set(['t1']), new Set(['t1', 't2'])),
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
  const adopted: AdoptedAllocation = {
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
    baseShare: () => 1,
    draining: () => new Set(view.draining),
    unreachable: () => new Set(view.unreachable)
  })
}

parts('the limit is that of the allocation until it expires, and then the base share', () => {
  const shares = sharesWith([])
  assert.equal([shares.limit('t1', NOW), shares.limit('t1', NOW + 1_000)], [2, 1])
})

// Guards against a coordinator that ejects more than the floor allows.
parts('a member ignores ejections beyond the floor in its own view', () => {
  const ejections = ['t1', 't2', 't3'].map(target => ejectionOf(target, 'ejected'))
  assert.equal([...sharesWith(ejections).ejected(NOW)], ['t1', 't2'])
  assert.equal(['t1', 't2', 't3'].map(target => sharesWith(ejections).limit(target, NOW)), [0, 0, 1])
  assert.equal([...sharesWith(ejections, { unreachable: ['t6'] }).ejected(NOW)], ['t1'])
  assert.equal([...sharesWith([...ejections.slice(0, 2), ejectionOf('t5', 'slow-start')]).ejected(NOW)], ['t1'])
})

parts('only the prober has a target on probation, and a draining target gets no requests', () => {
  assert.equal([...sharesWith([ejectionOf('t1', 'probation', 'b')]).probation(NOW)], ['t1'])
  assert.equal([...sharesWith([ejectionOf('t1', 'probation', 'b')]).ejected(NOW)], [])
  assert.equal([...sharesWith([ejectionOf('t1', 'probation', 'c')]).ejected(NOW)], ['t1'])
  assert.is(sharesWith([], { draining: ['t2'] }).limit('t2', NOW), 0)
})

parts('connections are divided by the size of the subset', () => assert.is(sharesWith([]).connectionLimit('t1'), 100))

// Allocation tracker

const holder = { vm: 'a', incarnation: 'a-0' }
const slots = (count: number): ReadonlyMap<string, number> => new Map([['t1', count]])
const none: ReadonlySet<string> = new Set()

const trackerCases: ReadonlyArray<{ name: string, act: (tracker: AllocationTracker) => void, reserved: ReadonlyArray<readonly [number, number]> }> = [
  {
    // Guards against slots that are assigned to another member before they are released.
    name: 'a lower limit counts only after its adoption',
    act: tracker => { tracker.recordSent(holder, 1, slots(3), none, NOW); tracker.recordSent(holder, 2, slots(1), none, NOW) },
    reserved: [[0, 3]]
  },
  {
    name: 'an adopted allocation ends earlier ones',
    act: tracker => {
      tracker.recordSent(holder, 1, slots(3), none, NOW)
      tracker.recordSent(holder, 2, slots(1), none, NOW)
      tracker.recordAdopted(holder, 2, slots(0), NOW)
    },
    reserved: [[0, 1]]
  },
  {
    name: 'slots in use count above the limit',
    act: tracker => { tracker.recordSent(holder, 2, slots(1), none, NOW); tracker.recordAdopted(holder, 2, slots(3), NOW) },
    reserved: [[0, 3]]
  },
  {
    name: 'an allocation that was not adopted yet may still be adopted',
    act: tracker => {
      tracker.recordSent(holder, 1, slots(1), none, NOW)
      tracker.recordSent(holder, 2, slots(3), none, NOW)
      tracker.recordAdopted(holder, 1, slots(1), NOW)
    },
    reserved: [[0, 3]]
  },
  {
    name: 'slots of a lost member are free 2 s after its allocation expired',
    act: tracker => tracker.recordSent(holder, 1, slots(3), none, NOW),
    reserved: [[0, 3], [3_999, 3], [4_000, 0]]
  }
]
for (const { name, act, reserved } of trackerCases) {
  parts(`allocation tracker: ${name}`, () => {
    const tracker = createAllocationTracker()
    act(tracker)
    for (const [afterMs, count] of reserved) assert.is(tracker.reservedSlots(holder, 't1', NOW + afterMs), count, `after ${afterMs} ms`)
  })
}

parts('allocation tracker: an ejection counts until its allocation has expired or was replaced', () => {
  const tracker = createAllocationTracker()
  tracker.recordSent(holder, 1, slots(0), new Set(['t1']), NOW)
  assert.equal([...tracker.possiblyEjected(NOW + 1_999)], ['t1'])
  assert.equal([...tracker.possiblyEjected(NOW + 2_000)], [])
  tracker.recordSent(holder, 2, slots(1), none, NOW)
  assert.equal([...tracker.possiblyEjected(NOW)], ['t1'])
  tracker.recordAdopted(holder, 2, slots(0), NOW)
  assert.equal([...tracker.possiblyEjected(NOW)], [])
})

// Allocation receiver

const coordinator = { vm: 'a', incarnation: 'a-0' }
const allocationWith = (overrides: Partial<Allocation>): Allocation =>
  ({ service: 's', to: 'b-0', epoch: 3, number: 5, anchor: 1, ejectionsForMs: LEASE_MS, content: { limits: [['t1', 2]], ejections: [], draining: [] }, ...overrides })
const withoutContent = (overrides: Partial<Allocation>): Allocation => {
  const { content, ...rest } = allocationWith(overrides)
  return content === undefined ? rest : rest
}

const receiverCases: ReadonlyArray<{ name: string, offered: Allocation, atMs: number, rejection: string | undefined }> = [
  { name: 'a later number is adopted', offered: allocationWith({ number: 6 }), atMs: 0, rejection: undefined },
  { name: 'a renewal without content is adopted', offered: withoutContent({ number: 6 }), atMs: 0, rejection: undefined },
  { name: 'an older number is rejected', offered: allocationWith({ number: 5 }), atMs: 0, rejection: 'older-number' },
  { name: 'an older epoch is rejected', offered: allocationWith({ number: 6, epoch: 2 }), atMs: 0, rejection: 'older-epoch' },
  { name: 'an allocation for the predecessor of this process is rejected', offered: allocationWith({ number: 6, to: 'b-9' }), atMs: 0, rejection: 'other-incarnation' },
  // Guards against a delayed allocation whose lifetime starts at its arrival.
  { name: 'an allocation that answers a report older than 2 s is rejected', offered: allocationWith({ number: 6 }), atMs: 2_000, rejection: 'expired' },
  { name: 'an allocation that answers no known report is rejected', offered: allocationWith({ number: 6, anchor: 7 }), atMs: 0, rejection: 'expired' }
]
for (const { name, offered, atMs, rejection } of receiverCases) {
  parts(`allocation receiver: ${name}`, () => {
    const receiver = createAllocationReceiver('b-0')
    receiver.recordReport(1, NOW)
    assert.is(receiver.receive(coordinator, allocationWith({}), 3, NOW), undefined)
    assert.is(receiver.receive(coordinator, offered, 3, NOW + atMs), rejection)
  })
}

parts('allocation receiver: a renewal by another coordinator requires content', () => {
  const receiver = createAllocationReceiver('b-0')
  receiver.recordReport(1, NOW)
  receiver.receive(coordinator, allocationWith({}), 3, NOW)
  assert.is(receiver.receive({ vm: 'c', incarnation: 'c-0' }, withoutContent({ epoch: 4 }), 3, NOW), 'unknown-content')
})

// Takeover

interface TakeoverCase {
  readonly name: string
  readonly reported: readonly string[]
  /** Members that did not grant the lease. */
  readonly nonGrantors?: readonly string[]
  /** Expiry of a predecessor's lease that was released, in ms. */
  readonly previousLeaseMs?: number
  readonly atMs: number
  readonly isEjectionAllowed: boolean
  readonly isAssignmentAllowed: boolean
  readonly reservedMs: number
}

const takeoverCases: readonly TakeoverCase[] = [
  { name: 'initially nothing is decided', reported: [], atMs: 0, isEjectionAllowed: false, isAssignmentAllowed: false, reservedMs: 1_900 },
  { name: 'nothing is decided while the report of a grantor is missing', reported: ['a', 'b', 'c'], atMs: 499, isEjectionAllowed: false, isAssignmentAllowed: false, reservedMs: 1_900 },
  { name: 'ejections are decided after reports of all grantors', reported: ['a', 'b', 'c'], nonGrantors: ['d'], atMs: 0, isEjectionAllowed: true, isAssignmentAllowed: false, reservedMs: 1_900 },
  // Guards against ejections in addition to those of a predecessor that released its lease and did not report.
  { name: 'nothing is decided before the expiry of a released lease', reported: ['a', 'b', 'c'], nonGrantors: ['d'], previousLeaseMs: 1_500, atMs: 1_499, isEjectionAllowed: false, isAssignmentAllowed: false, reservedMs: 1_900 },
  { name: 'ejections are decided after the expiry of a released lease', reported: ['a', 'b', 'c'], nonGrantors: ['d'], previousLeaseMs: 1_500, atMs: 1_500, isEjectionAllowed: true, isAssignmentAllowed: false, reservedMs: 1_900 },
  { name: 'everything is decided after all reports, also before the expiry of a released lease', reported: MEMBERS, previousLeaseMs: 1_500, atMs: 0, isEjectionAllowed: true, isAssignmentAllowed: true, reservedMs: -1 },
  { name: 'everything is decided after all reports', reported: MEMBERS, atMs: 0, isEjectionAllowed: true, isAssignmentAllowed: true, reservedMs: -1 },
  { name: 'ejections are decided after 500 ms', reported: [], atMs: 500, isEjectionAllowed: true, isAssignmentAllowed: false, reservedMs: 1_900 },
  { name: 'slots are assigned after 4 s', reported: [], atMs: 4_000, isEjectionAllowed: true, isAssignmentAllowed: true, reservedMs: -1 }
]
for (const { name, reported, nonGrantors = [], previousLeaseMs = 0, atMs, isEjectionAllowed, isAssignmentAllowed, reservedMs } of takeoverCases) {
  parts(`takeover: ${name}`, () => {
    // The lease was obtained 100 ms after it was requested, which shortens the time for which slots are reserved.
    const term = { requestedAt: NOW - 100, startedAt: NOW, previousLeaseExpiresAt: () => NOW + previousLeaseMs, isGrantor: (vm: string) => !nonGrantors.includes(vm) }
    const takeover = createTakeover(term, () => MEMBERS)
    for (const vm of reported) takeover.recordReport({ vm, incarnation: `${vm}-0` })
    const now = NOW + atMs
    assert.equal([takeover.isEjectionAllowed(now), takeover.isAssignmentAllowed(now)], [isEjectionAllowed, isAssignmentAllowed])
    assert.equal([takeover.isExpiredAllocationReserved(Math.max(0, reservedMs), now), takeover.isExpiredAllocationReserved(reservedMs + 1, now)], [reservedMs >= 0, false])
  })
}

// Distribution

const demandOf = (vm: string, demand: number): MemberDemand => ({ vm, demand, baseShares: new Map() })
const pool = ['t1', 't2', 't3'].map(id => ({ id, pool: 2 }))
const sum = (assignment: ReadonlyMap<string, ReadonlyMap<string, number>>, vm: string): number =>
  [...assignment.get(vm)?.values() ?? []].reduce((a, b) => a + b, 0)

parts('distribution: free slots are assigned by demand', () => {
  const assignment = distribute([demandOf('a', 8), demandOf('b', 0)], pool, new Map(), new Map(pool.map(({ id }) => [id, 2])), () => 0)
  assert.ok(sum(assignment, 'a') >= 5)
  assert.is(sum(assignment, 'a') + sum(assignment, 'b'), 6)
})

parts('distribution: slots are taken from a member whose demand has dropped, idle ones first', () => {
  const previous = new Map([['a', new Map([['t1', 2], ['t2', 2], ['t3', 2]])]])
  const assignment = distribute([demandOf('a', 1), demandOf('b', 6)], pool, previous, new Map(), (_, target) => target === 't3' ? 2 : 0)
  assert.is(assignment.get('a')?.get('t3'), 0)
  assert.ok(sum(assignment, 'a') >= 1)
})

// Guards against slots that oscillate with small changes of demand.
parts('distribution: a small difference of demand moves no slots', () => {
  const previous = new Map([['a', new Map([['t1', 2], ['t2', 1]])], ['b', new Map([['t2', 1], ['t3', 2]])]])
  const assignment = distribute([demandOf('a', 2), demandOf('b', 2.5)], pool, previous, new Map(), () => 0)
  assert.equal([sum(assignment, 'a'), sum(assignment, 'b')], [3, 3])
})

parts('distribution: the second slot of a small target is assigned to a member without its base share', () => {
  const base = (vm: string, target: string): MemberDemand => ({ vm, demand: 1, baseShares: new Map([[target, 1]]) })
  const assignment = distribute([base('a', 't1'), base('b', 't2')], [{ id: 't1', pool: 1 }, { id: 't2', pool: 1 }],
    new Map(), new Map([['t1', 1], ['t2', 1]]), () => 0)
  assert.equal([assignment.get('b')?.get('t1'), assignment.get('a')?.get('t2')], [1, 1])
})

// Drains

parts('a drain announcement is valid until the target is replaced, and repeated old announcements are ignored', () => {
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
  assert.is(drains.add('t2', DRAIN_TTL_MS, NOW + 100), false)
})

// Messages

const malformed: ReadonlyArray<readonly [string, { parse: (value: unknown) => { isErr: () => boolean } }, unknown]> = [
  ['a lease request without a service', leaseRequestChannel, { epoch: 1, round: 1, subset: [], release: false }],
  ['a negative epoch', leaseRequestChannel, { service: 's', epoch: -1, round: 1, subset: [], release: false }],
  ['a subset beyond the bound', leaseRequestChannel, { service: 's', epoch: 1, round: 1, subset: Array.from({ length: 2_000 }, () => 'vm'), release: false }],
  ['a negative limit', allocationChannel, allocationWith({ content: { limits: [['t1', -1]], ejections: [], draining: [] } })],
  ['an infinite age', allocationChannel, allocationWith({ content: { limits: [], ejections: [], draining: [['t1', Infinity]] } })],
  ['an unknown outcome', evidenceReportChannel, { service: 's', to: '', seq: 1, epoch: 1, coordinator: '', adopted: 0, counts: [['t1', 'c', 'odd', 1]], use: [], waiting: 0, draining: [], inEffect: false, ejections: [] }],
  ['a value that is not an object', evidenceReportChannel, 'text']
]
for (const [name, channel, body] of malformed) {
  parts(`${name} is rejected`, () => assert.is(channel.parse(body).isErr(), true))
}

parts.run()
