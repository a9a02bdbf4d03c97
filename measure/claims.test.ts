import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { BURST_WRITES, FLEET_WRITES_PER_SECOND } from '../src/claims/write-budget.js'
import { measureClaims } from './claims.js'
import type { Measurement } from './measurement.js'

const measure = suite('measure claims')

const SECONDS = 0.5
// Guards against a VM that exceeds its part of the platform's write budget, responses that are not batched, and lines without a value to compare with.
measure('writes stay within the budget and below one write per claim and response, and every line has both values', async () => {
  const lines: Measurement[] = []
  for await (const line of measureClaims({ seconds: SECONDS })) lines.push(line)
  assert.is(lines.length, 8)
  for (const line of lines) {
    assert.equal(Object.keys(line), ['scenario', 'measure', 'unit', 'design', 'baseline'])
    assert.ok(Number.isFinite(line.design) && Number.isFinite(line.baseline))
  }
  for (const [scenario, vms] of [['claims-1-vm', 1], ['claims-6-vms', 6]] as const) {
    const writes = lines.find(line => line.scenario === scenario && line.measure === 'claimWrites')
    const bound = FLEET_WRITES_PER_SECOND + vms * BURST_WRITES / SECONDS
    assert.ok(writes !== undefined && writes.design <= bound && writes.design < writes.baseline, `${scenario}: ${writes?.design} writes/s`)
  }
})

measure.run()
