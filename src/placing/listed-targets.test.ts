/** Slots whose target drains or leaves the catalog before their request is sent. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Change } from '../catalog/index.js'
import { listingBatchAfter, listingChange, sampleListing, withdrawnChange } from '../catalog/sample.fixture.js'
import { createHarness } from './load-balancer.fixture.js'

const test = suite('listed targets')

const listing = sampleListing('t-1')

interface Case {
  readonly name: string
  readonly change: Change
  /** Whether a request with a slot may still be sent. */
  readonly isUsable: boolean
}

/** Guards against requests that waited for a connection and are sent to a target long after it was said to drain. */
const cases: readonly Case[] = [
  { name: 'it drains', change: listingChange(2, { ...listing, draining: true }), isUsable: false },
  { name: 'its entry was removed', change: withdrawnChange(2, 't-1'), isUsable: false },
  { name: 'another process has its id', change: listingChange(2, { ...listing, port: 8081, startedAt: 2 }), isUsable: false },
  { name: 'only its warm-up time changed', change: listingChange(2, { ...listing, warmupMs: 500, sequence: 9 }), isUsable: true }
]

for (const { name, change, isUsable } of cases) {
  test(`a request with a slot ${isUsable ? 'is' : 'is not'} sent to its target: ${name}`, () => {
    const harness = createHarness(['t-1'])
    harness.request('first')
    assert.is(harness.outcomes['first'], 't-1')
    assert.ok(harness.isUsable('first'))
    harness.catalog.apply(listingBatchAfter(1, 2, change), harness.now())
    assert.is(harness.isUsable('first'), isUsable)
  })
}

test.run()
