/**
 * Commits by a VM that was cut off for less than the contact timeout, so that it
 * still counts a majority in contact, and faults between the steps of a commit.
 */
import fc from 'fast-check'
import { suite } from 'uvu'
import { checkSchedule } from '../../tests/support/configuration-invariants.js'
import { actionOf, type Action } from '../../tests/support/fault-schedule.js'

const commits = suite('commits right after a cut')

const SEED = Number(process.env['SPREAD_SEED'] ?? 20_261)
const RUNS = Number(process.env['SPREAD_RUNS'] ?? 60)
const VM_COUNT = 5

interface Case {
  readonly name: string
  readonly steps: readonly Action[]
}

const commit = { kind: 'commit', vm: 0, crashesAfterCommit: false } as const
const outage = { kind: 'outage', side: 0 } as const

// Each case guards against a majority that serves without a note that was accepted on the other side of a partition.
const cases: readonly Case[] = [
  {
    name: 'a VM that is cut off commits within 3 s, followed by a platform outage: the others do not serve without the note',
    steps: [
      { kind: 'partition', side: 1 },
      commit,
      { kind: 'platformAll', isReachable: false },
      { kind: 'wait', ms: 9000 }
    ]
  },
  {
    name: 'a VM is cut off between the acknowledgements and its commit, followed by a platform outage',
    steps: [
      { ...commit, stageFaults: [{ stage: 'acknowledged', kind: 'cut', side: 0 }, { ...outage, stage: 'committed' }] },
      { kind: 'wait', ms: 12_000 }
    ]
  },
  {
    // The VMs of both sides were in contact with a majority, and those that acknowledged the note have lost it.
    name: 'VMs that acknowledged restart before the note is accepted, followed by a platform outage',
    steps: [
      { kind: 'partition', side: 0b00111 },
      {
        ...commit,
        commitDelayMs: 4000,
        stageFaults: [
          { stage: 'acknowledged', kind: 'restart', side: 0b00110 },
          { stage: 'acknowledged', kind: 'cut', side: 0 },
          { ...outage, stage: 'committed' }
        ]
      },
      { kind: 'wait', ms: 15_000 }
    ]
  },
  {
    // The acknowledgements that are buffered in the socket are handled before the timer of their timeout.
    name: 'a VM that was paused after its announcement commits when the others have dropped the note, followed by a platform outage',
    steps: [
      { ...commit, stageFaults: [{ ...outage, stage: 'committed' }] },
      { kind: 'freeze', vm: 0 },
      { kind: 'wait', ms: 20_000 },
      { kind: 'partition', side: 1 },
      { kind: 'resume', vm: 0 },
      { kind: 'wait', ms: 12_000 }
    ]
  }
]

for (const { name, steps } of cases) commits(name, () => checkSchedule(VM_COUNT, steps, SEED))

commits(`no VM serves without a note accepted 8 s earlier, with commits at any time (seed ${SEED}, ${RUNS} runs)`, () => {
  fc.assert(
    fc.property(fc.array(actionOf(VM_COUNT), { minLength: 20, maxLength: 40, size: 'max' }), fc.nat(),
      (steps, seed) => checkSchedule(VM_COUNT, steps, seed)),
    { seed: SEED, numRuns: RUNS, endOnFailure: true }
  )
})

commits.run()
