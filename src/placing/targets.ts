/** What this VM believes of the targets, from its own requests and from what other VMs tell. */
import type { Catalog, Listing } from '../catalog/index.js'
import type { Log } from '../log/index.js'
import { hashText } from '../membership/index.js'
import type { Mesh, Observation } from '../model/index.js'
import type { Candidate } from './choose.js'
import { createLoads, type TargetLoads } from './loads.js'
import { createLatencies, type Latencies } from './latencies.js'
import { verdictChannel, type Verdict } from './messages.js'
import { createStandings, type Phase, type Standings } from './standing.js'

/** Holds after a failed answer; episodes of a target last some seconds. */
const FAILURE_HOLDS_MS = [500, 700, 1000] as const
/** Holds after a failed connection; only this VM's path may be affected. */
const PATH_HOLDS_MS = [400, 800, 1600, 2500] as const
/** Holds after a target said that it is full. */
const FULL_HOLDS_MS = [100, 200, 400] as const
/** Holds after another target answered at the address: the entry is outdated until it changes. */
const ADDRESS_HOLDS_MS = [2500, 5000, 10_000] as const
/** Two answers that break off within this time are no accident, in ms. */
const BROKEN_PAIR_MS = 2000
/** Time between the VMs that try a suspect target, in ms. */
const TRIAL_STEP_MS = 150
/** A request that runs this many times longer than usual makes its target suspect before it ends. */
const OVERDUE_FACTOR = 6
const OVERDUE_MIN_MS = 1000

/** The beliefs of this VM. Times are in ms on the VM's clock. */
export interface Targets {
  readonly loads: TargetLoads
  readonly latenciesOf: (service: string) => Latencies
  readonly candidates: (service: string, avoid: ReadonlySet<string>, now: number) => readonly Candidate[]
  readonly phaseOf: (target: string, now: number) => Phase
  /** Marks that a request tries a suspect target; undone by `settle`. */
  readonly beginTrial: (target: string) => void
  /** Records how a request ended that was placed at `placedAt`. */
  readonly settle: (listing: Listing, observation: Observation | undefined, placedAt: number, now: number) => void
  /** Takes a request that is still running into account. */
  readonly judgeRunning: (listing: Listing, className: string, placedAt: number, now: number) => void
  /** Forgets targets that are gone. */
  readonly prune: () => void
}

/** What the beliefs depend on. */
export interface TargetsOptions {
  readonly self: string
  readonly catalog: Catalog
  readonly mesh: Mesh
  /** Names of the VMs that serve callers, this VM included. */
  readonly servingVMs: (now: number) => readonly string[]
  readonly clock: () => number
  readonly log: Log
}

/** `hashText` is below it. */
const HASH_RANGE = 2 ** 32

const SEVERITY: Readonly<Record<Phase, number>> = { sound: 0, due: 1, held: 2 }

