import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createLagMonitor } from './lag-monitor.js'

const test = suite('lag monitor')

const cases: ReadonlyArray<readonly [name: string, ticks: readonly number[], at: number, isSlow: boolean]> = [
  ['a VM whose ticks are on time is not slow', [0, 250, 500, 760], 760, false],
  ['a single pause does not mark the VM as slow', [0, 250, 900, 1150, 1400], 1400, false],
  ['two late ticks in a row mark the VM as slow', [0, 400, 800], 800, true],
  ['the VM still counts as slow within 5 s of the last detection', [0, 400, 800, 1050], 5700, true],
  ['the VM no longer counts as slow after 5 s', [0, 400, 800, 1050], 5900, false]
]

for (const [name, ticks, at, isSlow] of cases) {
  test(name, () => {
    const monitor = createLagMonitor()
    for (const now of ticks) monitor.recordTick(250, now)
    assert.is(monitor.isSlow(at), isSlow)
  })
}

test.run()
