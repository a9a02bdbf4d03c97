import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { runFor, setPlatformForAll, startFleet, testNote, type Fleet } from '../../tests/support/fleet.js'

const replica = suite('replica')

const SEED = 11
const IN_EFFECT_MS = 8000
const CONFIRMED_MS = 3000

const start = (size: number): Fleet => startFleet(size, SEED)

function isolate (fleet: Fleet, name: string, isCut: boolean): void {
  for (const other of fleet.names) {
    if (other === name) continue
    fleet.network.setCut(name, other, isCut)
    fleet.network.setCut(other, name, isCut)
  }
}

function refusalOf (fleet: Fleet, name: string): string | undefined {
  return fleet.vm(name).replica.servingRefusal(fleet.schedule.now())?.detail
}

function revisions (fleet: Fleet): ReadonlySet<number> {
  return new Set(fleet.running().map(vm => vm.replica.current().revision))
}

function allServe (fleet: Fleet): boolean {
  return fleet.running().every(vm => vm.replica.servingRefusal(fleet.schedule.now()) === undefined)
}

for (const size of [1, 2, 5, 24]) {
  // Guards against a fleet that cannot start, or a note that reaches only the neighbours.
  replica(`${size} VMs serve within 4 s of their start and hold a note 100 ms after its commit`, () => {
    const fleet = start(size)
    assert.ok(allServe(fleet))
    for (let revision = 1; revision <= 10; revision++) {
      // The commits are in different phases of the heartbeat interval, because heartbeats lead to the replication of a note too.
      runFor(fleet, 170)
      assert.is(fleet.commit('vm-1'), true)
      runFor(fleet, 100)
      assert.equal([...revisions(fleet)], [revision])
    }
  })
}

replica('a note whose committing VM terminated before it sent the note to its peers is in effect within 8 s', () => {
  // Guards against replication by the committing VM alone.
  const fleet = start(5)
  assert.is(fleet.commit('vm-2', { crashesAfterCommit: true }), true)
  runFor(fleet, IN_EFFECT_MS)
  assert.equal([...revisions(fleet)], [1])
  assert.ok(allServe(fleet))
})

replica('a different note under a held revision is logged and does not replace the held note', () => {
  const fleet = start(3)
  fleet.commit('vm-1')
  runFor(fleet, 100)
  const { replica: held, events } = fleet.vm('vm-2')
  held.accept(testNote(1, 'vm-3', 'other'), fleet.schedule.now())
  assert.is(held.notes()[0]?.note.id, 'note-0')
  assert.is(events.filter(({ event, level }) => event === 'note.conflict' && level === 'error').length, 1)
  held.accept(fleet.commits[0]!.accepted, fleet.schedule.now())
  assert.is(events.filter(({ event }) => event === 'note.conflict').length, 1, 'the same note again is no conflict')
})

replica('a VM that is behind gets the missing notes from a peer during a platform outage', () => {
  const fleet = start(5)
  isolate(fleet, 'vm-5', true)
  runFor(fleet, 5000)
  for (let i = 0; i < 150; i++) {
    assert.is(fleet.commit('vm-1'), true)
    runFor(fleet, 10)
  }
  setPlatformForAll(fleet, false)
  runFor(fleet, 1000)
  isolate(fleet, 'vm-5', false)
  runFor(fleet, 4000)
  assert.equal([...revisions(fleet)], [150])
  assert.ok(allServe(fleet))
})

replica('a VM that starts behind the held notes gets a snapshot from a peer', () => {
  const fleet = start(3)
  for (let i = 0; i < 1100; i++) {
    assert.is(fleet.commit('vm-1'), true)
    runFor(fleet, 10)
  }
  runFor(fleet, 2000)
  setPlatformForAll(fleet, false)
  fleet.kill('vm-3')
  fleet.start('vm-3')
  runFor(fleet, 6000)
  assert.equal([...revisions(fleet)], [1100])
  assert.ok(fleet.vm('vm-3').events.some(({ event }) => event === 'snapshot.restored'))
  assert.ok(allServe(fleet))
})

replica('a fleet whose VMs are in contact serves during a platform outage of hours', () => {
  const fleet = start(3)
  fleet.commit('vm-1')
  setPlatformForAll(fleet, false)
  for (let minute = 0; minute < 120; minute++) {
    runFor(fleet, 60_000)
    assert.ok(allServe(fleet), `minute ${minute}`)
  }
})

replica('an isolated VM refuses within 8 s and cannot commit, the others serve', () => {
  const fleet = start(5)
  setPlatformForAll(fleet, false)
  isolate(fleet, 'vm-1', true)
  runFor(fleet, IN_EFFECT_MS)
  assert.match(String(refusalOf(fleet, 'vm-1')), 'no contact with a majority')
  assert.is(fleet.vm('vm-1').replica.canCommit(fleet.schedule.now()), false)
  assert.is(fleet.vm('vm-1').replica.servingRefusal(fleet.schedule.now())?.kind, 'configuration-stale')
  for (const name of fleet.names.slice(1)) assert.is(refusalOf(fleet, name), undefined)
})

for (const size of [3, 6, 24]) {
  // Guards against a gap between the last confirmation by a peer and the first read by the VM itself.
  replica(`each of ${size} VMs serves without a gap when it is cut off from the others and reaches the platform`, () => {
    for (let index = 0; index < Math.min(size, 6); index++) {
      const fleet = start(size)
      const name = fleet.names[index] as string
      runFor(fleet, 170 * index)
      isolate(fleet, name, true)
      for (let ms = 0; ms < 12_000; ms += 50) {
        runFor(fleet, 50)
        assert.is(refusalOf(fleet, name), undefined, `${name}, ${ms} ms after the cut`)
      }
    }
  })
}

