import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createSpeedWatch } from './speed.js'

const test = suite('speed')

const cases: ReadonlyArray<readonly [name: string, beats: readonly number[], at: number, isSlow: boolean]> = [
  ['a VM whose timers are on time is not slow', [0, 250, 500, 760], 760, false],
  ['a single pause does not make it slow', [0, 250, 900, 1150, 1400], 1400, false],
  ['two late timers in a row do', [0, 400, 800], 800, true],
  ['it counts as slow for some seconds', [0, 400, 800, 1050], 5700, true],
  ['and not for longer', [0, 400, 800, 1050], 5900, false]
]

for (const [name, beats, at, isSlow] of cases) {
  test(name, () => {
    const speed = createSpeedWatch(250)
    for (const now of beats) speed.beat(now)
    assert.is(speed.isSlow(at), isSlow)
  })
}

test.run()
