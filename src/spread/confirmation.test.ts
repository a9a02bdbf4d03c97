import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createConfirmation, type Confirmation } from './confirmation.js'

const confirmation = suite('confirmation')

interface Case {
  readonly name: string
  readonly act: (state: Confirmation, hold: (revision: number) => void) => void
  readonly confirmedAt: number
}

// The VM holds revision 1 and its clock starts at 1000.
const cases: readonly Case[] = [
  { name: 'no observation: never', act: () => {}, confirmedAt: -Infinity },
  { name: 'an observation of the held revision confirms at its own time', act: state => state.recordHead(1, 900, 1100), confirmedAt: 900 },
  { name: 'an observation of a lower revision confirms', act: state => state.recordHead(0, 900, 1100), confirmedAt: 900 },
  { name: 'an observation of a higher revision does not confirm', act: state => state.recordHead(2, 900, 1100), confirmedAt: -Infinity },
  {
    name: 'an observation of a higher revision confirms once that revision is held',
    act: (state, hold) => {
      state.recordHead(2, 900, 1100)
      hold(2)
      state.handleAdvance()
    },
    confirmedAt: 900
  },
  {
    name: 'an older observation does not replace a newer one',
    act: state => {
      state.recordHead(1, 950, 1100)
      state.recordHead(1, 900, 1200)
    },
    confirmedAt: 950
  },
  {
    name: 'a pause discards the confirmation',
    act: state => {
      state.recordHead(1, 950, 1100)
      state.tick(3000)
    },
    confirmedAt: -Infinity
  },
  {
    name: 'a message from before the end of a pause does not confirm',
    act: state => {
      state.tick(3000)
      state.recordHead(1, 2950, 2999)
    },
    confirmedAt: -Infinity
  },
  {
    name: 'a message from after a pause confirms at the time of its observation',
    act: state => {
      state.tick(3000)
      state.recordHead(1, 2950, 3001)
    },
    confirmedAt: 2950
  },
  {
    name: 'a tick that is less than 1 s late is no pause',
    act: state => {
      state.recordHead(1, 950, 1100)
      state.tick(2200)
    },
    confirmedAt: 950
  }
]

for (const { name, act, confirmedAt } of cases) {
  // Guards against a VM that counts as confirmed for a revision or a time that no observation confirms.
  confirmation(name, () => {
    let held = 1
    const state = createConfirmation(() => held, 1000)
    act(state, revision => { held = revision })
    assert.is(state.confirmedAt(), confirmedAt)
    assert.is(state.isConfirmed(confirmedAt === -Infinity ? 1000 : confirmedAt + 3000), confirmedAt !== -Infinity)
    if (confirmedAt !== -Infinity) assert.is(state.isConfirmed(confirmedAt + 3001), false)
  })
}

confirmation('only an echo that was written after a pause counts', () => {
  const state = createConfirmation(() => 0, 1000)
  state.recordEcho(1100)
  assert.is(state.hasEcho(), true)
  assert.is(state.tick(3000), true)
  assert.is(state.hasEcho(), false)
  state.recordEcho(2999)
  assert.is(state.hasEcho(), false)
  state.recordEcho(3000)
  assert.is(state.hasEcho(), true)
})

confirmation.run()
