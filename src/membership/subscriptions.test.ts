/** Liveness subscriptions: two peers report each VM, and all peers if that is not enough. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createFleet, runFor, type Fleet } from '../../tests/support/fleet.js'
import { testVM } from '../../tests/support/mesh-vm.js'
import { createMemberTable } from './member-table.js'
import { createSubscriptions } from './subscriptions.js'

const subscriptions = suite('liveness subscriptions')

const SEED = 7
const SIZE = 24
/** Time until all links are open, two seconds of contact, and the selections. */
const SETTLE_MS = 12_000

/** Creates a fleet whose VMs select peers at any size. */
function start (size = SIZE, fullContactsUpTo = 0): Fleet {
  const fleet = createFleet(size, SEED, undefined, fullContactsUpTo)
  runFor(fleet, SETTLE_MS)
  return fleet
}

/** Asserts every 100 ms that each running VM sees the named VMs as live. */
function assertLive (fleet: Fleet, names: readonly string[], ms: number): void {
  for (let i = 0; i < ms; i += 100) {
    runFor(fleet, 100)
    const now = fleet.schedule.now()
    for (const { process: vmProcess, membership } of fleet.running()) {
      const others = membership.members(now).filter(({ vm, state }) => names.includes(vm.name) && state !== 'live')
      assert.equal(others.map(({ vm, state }) => `${vm.name} ${state}`), [], `${vmProcess.vm.name} after ${i} ms`)
    }
  }
}

/** Average number of entries in the heartbeats of 2 s. */
function meanHeartbeatEntries (fleet: Fleet): number {
  let entries = 0
  let heartbeats = 0
  for (const { process: vmProcess } of fleet.running()) {
    const { write } = vmProcess.dispatch
    Object.assign(vmProcess.dispatch, {
      write: (vm: string, now: number) => {
        const written = write(vm, now)
        entries += (written['ages'] as Uint8Array).length - 2
        heartbeats++
        return written
      }
    })
  }
  runFor(fleet, 2000)
  return entries / heartbeats
}

interface Case {
  readonly name: string
  /** Names of VMs that are frozen at the same time. */
  readonly frozen: (names: readonly string[]) => readonly string[]
}

const cases: readonly Case[] = [
  { name: 'one VM', frozen: names => [names[4] ?? ''] },
  { name: 'three VMs', frozen: names => [names[1] ?? '', names[9] ?? '', names[17] ?? ''] },
  { name: 'every third VM', frozen: names => names.filter((_, i) => i % 3 === 0) }
]

for (const { name, frozen } of cases) {
  // Guards against VMs that lose contact with others because the peer that reported them is frozen.
  subscriptions(`with ${name} of ${SIZE} frozen, all others stay live everywhere`, () => {
    const fleet = start()
    const frozenNames = frozen(fleet.names)
    const others = fleet.names.filter(vm => !frozenNames.includes(vm))
    for (const vm of frozenNames) fleet.freeze(vm)
    assertLive(fleet, others, 8000)
    for (const vm of frozenNames) fleet.resume(vm)
    runFor(fleet, 3000)
    assertLive(fleet, fleet.names, 1000)
  })
}

// Guards against a one-way cut that looks like a terminated VM because no peer on the remaining path reports the VM.
subscriptions('a VM with one-way cuts at all links but one stays live everywhere', () => {
  const fleet = start()
  const name = 'vm-5'
  for (const [i, peer] of [...fleet.vm(name).process.ends.keys()].slice(1).entries()) {
    if (i % 2 === 0) fleet.network.setCut(name, peer, true)
    else fleet.network.setCut(peer, name, true)
  }
  assertLive(fleet, fleet.names, 8000)
})

// Guards against heartbeats that grow with the product of VMs and links, and against a selection of peers in small fleets.
subscriptions('two peers report each VM in a large fleet, all peers in a small one', () => {
  const links = (fleet: Fleet): number => fleet.running().reduce((sum, { process: vmProcess }) => sum + vmProcess.ends.size, 0) / SIZE
  const selected = start()
  const full = start(SIZE, SIZE)
  // Each of the other VMs twice, each peer itself, and useless entries of up to an eighth of a roster with twice as many entries.
  const maxEntries = (2 * (SIZE - 1) + links(selected)) / links(selected) + 2 * SIZE / 8
  const meanEntries = meanHeartbeatEntries(selected)
  assert.ok(meanEntries <= maxEntries, `${meanEntries}, more than ${maxEntries}`)
  assert.ok(meanHeartbeatEntries(full) >= SIZE)
})

// Guards against a VM that joins a large fleet and receives more from all its peers than it can read.
subscriptions('with many wide subscriptions, each uses a sample of about eight of 84 peers, and another one after a second', () => {
  const table = createMemberTable('vm-0')
  const names = Array.from({ length: 1000 }, (_, i) => `vm-${i + 1}`)
  const peers = names.slice(0, 84)
  for (const name of names) table.merge(testVM(name), '1', false, 0)
  const subject = createSubscriptions(table, 64)
  const members = names.map(name => subject.member(name, '1'))
  const selectedPeers = (): ReadonlyArray<readonly string[]> => members.map(({ subscription }) => peers.filter(peer => subject.isWanted(subscription, peer)))
  subject.update(0, peers.length)
  const first = selectedPeers()
  const mean = first.reduce((sum, list) => sum + list.length, 0) / first.length
  assert.ok(mean > 6 && mean < 10, `${mean} peers`)
  subject.update(250, peers.length)
  assert.equal(selectedPeers(), first)
  subject.update(1000, peers.length)
  const changed = selectedPeers().filter((list, i) => list.join() !== first[i]?.join())
  assert.ok(changed.length > 900, `${changed.length} of ${names.length} changed`)
  // With contact with all VMs but 10, all peers report these 10, and two peers report each of the others.
  for (let now = 1250; now <= 4000; now += 250) {
    for (const { name } of members.slice(10)) table.recordAlive(name, '1', now, true)
    for (const { subscription } of members.slice(10)) for (const peer of peers.filter(other => subject.isWanted(subscription, other))) subject.recordAge(subscription, peer, 100)
    subject.update(now, peers.length)
  }
  const last = selectedPeers()
  assert.ok(last.slice(0, 10).every(list => list.length === peers.length))
  assert.ok(last.slice(10).every(list => list.length === 2))
})

subscriptions.run()
