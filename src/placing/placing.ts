/** Places requests at targets: chooses, lets wait, or refuses. */
import { Effect } from 'effect'
import type { Catalog, Listing } from '../catalog/index.js'
import { refusal, type Refusal } from '../errors/index.js'
import type { Log } from '../log/index.js'
import type { Admission, Clock, Mesh, Observation, PlacementRequest, Slot, Target } from '../model/index.js'
import { chooseSuspect, chooseTarget, type Candidate, type Chosen } from './choose.js'
import { createHistory, type History } from './history.js'
import { expectedWaitMs, goesBefore, inOrder, latestStart, returnAfterMs, shouldWait, type Waiting } from './line.js'
import { loadsChannel } from './messages.js'
import { createRetryBudget, type RetryAllowance, type RetryBudget } from './retry-budget.js'
import { createSharing, type SharingPace } from './sharing.js'
import { createTargets, type Targets } from './targets.js'

/** Time between two looks at those who wait, and while nothing runs. */
const SWEEP_MS = 25
const IDLE_SWEEP_MS = 400
/** Pace of messages about the own load, in and between zones. */
const NEAR_PACE: SharingPace = { changedMs: 50, unchangedMs: 300 }
const FAR_PACE: SharingPace = { changedMs: 100, unchangedMs: 400 }
/** Use of the zone's sound slots from which VMs of other zones are told of the load: bytes between zones are paid for. */
const PRESSED_USE = 0.4
const PRUNE_MS = 5000
/** Latency that is assumed before the first answer, in ms. */
const ASSUMED_LATENCY_MS = 200
/** Use of the sound slots above which targets on trial are needed. */
const SCARCE_USE = 0.6
/** Time after its hold at which a suspect target is tried with a request that must not run twice, in ms. */
const RISKY_TRIAL_MS = { onlyWay: 1500, scarce: 500 } as const

const AVOID_NONE: ReadonlySet<string> = new Set()

/** Places requests. */
export interface Placing extends Admission {
  /** Takes one repeat of a service from the budget; false when there is none. */
  readonly takeRetry: (service: string, now: number) => boolean
  /** Records the first attempt of a request. */
  readonly earnRetry: (service: string, now: number) => void
  /** Usual latency of a class in ms; undefined while it is not known. */
  readonly usualMs: (service: string, className: string) => number | undefined
  /** Looks after those who wait and tells other VMs of the load. */
  readonly sweep: (now: number) => void
  /** Sweeps until interrupted. */
  readonly maintain: Effect.Effect<never>
  readonly targets: Targets
  readonly waiting: (service: string) => number
}

/** What placing depends on. */
export interface PlacingOptions {
  readonly self: string
  readonly zone: string
  readonly catalog: Catalog
  readonly mesh: Mesh
  /** Names of the VMs that serve callers, this VM included. */
  readonly servingVMs: (now: number) => readonly string[]
  /** Names of those of the own zone, without this VM. */
  readonly neighbours: (now: number) => readonly string[]
  /** Names of those of other zones. */
  readonly farServing: (now: number) => readonly string[]
  readonly retries: () => RetryAllowance
  /** Receives the outcome of each attempt. */
  readonly observe: (observation: Observation, now: number) => void
  readonly random: () => number
  readonly log: Log
  readonly clock: Clock
}

interface Entry extends Waiting {
  readonly wanted: PlacementRequest
  readonly deliver: (slot: Slot) => void
  readonly refuse: (refused: Refusal) => void
}

/** The requests of one service at this VM. */
interface Line {
  entries: Entry[]
  readonly budget: RetryBudget
  readonly history: History
}

/** When a slot is expected. */
interface Outlook {
  readonly waitMs: number
  readonly reason: string
}

/** A request that runs. */
interface Running {
  readonly listing: Listing
  readonly className: string
  readonly placedAt: number
}

function targetOf ({ id, address, port, zone, slots }: Listing, connections: number): Target {
  return { id, address, port, place: zone, slots, connections }
}

/** Part of the candidates' slots that is taken; Infinity without slots. */
function useOf (candidates: readonly Candidate[]): number {
  const slots = candidates.reduce((sum, { listing }) => sum + listing.slots, 0)
  const load = candidates.reduce((sum, candidate) => sum + candidate.load, 0)
  return slots > 0 ? load / slots : Infinity
}

/** Whether most slots of the sound targets are taken. */
function isScarce (candidates: readonly Candidate[]): boolean {
  return useOf(candidates.filter(({ phase }) => phase === 'sound')) >= SCARCE_USE
}

/**
 * Creates the placing of one VM.
 *
 * @example
 * const placing = createPlacing(options)
 * const slot = yield * placing.acquire(wanted, clock())
 */
