import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createCatalog, type Catalog } from './index.js'
import { allListings, listed, listingsAfter, rulesets, sampleListing, sampleRuleset, silentLog, withdrawn } from './sample.fixture.js'

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
    name: 'a target that drains gets no more work',
    run: catalog => {
      catalog.apply(allListings(5, listed(1, one), listed(2, two)), 0)
      catalog.apply(listingsAfter(5, 6, listed(6, { ...one, draining: true })), 0)
    },
    usable: ['t-2']
  },
  {
    name: 'an entry that is gone names no target',
    run: catalog => {
      catalog.apply(allListings(5, listed(1, one), listed(2, two)), 0)
      catalog.apply(listingsAfter(5, 6, withdrawn(6, 't-1')), 0)
    },
    usable: ['t-2']
  },
  {
    name: 'a row that arrives late does not undo a newer one',
    run: catalog => {
      catalog.apply(allListings(5, listed(1, one)), 0)
      catalog.apply(listingsAfter(5, 7, withdrawn(7, 't-1')), 0)
      catalog.apply(listingsAfter(4, 6, listed(6, one)), 0)
      catalog.apply(listingsAfter(7, 8, listed(8, { ...one, draining: true })), 0)
    },
    usable: []
  },
  {
    name: 'all entries that a complete batch leaves out are gone',
    run: catalog => {
      catalog.apply(allListings(5, listed(1, one), listed(2, two)), 0)
      catalog.apply(allListings(9, listed(2, two)), 0)
    },
    usable: ['t-2']
  },
  {
    name: 'a complete batch that is older than what is known removes nothing',
    run: catalog => {
      catalog.apply(allListings(9, listed(1, one), listed(8, two)), 0)
      catalog.apply(allListings(5, listed(1, one)), 0)
    },
    usable: ['t-1', 't-2']
  },
  {
    name: 'a batch behind a gap is not applied, because a drain may be in the gap',
    run: catalog => {
      catalog.apply(allListings(5, listed(1, one)), 0)
      assert.is(catalog.apply(listingsAfter(7, 8, listed(8, two)), 0), false)
      assert.is(catalog.upTo('listings'), 5)
    },
    usable: ['t-1']
  },
  {
    name: 'an entry that lapsed in an outage keeps its target until it could be back',
    run: catalog => {
      catalog.apply(allListings(5, listed(1, one), listed(2, two)), 0)
      catalog.noteReturn(2000)
      catalog.apply(allListings(9, listed(2, two)), 2000)
      catalog.sweep(3900)
    },
    usable: ['t-1', 't-2']
  },
  {
    name: 'an entry that lapsed in an outage and does not come back is gone',
    run: catalog => {
      catalog.apply(allListings(5, listed(1, one), listed(2, two)), 0)
      catalog.noteReturn(2000)
      catalog.apply(allListings(9, listed(2, two)), 2000)
      catalog.sweep(4000)
    },
    usable: ['t-2']
  },
  {
    name: 'an entry that is back after an outage stays',
    run: catalog => {
      catalog.apply(allListings(5, listed(1, one), listed(2, two)), 0)
      catalog.noteReturn(2000)
      catalog.apply(allListings(9, listed(2, two)), 2000)
      catalog.apply(listingsAfter(9, 10, listed(10, one)), 3000)
      catalog.sweep(9000)
    },
    usable: ['t-1', 't-2']
  },
  {
    name: 'an entry that disappears 2 s after an outage is gone at once',
    run: catalog => {
      catalog.apply(allListings(5, listed(1, one), listed(2, two)), 0)
      catalog.noteReturn(2000)
      catalog.apply(listingsAfter(5, 9, withdrawn(9, 't-1')), 4000)
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

test('a ruleset never goes back to an older version', () => {
  const catalog = createCatalog(silentLog)
  catalog.apply(rulesets(4, sampleRuleset(7)), 0)
  catalog.apply(rulesets(9, sampleRuleset(6)), 0)
  assert.is(catalog.ruleset()?.version, 7)
})

test('a VM that starts gets all that another one knows', () => {
  const [first, second] = [createCatalog(silentLog), createCatalog(silentLog)]
  first.apply(rulesets(4, sampleRuleset(7)), 0)
  first.apply(allListings(9, listed(1, one), listed(2, { ...two, draining: true })), 0)
  second.apply(first.snapshot('rulesets'), 0)
  second.apply(first.snapshot('listings'), 0)
  assert.is(second.ruleset()?.version, 7)
  assert.equal(usable(second), ['t-1'])
  assert.is(second.upTo('listings'), 9)
})

test.run()