replica('an isolated VM that reaches the platform serves and applies new notes', () => {
  const fleet = start(5)
  isolate(fleet, 'vm-1', true)
  fleet.commit('vm-2')
  runFor(fleet, IN_EFFECT_MS)
  assert.is(fleet.vm('vm-1').replica.current().revision, 1)
  assert.is(refusalOf(fleet, 'vm-1'), undefined)
})

replica('an unconfirmed VM that knows of a revision it cannot get refuses', () => {
  const fleet = start(3)
  // A head whose notes no VM can read: every VM learns of it from vm-1.
  const { replica: first } = fleet.vm('vm-1')
  first.accept(testNote(2, 'vm-1'), fleet.schedule.now())
  setPlatformForAll(fleet, false)
  runFor(fleet, CONFIRMED_MS + 2000)
  for (const name of fleet.names) assert.match(String(refusalOf(fleet, name)), 'revision 2 exists, 0 is held')
})

replica('one VM that restarts with empty memory during a platform outage serves the configuration of its peers', () => {
  const fleet = start(5)
  fleet.commit('vm-1')
  runFor(fleet, 1000)
  setPlatformForAll(fleet, false)
  runFor(fleet, 5000)
  fleet.kill('vm-3')
  fleet.start('vm-3')
  assert.ok(refusalOf(fleet, 'vm-3') !== undefined, 'served without a configuration')
  for (let i = 0; i < 400; i++) {
    runFor(fleet, 10)
    const { revision } = fleet.vm('vm-3').replica.current()
    assert.ok(revision === 1 || refusalOf(fleet, 'vm-3') !== undefined, `served without the note after ${i * 10} ms`)
  }
  assert.is(fleet.vm('vm-3').replica.current().revision, 1)
  assert.is(refusalOf(fleet, 'vm-3'), undefined)
})

replica('VMs that restart one after the other during a platform outage keep the configuration', () => {
  const fleet = start(5)
  fleet.commit('vm-1')
  runFor(fleet, 1000)
  setPlatformForAll(fleet, false)
  for (const name of fleet.names) {
    fleet.kill(name)
    fleet.start(name)
    runFor(fleet, 6000)
    assert.is(fleet.vm(name).replica.current().revision, 1)
    assert.ok(allServe(fleet), name)
  }
})

replica('a fleet that restarts as a whole during a platform outage refuses until the outage ends', () => {
  // Guards against a majority of empty VMs that confirm the empty configuration to each other.
  const fleet = start(5)
  fleet.commit('vm-1')
  runFor(fleet, 1000)
  setPlatformForAll(fleet, false)
  for (const name of fleet.names) {
    fleet.kill(name)
    fleet.start(name)
  }
  for (let i = 0; i < 60; i++) {
    runFor(fleet, 1000)
    for (const name of fleet.names) assert.ok(refusalOf(fleet, name) !== undefined, `${name} serves after ${i} s`)
  }
  setPlatformForAll(fleet, true)
  runFor(fleet, 5000)
  assert.equal([...revisions(fleet)], [1])
  assert.ok(allServe(fleet))
})

interface PauseCase {
  readonly name: string
  readonly pauseMs: number
  readonly isPlatformUnavailable: boolean
}

const pauses: readonly PauseCase[] = [
  { name: 'a pause just above the limit', pauseMs: 1600, isPlatformUnavailable: true },
  { name: 'a long pause', pauseMs: 60_000, isPlatformUnavailable: true },
  { name: 'a long pause while the platform is available', pauseMs: 60_000, isPlatformUnavailable: false }
]

for (const { name, pauseMs, isPlatformUnavailable } of pauses) {
  // Guards against a VM that serves a configuration from before it was paused.
  replica(`after ${name}, a VM refuses at once and serves again after a new echo`, () => {
    const fleet = start(5)
    setPlatformForAll(fleet, !isPlatformUnavailable)
    runFor(fleet, 5000)
    fleet.freeze('vm-2')
    runFor(fleet, pauseMs)
    fleet.vm('vm-2').process.isFrozen = false
    assert.ok(refusalOf(fleet, 'vm-2') !== undefined, 'served before any timer')
    assert.is(fleet.vm('vm-2').replica.canCommit(fleet.schedule.now()), false)
    fleet.resume('vm-2')
    // If the platform is available, the read of the head after the pause confirms at once.
    if (isPlatformUnavailable) assert.ok(refusalOf(fleet, 'vm-2') !== undefined, 'served before a new echo')
    else assert.ok(fleet.vm('vm-2').replica.confirmedAt(0) >= fleet.schedule.now())
    runFor(fleet, 5000)
    assert.is(refusalOf(fleet, 'vm-2'), undefined)
    assert.ok(fleet.vm('vm-2').events.some(({ event }) => event === 'process.paused'))
  })
}

replica('the rate of head reads does not grow with the number of VMs', () => {
  const rates = [6, 24].flatMap(size => [true, false].map(isReachable => {
    const fleet = start(size)
    setPlatformForAll(fleet, isReachable)
    runFor(fleet, 20_000)
    const before = fleet.headAttempts()
    runFor(fleet, 60_000)
    return (fleet.headAttempts() - before) / 60
  }))
  const [smallUp = 0, smallDown = 0, largeUp = 0, largeDown = 0] = rates
  // Two pollers at 2 reads a second while the platform is available; about 10 a second and the pollers while it is not.
  assert.ok(smallUp < 5 && largeUp < 5, `${rates}`)
  assert.ok(smallDown < 20 && largeDown < 20, `${rates}`)
})

replica.run()
