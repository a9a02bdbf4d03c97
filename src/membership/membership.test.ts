import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createFleet, runFor, type Fleet } from '../../tests/support/fleet.js'
import { testVM } from '../../tests/support/mesh-vm.js'
import type { ListedVM, MemberState } from '../model/index.js'
import { rankVMs } from './rank.js'

const membership = suite('membership')

const SEED = 7
const CONTACT_MS = 3000
const SUSPECT_MS = 30_000
/** Two heartbeats and their propagation through the graph. */
const PROPAGATION_MS = 2000

function stateAt (fleet: Fleet, observer: string, name: string): MemberState | undefined {
  return fleet.vm(observer).membership.members(fleet.schedule.now()).find(({ vm }) => vm.name === name)?.state
}

/** States of a VM in the views of all other running VMs. */
function statesOf (fleet: Fleet, name: string): ReadonlySet<MemberState | undefined> {
  const others = fleet.running().map(({ process: vmProcess }) => vmProcess.vm.name).filter(other => other !== name)
  return new Set(others.map(other => stateAt(fleet, other, name)))
}

function listOf (fleet: Fleet, without: readonly string[] = [], leaving: readonly string[] = []): readonly ListedVM[] {
  return fleet.names
    .filter(name => !without.includes(name))
    .map(name => ({ vm: testVM(name), state: leaving.includes(name) ? 'leaving' : 'live' }))
}

for (const size of [2, 5, 12, 24]) {
  // Guards against a reachable VM that stays unknown to others or does not count.
  membership(`${size} VMs that know one seed know each other and have majority contact within 4 s`, () => {
    const fleet = createFleet(size, SEED, ['vm-1'])
    runFor(fleet, 4000)
    for (const { process: vmProcess, membership: view } of fleet.running()) {
      const members = view.members(fleet.schedule.now())
      assert.is(members.length, size, vmProcess.vm.name)
      assert.ok(members.every(({ state }) => state === 'live'), vmProcess.vm.name)
      assert.ok(view.hasMajorityContact(fleet.schedule.now()))
    }
  })
}

membership('a VM whose link to one peer is cut in one direction stays live everywhere', () => {
  // Guards against a state that is derived from the links of one VM alone.
  const fleet = createFleet(5, SEED)
  runFor(fleet, 4000)
  fleet.network.setCut('vm-1', 'vm-2', true)
  for (let i = 0; i < 80; i++) {
    runFor(fleet, 500)
    for (const name of fleet.names) assert.equal([...statesOf(fleet, name)], ['live'], `${name} after ${i * 500} ms`)
  }
})

membership('a terminated VM is suspect after 3 s and gone after another 30 s', () => {
  const fleet = createFleet(5, SEED)
  runFor(fleet, 4000)
  fleet.kill('vm-3')
  runFor(fleet, CONTACT_MS + 100)
  assert.equal([...statesOf(fleet, 'vm-3')], ['suspect'])
  runFor(fleet, SUSPECT_MS - 1000)
  assert.equal([...statesOf(fleet, 'vm-3')], ['suspect'])
  runFor(fleet, 1000)
  assert.equal([...statesOf(fleet, 'vm-3')], ['gone'])
})

membership('a VM that is partitioned for minutes still counts in the size of the fleet and is live again after the partition', () => {
  // Guards against a partition of which both sides become a majority.
  const fleet = createFleet(5, SEED)
  runFor(fleet, 4000)
  const minority = ['vm-1', 'vm-2']
  const cut = (isCut: boolean): void => {
    for (const from of fleet.names) {
      for (const to of fleet.names) {
        if (minority.includes(from) !== minority.includes(to)) fleet.network.setCut(from, to, isCut)
      }
    }
  }
  cut(true)
  runFor(fleet, 300_000)
  for (const { process: vmProcess, membership: view } of fleet.running()) {
    assert.is(view.hasMajorityContact(fleet.schedule.now()), !minority.includes(vmProcess.vm.name), vmProcess.vm.name)
    assert.is(view.fleetSize(fleet.schedule.now()), 5)
  }
  cut(false)
  runFor(fleet, PROPAGATION_MS)
  for (const name of fleet.names) assert.equal([...statesOf(fleet, name)], ['live'], name)
})

membership('a VM that leaves is leaving everywhere, and gone soon after it terminates', () => {
  const fleet = createFleet(12, SEED)
  runFor(fleet, 4000)
  fleet.vm('vm-3').membership.leave()
  runFor(fleet, 500)
  assert.equal([...statesOf(fleet, 'vm-3')], ['leaving'])
  fleet.kill('vm-3')
  runFor(fleet, CONTACT_MS + 500)
  assert.equal([...statesOf(fleet, 'vm-3')], ['gone'])
})

membership('only the new incarnation of a replaced VM is current', () => {
  const fleet = createFleet(5, SEED)
  runFor(fleet, 4000)
  const predecessor = fleet.vm('vm-3').process.incarnation
  fleet.vm('vm-3').membership.leave()
  runFor(fleet, 500)
  fleet.kill('vm-3')
  fleet.start('vm-3')
  runFor(fleet, PROPAGATION_MS)
  const { incarnation } = fleet.vm('vm-3').process
  assert.equal([...statesOf(fleet, 'vm-3')], ['live'])
  for (const { process: vmProcess, membership: view } of fleet.running()) {
    if (vmProcess.vm.name === 'vm-3') continue
    assert.is(view.isCurrent({ vm: 'vm-3', incarnation: predecessor }), false)
    assert.is(view.isCurrent({ vm: 'vm-3', incarnation }), true)
  }
})

