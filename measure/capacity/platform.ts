/** Calls to the platform: claims by their rate, and polls of the head by the number of VMs. */
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
/** VMs that share the requests: the largest default subset. */
const VMS = 8
const LONGEST_RUN_MS = 4000
/** A run is as long as the rate needs for a few requests in each window of a batch. */
const RUN_MS_PER_RATE = 20
const SERVICE_TIME_MS = 25
const DEADLINE_MS = 5000
/** Longer than the window in which answers are collected. */
const LAST_ANSWERS_MS = 250
const BODY_BYTES = 200

interface Calls {
  transactions: number
  rows: number
  reads: number
}

function createCountingPlatform (): { readonly platform: Platform, readonly calls: Calls } {
  const calls: Calls = { transactions: 0, rows: 0, reads: 0 }
  const platform = createMemoryPlatform(createStore(), () => performance.now(), ({ operation, keys }) => {
    if (operation === 'transact') {
      calls.transactions++
      calls.rows += keys.length
    } else calls.reads++
    return SERVED
  })
  return { platform, calls }
}

/** Non-idempotent requests a second at the VMs of one subset. */
export const claims: Measurement = {
  name: 'claims',
  by: 'requests/s',
  sizes: [100, 400, 1600],
  quickSizes: [20, 40, 60],
  run: async rate => {
    const runMs = Math.min(LONGEST_RUN_MS, rate * RUN_MS_PER_RATE)
    const random = createRandom(SEED)
    const { platform, calls } = createCountingPlatform()
    const machines = Array.from({ length: VMS }, (_, i) => createClaims({ platform, log: silentLog, vm: `entry-${i + 1}`, random }))
    const arrivals: number[] = []
    for (let at = exponential(random, rate); at < runMs; at += exponential(random, rate)) arrivals.push(at)
    const startedAt = performance.now()
    const request = (at: number, i: number): Effect.Effect<void> => Effect.gen(function * () {
      yield * Effect.sleep(Math.max(0, startedAt + at - performance.now()))
      const own = machines[Math.floor(random() * VMS)]!
      const now = performance.now()
      const wanted = { service: 'service-1', idempotencyKey: `key-${i}`, fingerprint: 'f', deadlineAt: now + DEADLINE_MS }
      const result = yield * own.claim(wanted, now).pipe(Effect.orDie)
      yield * Effect.sleep(SERVICE_TIME_MS)
      if (result.kind === 'claimed') own.finish(result.claim, { status: 201, headers: {}, body: Buffer.alloc(BODY_BYTES) })
    })
    await Effect.runPromise(Effect.all(arrivals.map(request), { concurrency: 'unbounded', discard: true }).pipe(Effect.andThen(Effect.sleep(LAST_ANSWERS_MS))))
    return [
      { measure: 'transactions', unit: 'transactions/s', value: calls.transactions / runMs * MS_PER_S },
      { measure: 'rows', unit: 'rows/s', value: calls.rows / runMs * MS_PER_S },
      { measure: 'transactionsPerRequest', unit: 'transactions', value: calls.transactions / arrivals.length },
      { measure: 'reads', unit: 'reads/s', value: calls.reads / runMs * MS_PER_S }
    ]
  }
}

const POLL_RUN_MS = 60_000
const POLL_TICK_MS = 250
/** VMs whose polls are played besides the two pollers; the others poll like them. */
const PLAYED_VMS = 400

function countPolls (name: string, members: readonly Member[], isConfirmed: boolean, seed: number): number {
  const poll = createHeadPoll(name, createRandom(seed))
  let polls = 0
  // A VM that starts reads at once; here it was confirmed before.
  poll.isDue({ members, contactCount: members.length, isConfirmed: true }, 0)
  for (let now = 0; now < POLL_RUN_MS; now += POLL_TICK_MS) {
    if (!poll.isDue({ members, contactCount: members.length, isConfirmed }, now)) continue
    polls++
    poll.started(now)
    poll.ended()
  }
  return polls
}

/** Reads of the head row by the whole fleet, while it is confirmed and after a common loss of confirmation. */
export const headPolls: Measurement = {
  name: 'head-polls',
  by: 'vms',
  sizes: [48, 480, 6900],
  quickSizes: [4, 8, 16],
  run: count => {
    const all = sampleMembers(count)
    const ranked = rankVMs('config/head', all.map(({ vm }) => vm.name))
    const pollers = ranked.slice(0, 2)
    // Only live VMs are ranked. The two that lead the ranking stay live: the same polls, without 6,900 hashes a tick.
    const members = all.map((member): Member => pollers.includes(member.vm.name) ? member : { ...member, state: 'suspect' })
    const others = ranked.slice(2, 2 + PLAYED_VMS)
    const perSecond = (names: readonly string[], isConfirmed: boolean): number =>
      names.reduce((sum, name, i) => sum + countPolls(name, members, isConfirmed, SEED + i), 0) / POLL_RUN_MS * MS_PER_S
    const ofFleet = (isConfirmed: boolean): number =>
      perSecond(pollers, isConfirmed) + perSecond(others, isConfirmed) * (count - pollers.length) / others.length
    return [
      { measure: 'readsConfirmed', unit: 'reads/s', value: ofFleet(true) },
      { measure: 'readsUnconfirmed', unit: 'reads/s', value: ofFleet(false) }
    ]
  }
}
