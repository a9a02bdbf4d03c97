/** Simulates the coordinator lease alone, with paused, restarted and cut-off VMs whose clocks differ in speed. */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createRandom } from '../../measure/random.js'
import type { Peer } from '../model/index.js'
import { createCandidate, type Candidate } from './candidate.js'
import type { LeaseGrant, LeaseRequest } from './messages.js'
import { createLeaseGrantor, type LeaseGrantor } from './lease-grantor.js'

const lease = suite('lease')
const SEED = 20_260_402
const RUNS = 300
const STEP_MS = 10
const TICK_STEPS = 5
const RUN_STEPS = 1_500
/** Maximum relative deviation of the speed of a clock. */
const CLOCK_DRIFT = 0.004

interface Process {
  readonly peer: Peer
  readonly grantor: LeaseGrantor
  readonly candidate: Candidate
}

interface Message {
  readonly dueAt: number
  readonly to: string
  readonly handle: (process: Process, now: number) => void
}

interface Event {
  readonly atStep: number
  readonly vm: number
  readonly kind: 'restart' | 'pause' | 'cut-in' | 'cut-out' | 'delay'
  readonly steps: number
}

interface Outcome {
  readonly leaders: ReadonlyArray<readonly string[]>
}

/** Simulates the lease of `count` VMs. Returns the names of the VMs that hold it at each step. */
function simulate (count: number, events: readonly Event[], seed: number): Outcome {
  const random = createRandom(seed)
  const names = Array.from({ length: count }, (_, i) => `vm-${i}`)
  const speeds = names.map(() => 1 + CLOCK_DRIFT * (random() * 2 - 1))
  const pausedUntil = names.map(() => 0)
  const inboundCutUntil = names.map(() => 0)
  const outboundCutUntil = names.map(() => 0)
  const delayedUntil = names.map(() => 0)
  let step = 0
  let messages: Message[] = []
  const localTime = (index: number): number => 50_000 + step * STEP_MS * (speeds[index] ?? 1)

  const send = (from: number, to: string, handle: Message['handle']): void => {
    const target = names.indexOf(to)
    if (from !== target && (step < (outboundCutUntil[from] ?? 0) || step < (inboundCutUntil[target] ?? 0))) return
    const delay = step < (delayedUntil[from] ?? 0) ? 200 * random() : random()
    messages.push({ dueAt: step + delay, to, handle })
  }
  const start = (index: number): Process => {
    const peer = { vm: names[index] ?? '', incarnation: `${index}-${step}` }
    const grantor = createLeaseGrantor(localTime(index))
    const respond = (from: Peer, request: LeaseRequest, process: Process, now: number): void => {
      if (request.release) return process.grantor.release(from, request.round, now)
      const grant: LeaseGrant = { service: 's', to: from.incarnation, round: request.round, ...process.grantor.decide(from, request, now) }
      send(names.indexOf(process.peer.vm), from.vm, candidate => {
        if (candidate.peer.incarnation !== grant.to) return
        candidate.candidate.handleGrant(process.peer.vm, grant, localTime(names.indexOf(from.vm)))
        if (!grant.granted) candidate.grantor.observeEpoch(grant.epoch, process.peer)
      })
    }
    const candidate = createCandidate({
      members: () => names,
      betterRankedContacts: () => index,
      knownEpoch: grantor.epoch,
      grantableAt: grantor.grantableAt,
      broadcastRequest: (round, epoch, release) => {
        const request = { service: 's', epoch, round, subset: names, release }
        for (const name of names) send(index, name, (process, now) => respond(peer, request, process, now))
      }
    })
    return { peer, grantor, candidate }
  }
  const processes = names.map((_, index) => start(index))
  const applyEvent = ({ vm, kind, steps }: Event): void => {
    const index = vm % count
    const until = step + steps
    if (kind === 'restart') processes[index] = start(index)
    if (kind === 'pause') pausedUntil[index] = until
    if (kind === 'cut-in') inboundCutUntil[index] = until
    if (kind === 'cut-out') outboundCutUntil[index] = until
    if (kind === 'delay') delayedUntil[index] = until
  }
  const isPaused = (index: number): boolean => step < (pausedUntil[index] ?? 0)
  const leaders: string[][] = []
  for (step = 1; step <= RUN_STEPS; step++) {
    for (const event of events) if (event.atStep === step) applyEvent(event)
    const due = messages.filter(({ dueAt, to }) => dueAt <= step && !isPaused(names.indexOf(to)))
    messages = messages.filter(message => !due.includes(message))
    for (const { to, handle } of due) {
      const index = names.indexOf(to)
      const process = processes[index]
      if (process !== undefined) handle(process, localTime(index))
    }
    processes.forEach(({ candidate }, index) => { if (!isPaused(index) && (step + index) % TICK_STEPS === 0) candidate.tick(localTime(index)) })
    // A paused VM counts as well, because it may act on its lease when it resumes.
    leaders.push(names.filter((_, index) => processes[index]?.candidate.holdsLease(localTime(index)) === true))
  }
  return { leaders }
}

