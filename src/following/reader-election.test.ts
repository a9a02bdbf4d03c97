import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { isReader, readsFirstCatalog, type ReaderState } from './index.js'

const test = suite('reader election')

const IDLE: ReaderState = { rank: 1, confirmedAgeMs: 500, isReading: false, hasActivePredecessor: true }

const elections: ReadonlyArray<readonly [name: string, state: Partial<ReaderState>, isReading: boolean]> = [
  ['the first VM of a zone always reads', { rank: 0, hasActivePredecessor: false }, true],
  ['another VM does not read while the catalog is confirmed', {}, false],
  ['another VM reads once a confirmation is overdue', { confirmedAgeMs: 1400 }, true],
  ['VMs of a higher rank wait longer', { rank: 3, confirmedAgeMs: 1400 }, false],
  ['a VM that reads stops when one before it has contact with the store', { isReading: true }, false],
  ['a VM that reads goes on when none before it has contact with the store', { isReading: true, hasActivePredecessor: false }, true]
]

for (const [name, state, expected] of elections) test(name, () => assert.is(isReader({ ...IDLE, ...state }), expected))

const starts: ReadonlyArray<readonly [name: string, listedRank: number | undefined, uptimeMs: number, reads: boolean]> = [
  ['the first VM of a zone reads its first catalog at once', 0, 0, true],
  ['the third VM of a zone reads its first catalog at once', 2, 0, true],
  ['the fourth VM of a zone waits for a peer', 3, 1000, false],
  ['a VM that no peer sent a catalog reads it', 3, 2200, true],
  ['VMs of a higher rank wait longer for a peer', 9, 2200, false],
  ['the wait is bounded in large zones', 500, 3000, true],
  ['a VM without a list of VMs waits for it', undefined, 1500, false],
  ['a VM that gets no list reads nevertheless', undefined, 2500, true]
]

for (const [name, listedRank, uptimeMs, reads] of starts) test(name, () => assert.is(readsFirstCatalog(listedRank, uptimeMs), reads))

test.run()