interface ListCase {
  readonly name: string
  readonly list: (fleet: Fleet) => readonly ListedVM[]
  readonly vm: string
  readonly kills?: boolean
  readonly expected: MemberState
  readonly known: number
}

const listCases: readonly ListCase[] = [
  { name: 'a list without a VM that is in contact', list: fleet => listOf(fleet, ['vm-3']), vm: 'vm-3', expected: 'live', known: 5 },
  { name: 'a list that drops a terminated VM', list: fleet => listOf(fleet, ['vm-3']), vm: 'vm-3', kills: true, expected: 'gone', known: 4 },
  { name: 'a list that still contains a terminated VM', list: fleet => listOf(fleet), vm: 'vm-3', kills: true, expected: 'suspect', known: 5 },
  { name: 'a list that shows a live VM as leaving', list: fleet => listOf(fleet, [], ['vm-3']), vm: 'vm-3', expected: 'leaving', known: 5 },
  {
    name: 'a list with a VM that was never in contact',
    list: fleet => [...listOf(fleet), { vm: testVM('vm-9'), state: 'live' }],
    vm: 'vm-9',
    expected: 'suspect',
    known: 6
  }
]

for (const { name, list, vm, kills, expected, known } of listCases) {
  // Guards against a lagging list that removes a serving VM, or keeps one that is gone.
  membership(`${name}: the VM is ${expected}`, () => {
    const fleet = createFleet(5, SEED)
    runFor(fleet, 4000)
    if (kills === true) fleet.kill(vm)
    fleet.setList(list(fleet))
    runFor(fleet, 25_000)
    assert.equal([...statesOf(fleet, vm)], [expected])
    for (const { membership: view } of fleet.running()) assert.is(view.fleetSize(fleet.schedule.now()), known)
  })
}

membership('the rate of list reads does not grow with the number of VMs', () => {
  const reads = [6, 24].map(size => {
    const fleet = createFleet(size, SEED)
    runFor(fleet, 60_000)
    const before = fleet.listReads()
    runFor(fleet, 300_000)
    return fleet.listReads() - before
  })
  // Two pollers read once a second, the others together once in 2.5 s with jitter: 600 and at most 160 reads in 300 s.
  for (const count of reads) assert.ok(count > 600 && count < 760, `${reads}`)
})

const TARGET_ADDRESS = '10.9.9.9'
const targetVM = (state: ListedVM['state']): ListedVM => {
  const endpoint = { address: TARGET_ADDRESS, port: 8000 }
  return { vm: { ...testVM('target-1'), callers: endpoint, peers: endpoint }, state }
}

interface LeavingCase {
  readonly name: string
  /** VMs whose reads show the target as leaving; the reads of the others lag. */
  readonly readers: (pollers: readonly string[]) => readonly string[]
  /** Time after the change of the list until the target is listed as leaving at every VM. */
  readonly fromMs: number
}

const leavingCases: readonly LeavingCase[] = [
  { name: 'both pollers', readers: pollers => pollers, fromMs: 2000 },
  { name: 'one poller, while the reads of the other lag', readers: pollers => pollers.slice(0, 1), fromMs: 2000 }
]

for (const { name, readers, fromMs } of leavingCases) {
  // Guards against a leaving target that gets requests from VMs that read the list rarely, or whose reads lag.
  membership(`a target that is leaving in the list of ${name} is leaving at every VM within ${fromMs} ms and stays so`, () => {
    const fleet = createFleet(12, SEED)
    fleet.setTargets([TARGET_ADDRESS])
    fleet.setList([...listOf(fleet), targetVM('live')])
    runFor(fleet, 60_000)
    const leavingAt = (): readonly string[] => fleet.names.filter(vm =>
      fleet.vm(vm).membership.leavingAddresses(fleet.schedule.now()).has(TARGET_ADDRESS))
    assert.equal(leavingAt(), [])
    fleet.setList([...listOf(fleet), targetVM('leaving')], readers(rankVMs('vm-list', fleet.names).slice(0, 2)))
    runFor(fleet, fromMs)
    for (let i = 0; i < 60; i++) {
      runFor(fleet, 250)
      assert.is(leavingAt().length, 12, `${i * 250} ms later`)
    }
  })
}

for (const knownFirst of ['targets', 'list'] as const) {
  // Guards against targets that count in the size of the fleet and become members of subsets.
  membership(`a listed target is not a VM of the fleet, with the ${knownFirst} known first`, () => {
    const fleet = createFleet(5, SEED)
    const steps = { targets: () => fleet.setTargets([TARGET_ADDRESS]), list: () => fleet.setList([...listOf(fleet), targetVM('live')]) }
    steps[knownFirst]()
    runFor(fleet, 40_000)
    steps[knownFirst === 'list' ? 'targets' : 'list']()
    runFor(fleet, 80_000)
    for (const { membership: view } of fleet.running()) {
      const now = fleet.schedule.now()
      assert.is(view.fleetSize(now), 5)
      assert.equal(view.members(now).filter(({ vm, state }) => vm.name === 'target-1' && state !== 'gone'), [])
    }
  })
}

membership('a VM without contact dials its seeds even if they count as gone', () => {
  const fleet = createFleet(3, SEED, ['vm-1', 'vm-2', 'vm-3'])
  runFor(fleet, 4000)
  for (const name of ['vm-2', 'vm-3']) fleet.kill(name)
  runFor(fleet, 120_000)
  const wanted = fleet.vm('vm-1').membership.linksWanted(fleet.schedule.now()).map(({ name }) => name)
  assert.equal([...wanted].sort(), ['vm-2', 'vm-3'])
})

membership.run()
