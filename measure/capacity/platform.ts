/** Rate of calls to the platform: claims by the request rate, and reads of the head row by the number of VMs. */
import { Effect } from 'effect'
import { createClaims } from '../../src/claims/index.js'
import { rankVMs } from '../../src/membership/index.js'
import type { Member, Platform } from '../../src/model/index.js'
import { createHeadPoll } from '../../src/spread/head-poll.js'
import { createMemoryPlatform, createStore, SERVED } from '../../stand-ins/platform/index.js'
import { silentLog } from '../fleet/fleet.js'
import { createRandom, exponential } from '../random.js'
import type { Measurement } from './measurement.js'
import { sampleMembers } from './samples.js'

const SEED = 1
const MS_PER_S = 1000
/** VMs that share the requests: the size of the largest default subset. */
const SUBSET_VMS = 8
const MAX_RUN_MS = 4000
/** Length of a run per request/s, so that each batching window receives a few requests. */
const RUN_MS_PER_RATE = 20
const SERVICE_TIME_MS = 25
const DEADLINE_MS = 5000
/** Longer than the window in which recorded responses are batched. */
const DRAIN_MS = 250
const BODY_BYTES = 200

interface CallCounts {
  transactions: number
  rows: number
  reads: number
}

function createCountingPlatform (): { readonly platform: Platform, readonly calls: CallCounts } {
  const calls: CallCounts = { transactions: 0, rows: 0, reads: 0 }
  const platform = createMemoryPlatform(createStore(), () => performance.now(), ({ operation, keys }) => {
    if (operation === 'transact') {
      calls.transactions++
      calls.rows += keys.length
    } else calls.reads++
    return SERVED
  })
  return { platform, calls }
}

/** Platform calls for claims, by the rate of non-idempotent requests at the VMs of one subset. */
export const claimCallsByRate: Measurement = {
  name: 'claims',
  by: 'requests/s',
  sizes: [100, 400, 1600],
  quickSizes: [20, 40, 60],
  run: async rate => {
    const runMs = Math.min(MAX_RUN_MS, rate * RUN_MS_PER_RATE)
    const random = createRandom(SEED)
    const { platform, calls } = createCountingPlatform()
    const claimsOfVMs = Array.from({ length: SUBSET_VMS }, (_, i) => createClaims({ platform, log: silentLog, vm: `entry-${i + 1}`, random }))
    const arrivalTimes: number[] = []
    for (let arrivalMs = exponential(random, rate); arrivalMs < runMs; arrivalMs += exponential(random, rate)) arrivalTimes.push(arrivalMs)
    const startedAt = performance.now()
    const request = (arrivalMs: number, index: number): Effect.Effect<void> => Effect.gen(function * () {
      yield * Effect.sleep(Math.max(0, startedAt + arrivalMs - performance.now()))
      const claims = claimsOfVMs[Math.floor(random() * SUBSET_VMS)]!
      const now = performance.now()
      const claimRequest = { service: 'service-1', idempotencyKey: `key-${index}`, fingerprint: 'f', deadlineAt: now + DEADLINE_MS }
      const result = yield * claims.claim(claimRequest, now).pipe(Effect.orDie)
      yield * Effect.sleep(SERVICE_TIME_MS)
      if (result.kind === 'claimed') claims.finish(result.claim, { status: 201, headers: {}, body: Buffer.alloc(BODY_BYTES) })
    })
    await Effect.runPromise(Effect.all(arrivalTimes.map(request), { concurrency: 'unbounded', discard: true }).pipe(Effect.andThen(Effect.sleep(DRAIN_MS))))
    return [
      { measure: 'transactions', unit: 'transactions/s', value: calls.transactions / runMs * MS_PER_S },
      { measure: 'rows', unit: 'rows/s', value: calls.rows / runMs * MS_PER_S },
      { measure: 'transactionsPerRequest', unit: 'transactions', value: calls.transactions / arrivalTimes.length },
      { measure: 'reads', unit: 'reads/s', value: calls.reads / runMs * MS_PER_S }
    ]
  }
}

const POLL_RUN_MS = 60_000
const POLL_TICK_MS = 250
/** VMs simulated besides the two regular pollers; the result is scaled to the rest of the fleet, which polls alike. */
const SIMULATED_VMS = 400

function countPolls (name: string, members: readonly Member[], isConfirmed: boolean, seed: number): number {
  const poll = createHeadPoll(name, createRandom(seed))
  let polls = 0
  // Consumes the read that is due at start, so that the run begins after a first confirmation.
  poll.isDue({ members, contactCount: members.length, isConfirmed: true }, 0)
  for (let now = 0; now < POLL_RUN_MS; now += POLL_TICK_MS) {
    if (!poll.isDue({ members, contactCount: members.length, isConfirmed }, now)) continue
    polls++
    poll.started(now)
    poll.ended()
  }
  return polls
}

/** Reads of the head row by the whole fleet, while it is confirmed and after all VMs lose confirmation at once. */
export const headPollsByVMs: Measurement = {
  name: 'head-polls',
  by: 'vms',
  sizes: [48, 480, 6900],
  quickSizes: [4, 8, 16],
  run: count => {
    const liveMembers = sampleMembers(count)
    const ranked = rankVMs('config/head', liveMembers.map(({ vm }) => vm.name))
    const pollers = ranked.slice(0, 2)
    // Only live VMs are ranked. Marking all but the two highest-ranked VMs as suspect yields the same polls
    // without computing 6,900 hashes per tick.
    const members = liveMembers.map((member): Member => pollers.includes(member.vm.name) ? member : { ...member, state: 'suspect' })
    const simulatedOthers = ranked.slice(2, 2 + SIMULATED_VMS)
    const pollsPerSecond = (names: readonly string[], isConfirmed: boolean): number =>
      names.reduce((sum, name, i) => sum + countPolls(name, members, isConfirmed, SEED + i), 0) / POLL_RUN_MS * MS_PER_S
    const fleetPollsPerSecond = (isConfirmed: boolean): number =>
      pollsPerSecond(pollers, isConfirmed) + pollsPerSecond(simulatedOthers, isConfirmed) * (count - pollers.length) / simulatedOthers.length
    return [
      { measure: 'readsConfirmed', unit: 'reads/s', value: fleetPollsPerSecond(true) },
      { measure: 'readsUnconfirmed', unit: 'reads/s', value: fleetPollsPerSecond(false) }
    ]
  }
}
