import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { LoadReport } from './messages.js'
import { createTargetLoads } from './target-loads.js'

const test = suite('target loads')

const SEED = 20_261_206
const REPORT_TTL_MS = 600
const TARGETS = ['t-1', 't-2', 't-3'] as const
const VMS = ['vm-1', 'vm-2', 'vm-3'] as const

interface Received {
  readonly vm: string
  readonly counts: readonly number[]
  readonly pauseMs: number
}

const reportOf = (counts: readonly number[]): LoadReport => TARGETS.map((target, index) => [target, counts[index] ?? 0, 0] as const)

/** Sum of the latest reports that are not older than the limit. */
function sumOf (latest: ReadonlyMap<string, { readonly counts: readonly number[], readonly at: number }>, index: number, now: number): number {
  return [...latest.values()].filter(({ at }) => now - at <= REPORT_TTL_MS).reduce((sum, { counts }) => sum + (counts[index] ?? 0), 0)
}

test(`the load of a target is the sum of the latest reports that have not expired (seed ${SEED})`, () => {
  const received = fc.record({ vm: fc.constantFrom(...VMS), counts: fc.array(fc.nat(4), { minLength: 3, maxLength: 3 }), pauseMs: fc.nat(500) })
  fc.assert(fc.property(fc.array(received, { maxLength: 30 }), (reports: readonly Received[]) => {
    const loads = createTargetLoads()
    const latest = new Map<string, { readonly counts: readonly number[], readonly at: number }>()
    let now = 0
    for (const { vm, counts, pauseMs } of reports) {
      loads.applyReport(vm, reportOf(counts), now)
      latest.set(vm, { counts, at: now })
      now += pauseMs
      TARGETS.forEach((target, index) => assert.is(loads.total(target, now), sumOf(latest, index, now)))
    }
  }), { seed: SEED, numRuns: 500 })
})

test('own requests count until they end', () => {
  const loads = createTargetLoads()
  loads.begin('t-1')
  loads.begin('t-1')
  loads.applyReport('vm-1', [['t-1', 3, 0]], 0)
  assert.is(loads.total('t-1', 0), 5)
  loads.end('t-1')
  assert.is(loads.total('t-1', 0), 4)
  assert.is(loads.total('t-1', REPORT_TTL_MS + 1), 1)
})

test.run()
