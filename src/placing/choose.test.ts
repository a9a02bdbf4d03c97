import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { sampleListing } from '../catalog/sample.fixture.js'
import { chooseSuspect, chooseTarget, type Candidate, type Choice } from './choose.js'

const test = suite('choose')

type Form = Partial<Omit<Candidate, 'listing'>> & { readonly id: string, readonly zone?: string }

function candidate ({ id, zone = 'riga-a', ...over }: Form): Candidate {
  return {
    listing: sampleListing(id, { zone }),
    phase: 'sound',
    overdueMs: 0,
    load: 0,
    slowness: 1,
    provenAgeMs: 100,
    isOnTrial: false,
    affinity: 0,
    trialDelayMs: 0,
    ...over
  }
}

const once: Choice = { zone: 'riga-a', idempotent: false, canRetry: true, riskyTrialAfterMs: Infinity, isSpread: false, isWaiting: false, random: () => 0.5 }
const safe: Choice = { ...once, idempotent: true }
const spread: Choice = { ...once, isSpread: true }
const due = (id: string, over: Partial<Form> = {}): Form => ({ id, phase: 'due', overdueMs: 10, ...over })

interface Case {
  readonly name: string
  readonly choice: Choice
  readonly among: readonly Form[]
  readonly chosen: string | undefined
}

const cases: readonly Case[] = [
  { name: 'a target that failed a moment ago gets nothing', choice: safe, among: [{ id: 'a', phase: 'held' }], chosen: undefined },
  { name: 'an idempotent request tries a target that may have recovered', choice: safe, among: [{ id: 'a' }, due('b')], chosen: 'b' },
  { name: 'the target that waits longest for its trial comes first', choice: safe, among: [due('a'), due('b', { overdueMs: 20 })], chosen: 'b' },
  { name: 'one trial at a time', choice: safe, among: [{ id: 'a' }, due('b', { isOnTrial: true })], chosen: 'a' },
  { name: 'this VM waits for its turn to try', choice: safe, among: [{ id: 'a' }, due('b', { trialDelayMs: 300 })], chosen: 'a' },
  { name: 'without a retry left, a trial would cost the request', choice: { ...safe, canRetry: false }, among: [{ id: 'a' }, due('b')], chosen: 'a' },
  { name: 'a request that must not run twice is no trial', choice: once, among: [{ id: 'a' }, due('b', { overdueMs: 60_000 })], chosen: 'a' },
  { name: 'it is one where nothing else finds out', choice: { ...once, riskyTrialAfterMs: 1500 }, among: [{ id: 'a' }, due('b', { overdueMs: 1500 })], chosen: 'b' },
  { name: 'it is packed on a target in use', choice: once, among: [{ id: 'a' }, { id: 'b', load: 1 }], chosen: 'b' },
  { name: 'a target is not packed to its last slot', choice: once, among: [{ id: 'a' }, { id: 'b', load: 3 }], chosen: 'a' },
  { name: 'while a service fails, every sound target is used', choice: spread, among: [{ id: 'a' }, { id: 'b', load: 1 }], chosen: 'a' },
  { name: 'an idempotent request goes where nobody was for long', choice: safe, among: [{ id: 'a' }, { id: 'b', provenAgeMs: 3000 }], chosen: 'b' },
  { name: 'another one stays away from there', choice: spread, among: [{ id: 'a', provenAgeMs: 3000 }, { id: 'b' }], chosen: 'b' },
  { name: 'the own zone comes first', choice: spread, among: [{ id: 'a', zone: 'riga-b' }, { id: 'b', load: 1 }], chosen: 'b' },
  { name: 'another zone is used when the own one is full', choice: spread, among: [{ id: 'a', zone: 'riga-b' }, { id: 'b', load: 3 }], chosen: 'a' },
  { name: 'no target gets more than its slots', choice: spread, among: [{ id: 'a', load: 4 }], chosen: undefined },
  { name: 'while requests wait, a full target gets one more', choice: { ...spread, isWaiting: true }, among: [{ id: 'a', load: 4 }], chosen: 'a' },
  { name: 'and not two', choice: { ...spread, isWaiting: true }, among: [{ id: 'a', load: 5 }], chosen: undefined },
  { name: 'a slow target gets less', choice: spread, among: [{ id: 'a', slowness: 4 }, { id: 'b', load: 1 }], chosen: 'b' }
]

for (const { name, choice, among, chosen } of cases) {
  test(name, () => assert.is(chooseTarget(among.map(candidate), choice)?.candidate.listing.id, chosen))
}

test('when every target failed, the one that failed longest ago is tried', () => {
  const among = [due('a', { overdueMs: 5 }), due('b', { overdueMs: 50 }), { id: 'c', phase: 'held' as const }]
  assert.is(chooseSuspect(among.map(candidate))?.candidate.listing.id, 'b')
})

test.run()
