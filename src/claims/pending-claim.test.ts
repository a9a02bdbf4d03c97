import { Effect, Exit } from 'effect'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createVirtualTime } from '../../stand-ins/platform/index.js'
import { createPendingClaim, type PendingClaim } from './pending-claim.js'

const pendingClaims = suite('pending claim')

const DEADLINE_MS = 100
const request = { service: 'holds', idempotencyKey: 'k', fingerprint: 'f', deadlineAt: DEADLINE_MS }

interface Case {
  readonly name: string
  readonly grantAtMs: number
  readonly interruptAtMs: number
  /** Whether the grant is scheduled before the wait, so that it comes first among simultaneous events. */
  readonly isGrantFirst: boolean
}

const cases: readonly Case[] = [
  { name: 'granted in time', grantAtMs: 50, interruptAtMs: Infinity, isGrantFirst: true },
  { name: 'granted at the deadline, before it', grantAtMs: DEADLINE_MS, interruptAtMs: Infinity, isGrantFirst: true },
  { name: 'granted at the deadline, after it', grantAtMs: DEADLINE_MS, interruptAtMs: Infinity, isGrantFirst: false },
  { name: 'granted after the deadline', grantAtMs: 150, interruptAtMs: Infinity, isGrantFirst: true },
  { name: 'granted when the caller disconnects, before it', grantAtMs: 50, interruptAtMs: 50, isGrantFirst: true },
  { name: 'granted when the caller disconnects, after it', grantAtMs: 50, interruptAtMs: 50, isGrantFirst: false },
  { name: 'granted after the caller disconnected', grantAtMs: 50, interruptAtMs: 20, isGrantFirst: true }
]

for (const { name, grantAtMs, interruptAtMs, isGrantFirst } of cases) {
  // Guards against a claim that is neither held by a request nor deleted, or both held and deleted.
  pendingClaims(`${name}: either the request has the claim or it is deleted`, () => {
    const time = createVirtualTime()
    let deletions = 0
    const pending: PendingClaim = createPendingClaim(request, { key: 'k', nonce: 'n', fingerprint: 'f' }, () => { deletions += 1 })
    const schedule = (ms: number, action: () => void): void => {
      if (ms !== Infinity) time.fork(Effect.sleep(ms).pipe(Effect.andThen(Effect.sync(action))))
    }
    if (isGrantFirst) schedule(grantAtMs, pending.grant)
    const fiber = time.fork(pending.wait(DEADLINE_MS))
    schedule(interruptAtMs, () => fiber.interruptUnsafe())
    if (!isGrantFirst) schedule(grantAtMs, pending.grant)
    time.run(Effect.sleep(1000))
    const exit = fiber.pollUnsafe()
    const isHeld = exit !== undefined && Exit.isSuccess(exit)
    assert.is(deletions, isHeld ? 0 : 1)
  })
}

// Guards against a late insert that takes effect after the row that caused the refusal was deleted.
pendingClaims('a refused claim is deleted if and only if the outcome of its insert is unknown', () => {
  for (const isInsertOutcomeUnknown of [true, false]) {
    let deletions = 0
    const pending = createPendingClaim(request, { key: 'k', nonce: 'n', fingerprint: 'f' }, () => { deletions += 1 })
    pending.isInsertOutcomeUnknown = isInsertOutcomeUnknown
    pending.settleFromRow({ nonce: 'other', fingerprint: 'f', answer: undefined })
    assert.is(deletions, isInsertOutcomeUnknown ? 1 : 0)
  }
})

pendingClaims.run()