export function createPlacing (options: PlacingOptions): Placing {
  const { catalog, mesh, clock, random, zone } = options
  const targets = createTargets(options)
  const lines = new Map<string, Line>()
  const running = new Set<Running>()

  const lineOf = (service: string): Line => {
    const known = lines.get(service)
    if (known !== undefined) return known
    const line: Line = { entries: [], budget: createRetryBudget(options.retries), history: createHistory() }
    lines.set(service, line)
    return line
  }

  const vmCount = (now: number): number => Math.max(1, options.servingVMs(now).length)

  const usualMsOf = (service: string, className: string): number => targets.latenciesOf(service).usualMs(className) ?? ASSUMED_LATENCY_MS

  /** Requests that end per ms at this VM; at first, what the slots make possible. */
  const endsPerMs = (service: string, className: string, candidates: readonly Candidate[], now: number): number => {
    const measured = lineOf(service).history.endsPerMs(now)
    if (measured !== undefined) return measured
    const slots = candidates.reduce((sum, { phase, listing }) => phase === 'sound' ? sum + listing.slots : sum, 0)
    return slots / Math.max(1, usualMsOf(service, className)) / vmCount(now)
  }

  const riskyTrialAfterMs = (line: Line, candidates: readonly Candidate[], now: number): number => {
    if (isScarce(candidates)) return RISKY_TRIAL_MS.scarce
    return line.history.hasIdempotent(now) ? Infinity : RISKY_TRIAL_MS.onlyWay
  }

  const choose = (wanted: PlacementRequest, candidates: readonly Candidate[], now: number): Chosen | undefined => {
    const line = lineOf(wanted.service)
    const isRetry = wanted.avoid.size > 0
    const chosen = chooseTarget(candidates, {
      zone,
      idempotent: wanted.idempotent,
      canRetry: !isRetry && line.budget.allows(vmCount(now), now),
      isSpread: line.history.isFailing(now),
      isWaiting: line.entries.length > 0,
      riskyTrialAfterMs: isRetry ? Infinity : riskyTrialAfterMs(line, candidates, now),
      random
    })
    if (chosen !== undefined || candidates.some(({ phase }) => phase === 'sound')) return chosen
    return chooseSuspect(candidates)
  }

  const report = (wanted: PlacementRequest, candidate: Candidate, isTrial: boolean, { result }: Observation, latencyMs: number): void => {
    if (result === 'answered' || result === 'cancelled') return
    const { listing: { id }, phase, load, provenAgeMs } = candidate
    options.log.info('attempt.failed', {
      requestId: wanted.requestId,
      service: wanted.service,
      target: id,
      result,
      idempotent: wanted.idempotent,
      isTrial,
      phase,
      load,
      provenAgeMs: Number.isFinite(provenAgeMs) ? Math.round(provenAgeMs) : -1,
      afterMs: Math.round(latencyMs)
    })
  }

  const grant = (wanted: PlacementRequest, { candidate, isTrial }: Chosen, now: number): Slot => {
    const { listing } = candidate
    const entry: Running = { listing, className: wanted.class, placedAt: now }
    running.add(entry)
    targets.loads.begin(listing.id)
    if (isTrial) targets.beginTrial(listing.id)
    const connections = catalog.ruleset()?.pools.find(({ name }) => name === listing.service)?.maxConnections ?? 1
    let isReleased = false
    return {
      target: targetOf(listing, connections),
      release: (observation, endedAt) => {
        if (isReleased) return
        isReleased = true
        running.delete(entry)
        targets.loads.end(listing.id)
        targets.settle(listing, observation, now, endedAt)
        if (observation === undefined) return serve(wanted.service, endedAt)
        const { history } = lineOf(wanted.service)
        if (observation.result === 'answered') history.answered(endedAt)
        else history.failed(endedAt)
        report(wanted, candidate, isTrial, observation, endedAt - now)
        options.observe(observation, endedAt)
        serve(wanted.service, endedAt)
      }
    }
  }

  const tryGrant = (wanted: PlacementRequest, now: number): Slot | undefined => {
    const candidates = targets.candidates(wanted.service, wanted.avoid, now)
    const chosen = choose(wanted, candidates, now)
    return chosen === undefined ? undefined : grant(wanted, chosen, now)
  }

  const drop = (line: Line, entry: Entry): void => { line.entries = line.entries.filter(other => other !== entry) }

  /** When a request with `ahead` others before it is expected to get a slot, and why. */
  const outlook = (wanted: PlacementRequest, candidates: readonly Candidate[], ahead: number, now: number): Outlook => {
    if (candidates.some(({ phase }) => phase === 'sound')) {
      const waitMs = expectedWaitMs(ahead, endsPerMs(wanted.service, wanted.class, candidates, now))
      return { waitMs, reason: `${ahead} requests wait, which takes about ${Math.round(waitMs)} ms` }
    }
    const trialMs = Math.min(...candidates.map(({ overdueMs }) => Math.max(0, -overdueMs)))
    const reason = `all ${candidates.length} targets failed lately, and the next one is tried in ${Math.round(trialMs)} ms`
    return { waitMs: trialMs + usualMsOf(wanted.service, wanted.class), reason }
  }

  const refuseWaiting = (service: string, line: Line, entry: Entry, now: number): void => {
    drop(line, entry)
    line.history.failed(now)
    const { waitMs, reason } = outlook(entry.wanted, targets.candidates(service, entry.wanted.avoid, now), line.entries.length, now)
    entry.refuse(refusal('overloaded', `no slot became free in time; ${reason}`, { retryAfterMs: returnAfterMs(waitMs, random) }))
  }

  /** Gives free slots to those who wait, and refuses who cannot be served in time any more. */
  function serve (service: string, now: number): void {
    const line = lines.get(service)
    if (line === undefined || line.entries.length === 0) return
    // What one request may not use, for example a target on trial, another one behind it may.
    const blocked = new Set<boolean>()
    for (const entry of inOrder(line.entries, now)) {
      const { idempotent, avoid } = entry.wanted
      if (blocked.has(idempotent)) continue
      const slot = tryGrant(entry.wanted, now)
      if (slot !== undefined) {
        drop(line, entry)
        entry.deliver(slot)
      } else if (avoid.size === 0) blocked.add(idempotent)
    }
    for (const entry of line.entries.filter(each => latestStart(each) <= now)) refuseWaiting(service, line, entry, now)
  }

  const acquire: Admission['acquire'] = (wanted, now) => Effect.callback<Slot, Refusal>(resume => {
    const line = lineOf(wanted.service)
    line.history.asked(wanted.idempotent, now)
    const candidates = targets.candidates(wanted.service, wanted.avoid, now)
    if (candidates.length === 0) {
      const detail = wanted.avoid.size > 0 ? 'every target was tried' : 'the service has no target'
      return resume(Effect.fail(refusal('no-target', detail, { retryAfterMs: returnAfterMs(ASSUMED_LATENCY_MS, random) })))
    }
    const isFirst = line.entries.length === 0
    const slot = isFirst ? tryGrant(wanted, now) : undefined
    if (slot !== undefined) return resume(Effect.succeed(slot))
    const entry: Entry = {
      wanted,
      urgency: -wanted.priority,
      objectiveAt: wanted.objectiveAt,
      deadlineAt: wanted.deadlineAt,
      usualMs: usualMsOf(wanted.service, wanted.class),
      deliver: granted => resume(Effect.succeed(granted)),
      refuse: refused => resume(Effect.fail(refused))
    }
    const ahead = line.entries.filter(other => !goesBefore(entry, other, now)).length
    const { waitMs, reason } = outlook(wanted, candidates, ahead, now)
    if (!shouldWait(entry, waitMs, now)) {
      line.history.failed(now)
      return resume(Effect.fail(refusal('overloaded', reason, { retryAfterMs: returnAfterMs(waitMs, random) })))
    }
    line.entries.push(entry)
    serve(wanted.service, now)
    return Effect.sync(() => drop(line, entry))
  })

  const shareNear = createSharing(mesh, NEAR_PACE, targets.loads.pack)
  const shareFar = createSharing(mesh, FAR_PACE, targets.loads.packCounts)
  /** Whether requests of a service go to targets of other zones soon, or do already. */
  const isZonePressed = (service: string, now: number): boolean => {
    const sound = targets.candidates(service, AVOID_NONE, now).filter(({ phase, listing }) => phase === 'sound' && listing.zone === zone)
    return useOf(sound) >= PRESSED_USE
  }
  let pressure = { checkedAt: -Infinity, isPressed: false }
  const isPressed = (now: number): boolean => {
    if (now - pressure.checkedAt >= FAR_PACE.changedMs) {
      pressure = { checkedAt: now, isPressed: [...lines.keys()].some(service => isZonePressed(service, now)) }
    }
    return pressure.isPressed
  }
  const shareLoads = (now: number): void => {
    shareNear(options.neighbours(now), now)
    if (isPressed(now)) shareFar(options.farServing(now), now)
  }

  mesh.subscribe(loadsChannel, (from, loads) => targets.loads.take(from.vm, loads, clock()))

  let prunedAt = -Infinity
  const sweep = (now: number): void => {
    for (const { listing, className, placedAt } of running) targets.judgeRunning(listing, className, placedAt, now)
    for (const service of lines.keys()) serve(service, now)
    shareLoads(now)
    if (now - prunedAt < PRUNE_MS) return
    prunedAt = now
    targets.prune()
  }

  return {
    acquire,
    takeRetry: (service, now) => lineOf(service).budget.take(vmCount(now), now),
    earnRetry: (service, now) => lineOf(service).budget.earn(now),
    usualMs: (service, className) => targets.latenciesOf(service).usualMs(className),
    sweep,
    maintain: Effect.forever(Effect.suspend(() => {
      sweep(clock())
      const isBusy = running.size > 0 || [...lines.values()].some(({ entries }) => entries.length > 0)
      return Effect.sleep(isBusy ? SWEEP_MS : IDLE_SWEEP_MS)
    })),
    targets,
    waiting: service => lines.get(service)?.entries.length ?? 0
  }
}
