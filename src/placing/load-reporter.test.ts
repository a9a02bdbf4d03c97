import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Mesh } from '../model/index.js'
import { createLoadReporter } from './load-reporter.js'

const test = suite('load reporter')

const INTERVALS = { minMs: 50, refreshMs: 300 } as const
const STEP_MS = 25
const SECOND_MS = 1000

interface Counts {
  readonly reports: number
  readonly messages: number
}

/** Counts the reports of one second at each of the receivers, and the messages to all of them. */
function countReports (receivers: number, isChanging: boolean): Counts {
  let messages = 0
  const mesh: Mesh = { contacts: () => [], subscribe: () => {}, send: () => { messages++; return true } }
  const vms = Array.from({ length: receivers }, (_, index) => `vm-${index}`)
  const report = createLoadReporter(mesh, INTERVALS, now => [['t-1', isChanging ? now : 1, 0]])
  for (let now = 0; now < SECOND_MS; now += STEP_MS) report(vms, now)
  return { reports: messages / Math.max(1, receivers), messages }
}

const cases: ReadonlyArray<readonly [name: string, receivers: number, isChanging: boolean, expected: Counts]> = [
  ['a changing load is reported at the shortest interval', 1, true, { reports: 20, messages: 20 }],
  ['an unchanged load is reported before the last report expires', 1, false, { reports: 4, messages: 4 }],
  ['a few receivers get reports as often as one', 4, true, { reports: 20, messages: 80 }],
  ['more receivers do not cause more messages', 8, true, { reports: 10, messages: 80 }],
  ['many receivers get reports before the last one expires', 40, true, { reports: 4, messages: 160 }]
]

for (const [name, receivers, isChanging, expected] of cases) {
  test(name, () => assert.equal(countReports(receivers, isChanging), expected))
}

test.run()
