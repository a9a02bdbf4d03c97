import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Log } from '../log/index.js'
import type { Channel, Peer, VM } from '../model/index.js'
import type { LinkMesh, LinkObserver } from '../peer/index.js'
import { packStatus, type PackedStatus, type Status } from './messages.js'
import { createRoster, type Roster } from './roster.js'
import { sortByRank } from './serving-vms.js'

const test = suite('roster')

const SILENT: Log = { info: () => {}, warn: () => {}, error: () => {} }
const WARM_MS = 60_000
const COLD_MS = 500
const SMALL_CORES = 0.25

const vmOf = (name: string, cores = SMALL_CORES): VM => {
  const endpoint = { address: '10.0.0.1', port: 1 }
  return { name, place: name.slice(0, 1), callers: endpoint, peers: endpoint, cores }
}
const statusOf = (overrides: Partial<Status> = {}): Status =>
  ({ phase: 'ready', storeAgeMs: 0, rulesetsUpTo: 1, listingsUpTo: 1, readyMs: WARM_MS, cores: SMALL_CORES, usedCores: 0, ...overrides })

interface Harness {
  readonly roster: Roster
  readonly advance: (ms: number) => void
  readonly open: (vm: VM) => void
  /** Opens a link to each VM, which reports that it is warm and idle. */
  readonly link: (...vms: readonly VM[]) => void
  readonly report: (vm: string, status: Partial<Status>) => void
  readonly servingNames: () => readonly string[]
  readonly linkNames: () => readonly string[]
}

function createHarness (self: VM, expectedCores: number, ownStatus: Partial<Status> = {}): Harness {
  let now = 0
  const observers: LinkObserver[] = []
  let receive: (from: Peer, body: PackedStatus) => void = () => {}
  const mesh: LinkMesh = {
    send: () => true,
    contacts: () => [],
    attach: () => {},
    observe: observer => { observers.push(observer) },
    subscribe: <Body>(_channel: Channel<Body>, handler: (from: Peer, body: Body) => void) => { receive = handler as typeof receive }
  }
  const peer = (vm: string): Peer => ({ vm, incarnation: '1' })
  const roster = createRoster({
    self, mesh, expectedCores: () => expectedCores, status: () => statusOf({ cores: self.cores ?? 1, ...ownStatus }), onStatus: () => {}, log: SILENT, clock: () => now
  })
  const open = (vm: VM): void => { for (const observer of observers) observer.opened?.(peer(vm.name), vm) }
  return {
    roster,
    advance: ms => { now += ms },
    open,
    link: (...vms) => {
      for (const vm of vms) {
        open(vm)
        receive(peer(vm.name), packStatus(statusOf({ cores: vm.cores ?? 1 })))
      }
    },
    report: (vm, status) => receive(peer(vm), packStatus(statusOf(status))),
    servingNames: () => roster.serving(now).map(({ name }) => name),
    linkNames: () => roster.linksWanted(now).map(({ name }) => name)
  }
}

const smallVMs = Array.from({ length: 12 }, (_, index) => vmOf(`a-${index}`))
const [self = vmOf('a-0'), ...others] = smallVMs

test('an overloaded zone gets more serving VMs until no VM is at its limit', () => {
  const { link, report, servingNames, advance } = createHarness(self, 0)
  link(...others)
  assert.is(servingNames().length, 2)
  // The zone needs 0.6 cores, but no VM can report more than its capacity.
  const neededCores = 0.6
  for (let round = 0; round < 4; round++) {
    const serving = servingNames()
    for (const name of serving) report(name, { usedCores: Math.min(SMALL_CORES, neededCores / serving.length) })
    advance(500)
    servingNames()
  }
  assert.is(servingNames().length, 4)
})

test('fewer VMs serve only some seconds after the demand has decreased', () => {
  const { link, report, servingNames, advance } = createHarness(self, 0)
  link(...others)
  for (const name of servingNames()) report(name, { usedCores: SMALL_CORES })
  servingNames()
  const busy = servingNames()
  assert.is(busy.length, 4)
  for (const { name } of others) report(name, { usedCores: 0 })
  advance(3000)
  assert.equal(servingNames(), busy)
  advance(4000)
  assert.is(servingNames().length, 2)
})

test('the expected demand is divided over the zones', () => {
  const { roster, link, servingNames } = createHarness(self, 1.6)
  link(...others)
  assert.is(servingNames().length, 8)
  roster.add([vmOf('b-0')])
  assert.is(servingNames().length, 4)
})

test('links are wanted to all serving VMs and one more, without knowing their status', () => {
  const { roster, linkNames, advance } = createHarness(self, 0.6)
  roster.add(others)
  advance(WARM_MS)
  const links = linkNames()
  assert.ok(links.length >= 4 && links.length <= 5, links.join())
})

