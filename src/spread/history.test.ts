import { err, ok } from 'neverthrow'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createEventLog } from '../../tests/support/events.js'
import { applyRevision, emptyConfiguration, testNote } from '../../tests/support/fleet.js'
import { refusal } from '../errors/index.js'
import type { AcceptedNote } from '../model/index.js'
import { createHistory, type History, type OfferResult } from './history.js'
import { checkAcceptedNote, checkConfiguration } from './messages.js'

const history = suite('history')

interface Case {
  readonly name: string
  readonly offers: readonly AcceptedNote[]
  readonly outcomes: readonly OfferResult[]
  readonly ids: readonly string[]
}

const cases: readonly Case[] = [
  { name: 'notes in order are applied', offers: [testNote(1, 'a'), testNote(2, 'b')], outcomes: ['applied', 'applied'], ids: ['note-1', 'note-2'] },
  { name: 'a note after a gap is not applied', offers: [testNote(2, 'a')], outcomes: ['ahead'], ids: [] },
  { name: 'a note that is already held is not applied again', offers: [testNote(1, 'a'), testNote(1, 'a')], outcomes: ['applied', 'known'], ids: ['note-1'] },
  {
    name: 'a different note under a held revision is a conflict and changes nothing',
    offers: [testNote(1, 'a'), testNote(1, 'a', 'other'), testNote(2, 'a')],
    outcomes: ['applied', 'conflict', 'applied'],
    ids: ['note-1', 'note-2']
  },
  { name: 'a note that cannot be applied is refused', offers: [testNote(1, 'a', 'unfit')], outcomes: ['refused'], ids: [] }
]

function createTestHistory (): History {
  const { log } = createEventLog()
  return createHistory(emptyConfiguration, (configuration, accepted) => accepted.note.id === 'unfit'
    ? err(refusal('note-conflict', 'unfit'))
    : applyRevision(configuration, accepted), log)
}

for (const { name, offers, outcomes, ids } of cases) {
  // Guards against a VM that reverts to an earlier revision, skips a revision or replaces a note.
  history(name, () => {
    const state = createTestHistory()
    assert.equal(offers.map(state.offer), outcomes)
    assert.equal(state.notes().map(({ note }) => note.id), ids)
    assert.is(state.current().revision, ids.length)
  })
}

history('a snapshot replaces only an earlier configuration', () => {
  const state = createTestHistory()
  for (let revision = 1; revision <= 3; revision++) state.offer(testNote(revision, 'a'))
  assert.is(state.restore({ ...emptyConfiguration, revision: 3 }), false)
  assert.is(state.restore({ ...emptyConfiguration, revision: 2 }), false)
  assert.is(state.notes().length, 3)
  assert.is(state.restore({ ...emptyConfiguration, revision: 9 }), true)
  assert.is(state.current().revision, 9)
  assert.is(state.notesFrom(9, 10), undefined, 'notes before a snapshot are not sent to peers')
  assert.is(state.offer(testNote(10, 'a')), 'applied')
  assert.equal(state.notesFrom(10, 10)?.map(({ revision }) => revision), [10])
})

const malformed: ReadonlyArray<readonly [string, unknown]> = [
  ['no object', 7],
  ['no note', { revision: 1 }],
  ['revision 0', { ...testNote(1, 'a'), revision: 0 }],
  ['a text revision', { ...testNote(1, 'a'), revision: '1' }],
  ['a note without lists', { ...testNote(1, 'a'), note: { id: 'x', base: 0, added: {}, changed: {}, withdrawn: {} } }],
  ['an empty id', { ...testNote(1, 'a'), note: { ...testNote(1, 'a').note, id: '' } }]
]

for (const [name, value] of malformed) {
  // Guards against a malformed message of a peer that is applied to the configuration.
  history(`a message with ${name} is not a note`, () => assert.ok(checkAcceptedNote(value).isErr()))
}

history('well-formed messages are accepted', () => {
  assert.equal(checkAcceptedNote(testNote(1, 'a')), ok(testNote(1, 'a')))
  assert.ok(checkConfiguration(emptyConfiguration).isOk())
  assert.ok(checkConfiguration({ revision: -1, services: [], routes: [] }).isErr())
  assert.ok(checkConfiguration({ revision: 1, services: {}, routes: [] }).isErr())
})

history.run()
