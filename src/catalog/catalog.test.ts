import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createCatalog, type Catalog } from './index.js'
import { fullListingBatch, listingChange, listingBatchAfter, rulesetBatch, sampleListing, sampleRuleset, silentLog, withdrawnChange } from './sample.fixture.js'

const test = suite('catalog')

const [one, two] = [sampleListing('t-1'), sampleListing('t-2')]
const usable = (catalog: Catalog): readonly string[] => catalog.usable('search').map(({ id }) => id).sort()

interface Case {
  /** The failure that the case guards against. */
  readonly name: string
  readonly run: (catalog: Catalog) => void
  readonly usable: readonly string[]
}

const cases: readonly Case[] = [
  {
    name: 'a draining target receives no more requests',
    run: catalog => {
      catalog.apply(fullListingBatch(5, listingChange(1, one), listingChange(2, two)), 0)
      catalog.apply(listingBatchAfter(5, 6, listingChange(6, { ...one, draining: true })), 0)
    },
    usable: ['t-2']
  },
  {
    name: 'a target whose entry is removed is not usable',
    run: catalog => {
      catalog.apply(fullListingBatch(5, listingChange(1, one), listingChange(2, two)), 0)
      catalog.apply(listingBatchAfter(5, 6, withdrawnChange(6, 't-1')), 0)
    },
    usable: ['t-2']
  },
  {
    name: 'an older row that arrives late does not override a newer one',
    run: catalog => {
      catalog.apply(fullListingBatch(5, listingChange(1, one)), 0)
      catalog.apply(listingBatchAfter(5, 7, withdrawnChange(7, 't-1')), 0)
      catalog.apply(listingBatchAfter(4, 6, listingChange(6, one)), 0)
      catalog.apply(listingBatchAfter(7, 8, listingChange(8, { ...one, draining: true })), 0)
    },
    usable: []
  },
  {
    name: 'a batch that another VM forwards late does not bring back a target that has left',
    run: catalog => {
      catalog.apply(fullListingBatch(5, listingChange(2, two)), 0)
      catalog.apply(listingBatchAfter(5, 8, withdrawnChange(8, 't-1')), 0)
      catalog.apply(listingBatchAfter(4, 6, listingChange(6, one)), 0)
    },
    usable: ['t-2']
  },
  {
    name: 'an old snapshot of another VM does not bring back a target that has left',
    run: catalog => {
      catalog.apply(fullListingBatch(5, listingChange(1, one), listingChange(2, two)), 0)
      catalog.apply(listingBatchAfter(5, 8, withdrawnChange(8, 't-1')), 0)
      catalog.apply(fullListingBatch(6, listingChange(1, one), listingChange(2, two)), 0)
    },
    usable: ['t-2']
  },
  {
    name: 'a batch that begins before the known version adds what is newer',
    run: catalog => {
      catalog.apply(fullListingBatch(5, listingChange(1, one)), 0)
      catalog.apply(listingBatchAfter(3, 6, listingChange(6, two)), 0)
    },
    usable: ['t-1', 't-2']
  },
  {
    name: 'a complete batch removes all entries that it lacks',
    run: catalog => {
      catalog.apply(fullListingBatch(5, listingChange(1, one), listingChange(2, two)), 0)
      catalog.apply(fullListingBatch(9, listingChange(2, two)), 0)
    },
    usable: ['t-2']
  },
  {
    name: 'a complete batch that is older than the known version removes nothing',
    run: catalog => {
      catalog.apply(fullListingBatch(9, listingChange(1, one), listingChange(8, two)), 0)
      catalog.apply(fullListingBatch(5, listingChange(1, one)), 0)
    },
    usable: ['t-1', 't-2']
  },
  {
    name: 'a batch after a version gap is not applied, because the gap may contain a drain',
    run: catalog => {
      catalog.apply(fullListingBatch(5, listingChange(1, one)), 0)
      assert.is(catalog.apply(listingBatchAfter(7, 8, listingChange(8, two)), 0), false)
      assert.is(catalog.upTo('listings'), 5)
    },
    usable: ['t-1']
  },
  {
    name: 'a target whose entry expired in a store outage stays usable during the grace period',
    run: catalog => {
      catalog.apply(fullListingBatch(5, listingChange(1, one), listingChange(2, two)), 0)
      catalog.recordStoreRecovery(2000)
      catalog.apply(fullListingBatch(9, listingChange(2, two)), 2000)
      catalog.sweep(3900)
    },
    usable: ['t-1', 't-2']
  },
  {
    name: 'a target that does not register again within the grace period is removed',
    run: catalog => {
      catalog.apply(fullListingBatch(5, listingChange(1, one), listingChange(2, two)), 0)
      catalog.recordStoreRecovery(2000)
      catalog.apply(fullListingBatch(9, listingChange(2, two)), 2000)
      catalog.sweep(4000)
    },
    usable: ['t-2']
  },
  {
    name: 'a target that registers again within the grace period stays',
    run: catalog => {
      catalog.apply(fullListingBatch(5, listingChange(1, one), listingChange(2, two)), 0)
      catalog.recordStoreRecovery(2000)
      catalog.apply(fullListingBatch(9, listingChange(2, two)), 2000)
      catalog.apply(listingBatchAfter(9, 10, listingChange(10, one)), 3000)
      catalog.sweep(9000)
    },
    usable: ['t-1', 't-2']
  },
  {
    name: 'a target whose entry disappears 2 s after a store outage is removed at once',
    run: catalog => {
      catalog.apply(fullListingBatch(5, listingChange(1, one), listingChange(2, two)), 0)
      catalog.recordStoreRecovery(2000)
      catalog.apply(listingBatchAfter(5, 9, withdrawnChange(9, 't-1')), 4000)
    },
    usable: ['t-2']
  }
]

for (const { name, run, usable: expected } of cases) {
  test(name, () => {
    const catalog = createCatalog(silentLog)
    run(catalog)
    assert.equal(usable(catalog), expected)
  })
}

test('an older ruleset never replaces a newer one', () => {
  const catalog = createCatalog(silentLog)
  catalog.apply(rulesetBatch(4, sampleRuleset(7)), 0)
  catalog.apply(rulesetBatch(9, sampleRuleset(6)), 0)
  assert.is(catalog.ruleset()?.version, 7)
})

test('a VM that starts gets the whole catalog from a snapshot of another VM', () => {
  const [first, second] = [createCatalog(silentLog), createCatalog(silentLog)]
  first.apply(rulesetBatch(4, sampleRuleset(7)), 0)
  first.apply(fullListingBatch(9, listingChange(1, one), listingChange(2, { ...two, draining: true })), 0)
  second.apply(first.snapshot('rulesets'), 0)
  second.apply(first.snapshot('listings'), 0)
  assert.is(second.ruleset()?.version, 7)
  assert.equal(usable(second), ['t-1'])
  assert.is(second.upTo('listings'), 9)
})

test.run()
