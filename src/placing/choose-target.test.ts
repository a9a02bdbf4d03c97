import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { sampleListing } from '../catalog/sample.fixture.js'
import { chooseSuspectTarget, chooseTarget, type Candidate, type SelectionCriteria } from './choose-target.js'

const test = suite('target selection')

type CandidateForm = Partial<Omit<Candidate, 'listing'>> & { readonly id: string, readonly zone?: string }

function candidate ({ id, zone = 'riga-a', ...over }: CandidateForm): Candidate {
  return {
    listing: sampleListing(id, { zone }),
    circuit: 'sound',
    halfOpenMs: 0,
    load: 0,
    relativeLatency: 1,
    lastSuccessAgeMs: 100,
    isBeingProbed: false,
    affinity: 0,
    probeDelayMs: 0,
    ...over
  }
}

const nonIdempotent: SelectionCriteria = { zone: 'riga-a', idempotent: false, canRetry: true, nonIdempotentProbeAfterMs: Infinity, isSpread: false, hasQueue: false, random: () => 0.5 }
const idempotent: SelectionCriteria = { ...nonIdempotent, idempotent: true }
const spread: SelectionCriteria = { ...nonIdempotent, isSpread: true }
const halfOpen = (id: string, over: Partial<CandidateForm> = {}): CandidateForm => ({ id, circuit: 'due', halfOpenMs: 10, ...over })

interface Case {
  readonly name: string
  readonly criteria: SelectionCriteria
  readonly candidates: readonly CandidateForm[]
  readonly expected: string | undefined
}

const cases: readonly Case[] = [
  { name: 'a target with an open circuit gets no requests', criteria: idempotent, candidates: [{ id: 'a', circuit: 'held' }], expected: undefined },
  { name: 'an idempotent request probes a half-open target', criteria: idempotent, candidates: [{ id: 'a' }, halfOpen('b')], expected: 'b' },
  { name: 'the target that has been half-open for longest is probed first', criteria: idempotent, candidates: [halfOpen('a'), halfOpen('b', { halfOpenMs: 20 })], expected: 'b' },
  { name: 'a target gets one probe at a time', criteria: idempotent, candidates: [{ id: 'a' }, halfOpen('b', { isBeingProbed: true })], expected: 'a' },
  { name: 'a VM waits for its turn to probe', criteria: idempotent, candidates: [{ id: 'a' }, halfOpen('b', { probeDelayMs: 300 })], expected: 'a' },
  { name: 'a request that cannot be retried is not used as a probe', criteria: { ...idempotent, canRetry: false }, candidates: [{ id: 'a' }, halfOpen('b')], expected: 'a' },
  { name: 'a non-idempotent request is not used as a probe', criteria: nonIdempotent, candidates: [{ id: 'a' }, halfOpen('b', { halfOpenMs: 60_000 })], expected: 'a' },
  { name: 'a non-idempotent request is used as a probe once its delay is over', criteria: { ...nonIdempotent, nonIdempotentProbeAfterMs: 1500 }, candidates: [{ id: 'a' }, halfOpen('b', { halfOpenMs: 1500 })], expected: 'b' },
  { name: 'a non-idempotent request is packed on a target in use', criteria: nonIdempotent, candidates: [{ id: 'a' }, { id: 'b', load: 1 }], expected: 'b' },
  { name: 'requests are packed up to the packing limit only', criteria: nonIdempotent, candidates: [{ id: 'a' }, { id: 'b', load: 3 }], expected: 'a' },
  { name: 'non-idempotent requests are spread while the service fails', criteria: spread, candidates: [{ id: 'a' }, { id: 'b', load: 1 }], expected: 'a' },
  { name: 'an idempotent request prefers a target without a recent success', criteria: idempotent, candidates: [{ id: 'a' }, { id: 'b', lastSuccessAgeMs: 3000 }], expected: 'b' },
  { name: 'a non-idempotent request avoids a target without a recent success', criteria: spread, candidates: [{ id: 'a', lastSuccessAgeMs: 3000 }, { id: 'b' }], expected: 'b' },
  { name: 'a target of the same zone is preferred', criteria: spread, candidates: [{ id: 'a', zone: 'riga-b' }, { id: 'b', load: 1 }], expected: 'b' },
  { name: 'a target of another zone is used when those of the same zone are full', criteria: spread, candidates: [{ id: 'a', zone: 'riga-b' }, { id: 'b', load: 3 }], expected: 'a' },
  { name: 'a target gets no more requests than it has slots', criteria: spread, candidates: [{ id: 'a', load: 4 }], expected: undefined },
  { name: 'a full target gets one additional request while requests are queued', criteria: { ...spread, hasQueue: true }, candidates: [{ id: 'a', load: 4 }], expected: 'a' },
  { name: 'a full target does not get two additional requests', criteria: { ...spread, hasQueue: true }, candidates: [{ id: 'a', load: 5 }], expected: undefined },
  { name: 'a slow target gets fewer requests', criteria: spread, candidates: [{ id: 'a', relativeLatency: 4 }, { id: 'b', load: 1 }], expected: 'b' }
]

for (const { name, criteria, candidates, expected } of cases) {
  test(name, () => assert.is(chooseTarget(candidates.map(candidate), criteria)?.candidate.listing.id, expected))
}

test('without a healthy target, the one that has been half-open for longest is probed', () => {
  const candidates = [halfOpen('a', { halfOpenMs: 5 }), halfOpen('b', { halfOpenMs: 50 }), { id: 'c', circuit: 'held' as const }]
  assert.is(chooseSuspectTarget(candidates.map(candidate))?.candidate.listing.id, 'b')
})

test.run()
