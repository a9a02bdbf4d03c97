import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createEjections, slowStartSlots, type Ejections, type EjectionPhase } from './index.js'

const ejection = suite('ejection')
const START = 1_000
const MEMBERS = ['a', 'b', 'c']

interface Step {
  readonly atMs: number
  readonly act?: (ejections: Ejections, now: number) => void
  readonly phase: EjectionPhase | undefined
  readonly holdMs?: number
  readonly prober?: string | undefined
}

interface Case {
  readonly name: string
  readonly members?: readonly string[]
  readonly steps: readonly Step[]
}

const eject = (ejections: Ejections, now: number): void => { ejections.eject('t1', undefined, now) }
const succeed = (ejections: Ejections, now: number): void => ejections.recordProbe('t1', true, now)

const cases: readonly Case[] = [
  {
    name: 'an ejected target passes hold time, probation and slow start',
    steps: [
      { atMs: 0, act: eject, phase: 'ejected', holdMs: 2_000 },
      { atMs: 1_999, phase: 'ejected' },
      { atMs: 2_000, phase: 'probation', prober: 'a' },
      { atMs: 2_100, act: succeed, phase: 'probation' },
      { atMs: 2_200, act: succeed, phase: 'probation' },
      { atMs: 2_300, act: succeed, phase: 'slow-start' },
      { atMs: 7_299, phase: 'slow-start' },
      { atMs: 7_300, phase: undefined }
    ]
  },
  {
    // Guards against a flapping target that returns after the same time again and again.
    name: 'a failed probation doubles the hold time',
    steps: [
      { atMs: 0, act: eject, phase: 'ejected' },
      { atMs: 2_000, phase: 'probation' },
      { atMs: 2_100, act: eject, phase: 'ejected', holdMs: 4_000 },
      { atMs: 6_099, phase: 'ejected' },
      { atMs: 6_100, phase: 'probation', prober: 'b' }
    ]
  },
  {
    name: 'an ejection after the return doubles the hold time only within 5 min',
    steps: [
      { atMs: 0, act: eject, phase: 'ejected', holdMs: 2_000 },
      { atMs: 2_000, act: ejections => ejections.revoke('t1', START + 2_000), phase: undefined },
      { atMs: 300_000, act: eject, phase: 'ejected', holdMs: 4_000 },
      { atMs: 304_000, act: ejections => ejections.revoke('t1', START + 304_000), phase: undefined },
      { atMs: 604_001, act: eject, phase: 'ejected', holdMs: 2_000 }
    ]
  },
  {
    name: 'the hold time is at most 60 s',
    steps: [{ atMs: 0, act: (ejections, now) => { for (let i = 0; i < 9; i++) eject(ejections, now) }, phase: 'ejected', holdMs: 60_000 }]
  },
  {
    // Guards against a probation that never ends because the prober has no suitable requests.
    name: 'a prober without outcomes is replaced, and a probation without outcomes ends',
    steps: [
      { atMs: 0, act: eject, phase: 'ejected' },
      { atMs: 2_000, phase: 'probation', prober: 'a' },
      { atMs: 4_000, phase: 'probation', prober: 'b' },
      { atMs: 6_000, phase: 'probation', prober: 'c' },
      { atMs: 12_000, phase: 'slow-start' }
    ]
  },
  {
    name: 'a service without idempotent requests skips the probation',
    members: [],
    steps: [{ atMs: 0, act: eject, phase: 'ejected' }, { atMs: 2_000, phase: 'slow-start' }]
  },
  {
    name: 'an ejection in slow start doubles the hold time',
    members: [],
    steps: [
      { atMs: 0, act: eject, phase: 'ejected' },
      { atMs: 2_000, phase: 'slow-start' },
      { atMs: 3_000, act: eject, phase: 'ejected', holdMs: 4_000 }
    ]
  }
]

for (const { name, members = MEMBERS, steps } of cases) {
  ejection(name, () => {
    const ejections = createEjections()
    for (const { atMs, act, phase, holdMs, prober } of steps) {
      const now = START + atMs
      act?.(ejections, now)
      ejections.advance(members, now)
      const current = ejections.get('t1')
      assert.is(current?.phase, phase, `phase at ${atMs} ms`)
      if (holdMs !== undefined) assert.is(current?.holdMs, holdMs, `hold time at ${atMs} ms`)
      if (prober !== undefined) assert.is(current?.prober, prober, `prober at ${atMs} ms`)
    }
  })
}

ejection('the slots in slow start grow from one to all', () => {
  assert.equal([0, 1_250, 2_500, 3_750, 5_000, 9_000].map(atMs => slowStartSlots(4, START, START + atMs)), [1, 1, 2, 3, 4, 4])
})

ejection.run()
