/** Tests claims over the HTTP client with the platform stand-in. */
import { Effect } from 'effect'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { ClaimRequest } from '../model/index.js'
import { createPlatform } from '../platform/index.js'
import { createPlatformStandIn, type Faults, type PlatformStandIn } from '../../stand-ins/platform/index.js'
import { createClaims, type DrainableClaims } from './index.js'

const overHttp = suite('claims over HTTP')

const TIMEOUT_MS = 400
const DEADLINE_MS = 1000
const log = { info: () => {}, warn: () => {}, error: () => {} }

async function withClaims (run: (claims: DrainableClaims, standIn: PlatformStandIn) => Promise<void>): Promise<void> {
  const standIn = await createPlatformStandIn()
  const client = createPlatform({ ...standIn, timeoutMs: TIMEOUT_MS })
  const claims = createClaims({ platform: client, log, vm: 'entry-1', drainLimitMs: 0 })
  try {
    await run(claims, standIn)
  } finally {
    // Without a drain, the background work would keep the process alive.
    await Effect.runPromise(claims.drain())
    client.close()
    await standIn.close()
  }
}

/** Returns `claimed`, `replay`, or the kind of the refusal. */
function requestClaim (claims: DrainableClaims, key: string): Promise<string> {
  const now = performance.now()
  const request: ClaimRequest = { service: 'holds', idempotencyKey: key, fingerprint: 'f', deadlineAt: now + DEADLINE_MS }
  return Effect.runPromise(claims.claim(request, now).pipe(Effect.match({ onSuccess: ({ kind }) => kind, onFailure: ({ kind }) => kind })))
}

interface Case {
  readonly name: string
  readonly faults: Partial<Faults>
  readonly expected: string
}

// Guards against failures of the HTTP client that the in-memory platform does not simulate.
const cases: readonly Case[] = [
  { name: 'without fault', faults: {}, expected: 'claimed' },
  { name: 'with a slow platform', faults: { delayMs: 40 }, expected: 'claimed' },
  { name: 'with every acknowledgement lost', faults: { loseAcknowledgementEvery: 1 }, expected: 'claimed' },
  { name: 'with a platform that refuses', faults: { outage: 'refuse' }, expected: 'claim-unavailable' },
  { name: 'with a platform that closes connections', faults: { outage: 'close' }, expected: 'claim-unavailable' },
  { name: 'with a platform that does not respond', faults: { outage: 'hang' }, expected: 'claim-unavailable' }
]

for (const { name, faults, expected } of cases) {
  overHttp(`${name}: ${expected}`, () => withClaims(async (claims, standIn) => {
    standIn.setFaults(faults)
    const results = await Promise.all(['a', 'b', 'c'].map(key => requestClaim(claims, key)))
    assert.equal(results, [expected, expected, expected])
    const rows = standIn.store.keys('claim/').length
    assert.is(rows, expected === 'claimed' ? 3 : 0)
  }))
}

// Guards against a key that a refused request leaves claimed after an outage.
overHttp('a request that was refused during an outage is claimed after it', () => withClaims(async (claims, standIn) => {
  standIn.setFaults({ outage: 'close' })
  assert.is(await requestClaim(claims, 'a'), 'claim-unavailable')
  standIn.setFaults({})
  let result = 'claim-unavailable'
  for (let attempts = 0; result === 'claim-unavailable' && attempts < 100; attempts++) result = await requestClaim(claims, 'a')
  assert.is(result, 'claimed')
}))

overHttp.run()