interface AgreementCase {
  readonly name: string
  readonly vms: readonly VM[]
  readonly expectedCores: number
  /** Time since the VM that selects has started, in ms. */
  readonly ageMs: number
  readonly statusOf: (vm: VM) => Partial<Status>
  readonly serving: number
}

const mixedVMs = [...smallVMs, vmOf('a-large-1', 1.25), vmOf('a-large-2', 1.25)]
const isLarge = ({ cores = 0 }: VM): boolean => cores > 1

const agreements: readonly AgreementCase[] = [
  { name: 'all are cold', vms: smallVMs, expectedCores: 0.3, ageMs: COLD_MS, statusOf: () => ({ readyMs: COLD_MS }), serving: 6 },
  { name: 'all are warm', vms: mixedVMs, expectedCores: 1, ageMs: WARM_MS, statusOf: () => ({}), serving: 2 },
  { name: 'the large ones are slow', vms: mixedVMs, expectedCores: 1, ageMs: WARM_MS, statusOf: vm => isLarge(vm) ? { readyMs: 0, usedCores: 0.4 } : {}, serving: 6 },
  { name: 'the large ones stop', vms: mixedVMs, expectedCores: 1, ageMs: WARM_MS, statusOf: vm => isLarge(vm) ? { phase: 'leaving' } : {}, serving: 5 }
]

for (const { name, vms, expectedCores, ageMs, statusOf: overridesOf, serving } of agreements) {
  // Guards against VMs that add themselves because they have no links to the others that could serve.
  test(`all VMs of a zone select the same VMs while ${name}`, () => {
    const remaining = vms.filter(vm => overridesOf(vm).phase !== 'leaving')
    const selections = remaining.map(vm => {
      const { roster, link, report, linkNames, servingNames, advance } = createHarness(vm, expectedCores, overridesOf(vm))
      roster.add(vms)
      advance(ageMs)
      // Each round opens the wanted links.
      for (let round = 0; round < 8; round++) {
        for (const other of vms.filter(each => linkNames().includes(each.name))) {
          link(other)
          report(other.name, { cores: other.cores ?? 1, ...overridesOf(other) })
        }
        advance(250)
        servingNames()
      }
      return [...servingNames()].sort()
    })
    for (const selection of selections) assert.equal(selection, selections[0])
    assert.is(selections[0]?.length, serving)
  })
}

// Guards against a zone in which each VM adds itself, and then links to all other zones.
test('a VM does not serve in place of others that it has no links to', () => {
  const last = sortByRank(smallVMs).at(-1) ?? self
  const { roster, link, report, linkNames, servingNames, advance } = createHarness(last, 1)
  roster.add(mixedVMs)
  for (let ms = 0; ms < WARM_MS; ms += 250) {
    advance(250)
    if (ms < 1000) link(...mixedVMs.filter(({ name }) => linkNames().includes(name)))
  }
  for (const { name, cores = 1 } of mixedVMs.filter(isLarge)) report(name, { cores, readyMs: 0, usedCores: 0.4 })
  assert.not(servingNames().includes(last.name), servingNames().join())
  assert.is(linkNames().length, 7)
})

// Guards against links between all VMs of all zones while a fleet starts.
test('a VM that is ready before the selected ones links to its own zone only', () => {
  const last = sortByRank(smallVMs).at(-1) ?? self
  const { roster, linkNames, servingNames } = createHarness(last, 1)
  roster.add([...mixedVMs, vmOf('b-0'), vmOf('b-1')])
  assert.equal(servingNames(), [last.name])
  assert.equal(linkNames().filter(name => name.startsWith('b')), [])
})

test('a VM that cannot be reached is replaced by the next one, and still dialled', () => {
  const { roster, linkNames, advance } = createHarness(vmOf('b-0'), 0)
  roster.add([vmOf('b-1', 2), vmOf('b-2', 1), vmOf('b-3', 0.5), vmOf('b-4', 0.4)])
  const first = linkNames()
  advance(1600)
  const later = linkNames()
  assert.ok(first.includes('b-1') && later.includes('b-1'))
  assert.ok(later.length > first.length)
})

test('the capacity of a VM that connects is known from the list of VMs before its first status', () => {
  const { roster, open } = createHarness(self, 0)
  roster.add([vmOf('a-large', 2)])
  const { cores: _cores, ...withoutCapacity } = vmOf('a-large')
  open(withoutCapacity)
  assert.is(roster.known().find(({ name }) => name === 'a-large')?.cores, 2)
})

test.run()