const eventArbitrary: fc.Arbitrary<Event> = fc.record({
  atStep: fc.integer({ min: 200, max: RUN_STEPS - 300 }),
  vm: fc.oneof(fc.constant(0), fc.nat({ max: 4 })),
  kind: fc.constantFrom('restart' as const, 'restart' as const, 'pause' as const, 'cut-in' as const, 'cut-out' as const, 'delay' as const),
  steps: fc.integer({ min: 10, max: 400 })
})

// Guards against two coordinators at the same time, also when VMs lose their grants in a restart.
lease(`at most one VM leads at each step (seed ${SEED})`, () => {
  let leaderSteps = 0
  fc.assert(fc.property(fc.array(eventArbitrary, { minLength: 2, maxLength: 16 }), fc.integer({ min: 1, max: 5 }), fc.nat(), (events, count, seed) => {
    for (const [step, leaders] of simulate(count, events, seed).leaders.entries()) {
      leaderSteps += leaders.length
      assert.ok(leaders.length <= 1, `${leaders.join(' ')} lead at step ${step}`)
    }
  }), { seed: SEED, numRuns: RUNS, endOnFailure: true, includeErrorInReport: true })
  assert.ok(leaderSteps > RUNS * RUN_STEPS * 0.5, `a VM led in ${leaderSteps} of ${RUNS * RUN_STEPS} steps`)
})

interface Case {
  readonly name: string
  readonly count: number
  readonly events: readonly Event[]
  /** VMs that hold the lease at the end. */
  readonly finalLeaders: readonly string[]
}

const forever = RUN_STEPS

const cases: readonly Case[] = [
  { name: 'the first rank leads', count: 3, events: [], finalLeaders: ['vm-0'] },
  { name: 'a single VM is a majority', count: 1, events: [], finalLeaders: ['vm-0'] },
  { name: 'the next rank leads when the first is lost', count: 3, events: [{ atStep: 400, vm: 0, kind: 'pause', steps: forever }], finalLeaders: ['vm-1'] },
  {
    name: 'no VM leads without a majority',
    count: 4,
    events: [{ atStep: 400, vm: 0, kind: 'pause', steps: forever }, { atStep: 400, vm: 1, kind: 'pause', steps: forever }],
    finalLeaders: []
  },
  {
    // Guards against a candidate that keeps the grants of a minority and blocks all other candidates.
    name: 'a candidate that receives no grants withdraws',
    count: 3,
    events: [{ atStep: 1, vm: 0, kind: 'cut-in', steps: forever }],
    finalLeaders: ['vm-1']
  },
  {
    // Guards against a coordinator that loses the lease because a cut-off VM returns with a later epoch.
    name: 'the coordinator keeps the lease when a cut-off VM returns',
    count: 3,
    events: [{ atStep: 400, vm: 2, kind: 'cut-in', steps: 500 }, { atStep: 400, vm: 2, kind: 'cut-out', steps: 500 }],
    finalLeaders: ['vm-0']
  },
  {
    // Guards against a majority of restarted VMs that no longer know their grants, while a cut-off coordinator still holds the lease.
    name: 'restarted VMs elect no coordinator while an earlier lease may be valid',
    count: 5,
    events: [
      ...['cut-in' as const, 'cut-out' as const].map(kind => ({ atStep: 400, vm: 0, kind, steps: 500 })),
      // Its own grant has expired, so it requests the lease as soon as it receives messages again.
      { atStep: 100, vm: 1, kind: 'cut-in', steps: 315 },
      ...[2, 3, 4].map(vm => ({ atStep: 410, vm, kind: 'restart' as const, steps: 0 }))
    ],
    // vm-1 has withdrawn before the restarted VMs may grant the lease again.
    finalLeaders: ['vm-2']
  }
]

for (const { name, count, events, finalLeaders } of cases) {
  lease(name, () => {
    const { leaders } = simulate(count, events, 1)
    for (const [step, leading] of leaders.entries()) assert.ok(leading.length <= 1, `${leading.join(' ')} lead at step ${step}`)
    assert.equal(leaders.at(-1), finalLeaders)
  })
}

// Guards against a lease that outlasts the grant of a grantor with a faster clock.
lease('a grant expires at its holder before it expires at its grantor, counted from the request', () => {
  const names = ['vm-0', 'vm-1', 'vm-2']
  let round = 0
  const candidate = createCandidate({
    members: () => names, betterRankedContacts: () => 0, knownEpoch: () => 0, grantableAt: () => 0, broadcastRequest: number => { round = number }
  })
  candidate.tick(10_000)
  for (const vm of names) candidate.handleGrant(vm, { service: 's', to: 'vm-0', round, granted: true, epoch: 1, heldForMs: 0 }, 10_000)
  candidate.tick(10_000)
  assert.equal([10_000, 11_979, 11_980].map(now => candidate.holdsLease(now)), [true, true, false])
})

lease.run()
