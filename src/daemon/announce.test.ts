import { Effect, Exit } from 'effect'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createVirtualTime } from '../../stand-ins/platform/index.js'
import type { AcceptedNote } from '../model/index.js'
import type { Announcement } from '../notes/index.js'
import { createAnnounce } from './announce.js'

const announcing = suite('announcement of notes')

const noEntries = { services: [], targets: [], routes: [] }
const note: AcceptedNote = {
  revision: 1,
  note: { id: 'n', base: 0, added: noEntries, changed: noEntries, withdrawn: noEntries },
  acceptedAt: 0,
  acceptedBy: 'entry-1'
}

interface AnnounceOutcome {
  readonly announcement: Announcement | undefined
  readonly endedAt: number
  readonly abandoned: readonly string[]
  readonly advance: (ms: number) => void
}

/** Announces a note `startAt` ms after the start of the VM, which has contact with a majority from `contactAt` ms on. */
function announceOnce (startAt: number, contactAt: number, id: string | undefined = 'a'): AnnounceOutcome {
  const time = createVirtualTime()
  const abandoned: string[] = []
  const announce = createAnnounce({
    replica: () => ({
      canCommit: now => now >= contactAt,
      announce: (_note, done) => done(id),
      abandon: abandonedId => { abandoned.push(abandonedId) }
    }),
    clock: time.clock
  })
  const exit = time.run(Effect.sleep(startAt).pipe(Effect.andThen(announce(note))))
  const announcement = Exit.isSuccess(exit) ? exit.value : undefined
  return { announcement, endedAt: time.clock(), abandoned, advance: ms => { time.run(Effect.sleep(ms)) } }
}

interface Case {
  readonly name: string
  readonly startAt: number
  readonly contactAt: number
  readonly isAnnounced: boolean
  readonly endedAt: readonly [number, number]
}

// Each case guards against a first note that is refused with `fleet-split`, or against an operator who waits in vain.
const cases: readonly Case[] = [
  { name: 'with contact to a majority: announces immediately', startAt: 100, contactAt: 0, isAnnounced: true, endedAt: [100, 100] },
  { name: 'while the links of a starting VM are not open: waits for them', startAt: 0, contactAt: 2000, isAnnounced: true, endedAt: [2000, 2100] },
  { name: 'a starting VM that gets no contact: does not announce', startAt: 0, contactAt: Infinity, isAnnounced: false, endedAt: [5000, 5100] },
  { name: 'a VM that lost its contact: refuses immediately', startAt: 60_000, contactAt: 61_000, isAnnounced: false, endedAt: [60_000, 60_000] }
]

for (const { name, startAt, contactAt, isAnnounced, endedAt: [from, to] } of cases) {
  announcing(name, () => {
    const { announcement, endedAt } = announceOnce(startAt, contactAt)
    assert.is(announcement !== undefined, isAnnounced)
    assert.ok(endedAt >= from && endedAt <= to, `ended at ${endedAt} ms`)
  })
}

// Guards against a transaction that takes effect after the other VMs stopped treating its note as undecided.
announcing('an announcement is current for 1 s after the acknowledgements and can be abandoned', () => {
  const { announcement, abandoned, advance } = announceOnce(0, 0)
  assert.is(announcement?.isCurrent(), true)
  advance(1001)
  assert.is(announcement?.isCurrent(), false)
  announcement?.abandon()
  assert.equal(abandoned, ['a'])
})

announcing('an announcement without acknowledgements of a majority returns undefined', () => {
  const time = createVirtualTime()
  const announce = createAnnounce({
    replica: () => ({ canCommit: () => true, announce: (_note, done) => done(undefined), abandon: () => {} }),
    clock: time.clock
  })
  assert.equal(time.run(announce(note)), Exit.succeed(undefined))
})

announcing.run()