/** Creates beliefs without any evidence: every target is sound. */
export function createTargets (options: TargetsOptions): Targets {
  const { self, catalog, mesh, log, clock } = options
  /** Failed answers: they say something about the target, whichever VM asked. */
  const answers = createStandings(FAILURE_HOLDS_MS)
  /** Failed connections: they say something about the path from this VM. */
  const paths = createStandings(PATH_HOLDS_MS)
  const rooms = createStandings(FULL_HOLDS_MS)
  const addresses = createStandings(ADDRESS_HOLDS_MS)
  const all: readonly Standings[] = [answers, paths, rooms, addresses]
  const loads = createLoads()
  const latencies = new Map<string, Latencies>()
  const trials = new Set<string>()
  const brokenAt = new Map<string, number>()
  const incarnations = new Map<string, number>()

  const latenciesOf = (service: string): Latencies => {
    const known = latencies.get(service) ?? createLatencies()
    latencies.set(service, known)
    return known
  }

  const phaseOf = (target: string, now: number): Phase =>
    all.map(standings => standings.phaseOf(target, now)).reduce((worst, phase) => SEVERITY[phase] > SEVERITY[worst] ? phase : worst)

  const tell = (listing: Listing, hasFailed: boolean): void => {
    const verdict: Verdict = [listing.id, listing.startedAt, hasFailed ? 1 : 0]
    for (const { vm } of mesh.contacts()) mesh.send(vm, verdictChannel, verdict)
  }

  const suspect = (listing: Listing, reason: string, requestId: string, now: number): void => {
    if (!answers.fail(listing.id, now, loads.provenAt(listing.id))) return
    log.info('target.suspect', { target: listing.id, reason, requestId })
    tell(listing, true)
  }

  const suspectPath = (listing: Listing, reason: string, requestId: string, now: number): void => {
    if (paths.fail(listing.id, now)) log.info('target.path-suspect', { target: listing.id, reason, requestId })
  }

  const recordBroken = (listing: Listing, requestId: string, now: number): void => {
    const before = brokenAt.get(listing.id) ?? -Infinity
    brokenAt.set(listing.id, now)
    if (now - before <= BROKEN_PAIR_MS) suspect(listing, 'answers break off', requestId, now)
  }

  const recordSuccess = (listing: Listing, observation: Observation, placedAt: number, now: number): void => {
    loads.prove(listing.id, now)
    latenciesOf(listing.service).record(observation.class, listing.id, observation.latencyMs, now)
    paths.succeed(listing.id, placedAt)
    rooms.succeed(listing.id, placedAt)
    addresses.succeed(listing.id, placedAt)
    if (!answers.succeed(listing.id, placedAt)) return
    log.info('target.sound', { target: listing.id, requestId: observation.requestId })
    tell(listing, false)
  }

  const judge = (listing: Listing, observation: Observation, placedAt: number, now: number): void => {
    const { result, requestId = '' } = observation
    switch (result) {
      case 'answered': return recordSuccess(listing, observation, placedAt, now)
      case 'failed':
      case 'reset': return suspect(listing, result, requestId, now)
      case 'truncated': return recordBroken(listing, requestId, now)
      case 'timeout':
      case 'unreachable':
      case 'silent': return suspectPath(listing, result, requestId, now)
      case 'misdirected':
        addresses.fail(listing.id, now)
        log.info('target.misdirected', { target: listing.id, requestId })
        return
      case 'shed':
      case 'draining': rooms.fail(listing.id, now); return
      case 'cancelled': return judgeRunning(listing, observation.class, placedAt, now)
    }
  }

  const judgeRunning = (listing: Listing, className: string, placedAt: number, now: number): void => {
    const usualMs = latenciesOf(listing.service).usualMs(className)
    if (usualMs === undefined || now - placedAt < Math.max(OVERDUE_MIN_MS, OVERDUE_FACTOR * usualMs)) return
    if (paths.phaseOf(listing.id, now) !== 'held') suspectPath(listing, 'overdue', '', now)
  }

  /** VMs try a suspect target one after the other, in an order that differs for each target. */
  const trialDelayMs = (target: string, now: number): number => {
    const own = hashText(`trial\n${target}\n${self}`)
    const before = options.servingVMs(now).filter(vm => vm !== self && hashText(`trial\n${target}\n${vm}`) < own)
    return TRIAL_STEP_MS * before.length
  }

  const affinities = new Map<string, number>()
  const affinityOf = (target: string): number => {
    const known = affinities.get(target) ?? hashText(`affinity\n${target}\n${self}`) / HASH_RANGE
    affinities.set(target, known)
    return known
  }

  const candidateOf = (listing: Listing, now: number): Candidate => {
    const { id } = listing
    const phase = phaseOf(id, now)
    const isSharedTrial = answers.phaseOf(id, now) === 'due'
    const warmth = listing.warmupMs > 0 ? 2 : 1
    return {
      listing,
      phase,
      overdueMs: phase === 'sound' ? 0 : Math.min(...all.filter(each => each.phaseOf(id, now) !== 'sound').map(each => each.overdueMs(id, now))),
      load: loads.total(id, now),
      slowness: Math.max(warmth, latenciesOf(listing.service).slowness(id, now)),
      provenAgeMs: now - loads.provenAt(id),
      isOnTrial: trials.has(id),
      affinity: affinityOf(id),
      trialDelayMs: isSharedTrial ? trialDelayMs(id, now) : 0
    }
  }

  mesh.subscribe(verdictChannel, (from, [id, startedAt, hasFailed]) => {
    const now = clock()
    const listing = catalog.find(id)
    if (listing === undefined || listing.startedAt !== startedAt) return
    log.info('verdict.heard', { target: id, from: from.vm, failed: hasFailed === 1 })
    if (hasFailed === 1) answers.fail(id, now, loads.provenAt(id))
    else answers.clear(id)
  })

  /** A target that started again knows nothing of what its predecessor did. */
  catalog.onChange(() => {
    for (const { id, startedAt } of catalog.listings()) {
      if (incarnations.get(id) === startedAt) continue
      if (incarnations.has(id)) for (const standings of all) standings.clear(id)
      incarnations.set(id, startedAt)
    }
  })

  return {
    loads,
    latenciesOf,
    phaseOf,
    candidates: (service, avoid, now) =>
      catalog.usable(service).filter(({ id }) => !avoid.has(id)).map(listing => candidateOf(listing, now)),
    beginTrial: target => { trials.add(target) },
    settle: (listing, observation, placedAt, now) => {
      trials.delete(listing.id)
      if (observation !== undefined) judge(listing, observation, placedAt, now)
    },
    judgeRunning,
    prune: () => {
      const isKnown = (target: string): boolean => catalog.find(target) !== undefined
      for (const standings of all) standings.retain(isKnown)
      loads.retain(isKnown)
      for (const known of [brokenAt, incarnations, affinities]) for (const id of known.keys()) if (!isKnown(id)) known.delete(id)
    }
  }
}
