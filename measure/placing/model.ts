/**
 * Simulates a load on the load balancers of several VMs, in memory and in virtual time, and counts the
 * outcomes of the requests, so that policies can be compared under peak loads within seconds.
 */
import { Effect } from 'effect'
import { createCatalog, type Change, type Listing } from '../../src/catalog/index.js'
import type { Log } from '../../src/log/index.js'
import type { Channel, Mesh, Peer, Result } from '../../src/model/index.js'
import { createLoadBalancer, type LoadBalancer } from '../../src/placing/index.js'
import { createRandom, exponential, logNormal, type Random } from '../random.js'
import { lowestUse, type Trace } from './lowest-use.js'
import { createTarget, type SimulatedTarget, type Outcome } from './target.js'
import { createVirtualClock, type VirtualClock } from './virtual-clock.js'

/** Requests of one class. */
export interface RequestClass {
  readonly name: string
  readonly idempotent: boolean
  /** 0 is the highest priority. */
  readonly priority: number
  readonly perSecond: number
  /** Median time for which a request occupies a slot, in ms. */
  readonly serviceTimeMs: number
  readonly objectiveMs: number
  readonly deadlineMs: number
}

/** A load on one service of a fleet. */
export interface Load {
  readonly name: string
  /** Number of targets by zone. */
  readonly targets: Readonly<Record<string, number>>
  /** Slots of each target. */
  readonly slots: number
  readonly vmsPerZone: number
  readonly classes: readonly RequestClass[]
  readonly durationMs: number
  /** Factor on the request rates of all classes at a time in ms. */
  readonly rateFactorAt: (now: number) => number
  /** Returns true while the target with this index fails. Default: no target fails. */
  readonly isFailing?: (target: number, now: number) => boolean
  readonly seed: number
}

/** Number of requests of a class by outcome. */
export interface OutcomeCounts {
  /** Answered within the objective. */
  inAim: number
  /** Answered after the objective. */
  late: number
  /** Refused without an attempt at a target. */
  refused: number
  failed: number
}

/** Outcome of a simulated load. */
export interface LoadResult {
  readonly byClass: Readonly<Record<string, Readonly<OutcomeCounts>>>
  /** Fraction of all requests that were answered within their objective. */
  readonly inAimShare: number
  /** Time that requests spent in the queues of targets, in ms: mean and 95th percentile. */
  readonly queuedMs: { readonly mean: number, readonly p95: number }
  /** Smallest fraction of the healthy targets in use while 0.1 to 0.5 of the requests go unserved. */
  readonly lowestUse: number
  /** Size of all messages between VMs of different zones, in bytes. */
  readonly bytesBetweenZones: number
}

const SERVICE = 'search'
const ID_PREFIX = 't-'
const QUEUE_LENGTH = 16
const SERVICE_TIME_SIGMA = 0.35
/** One-way latency of messages between VMs of the same zone and of different zones. */
const SAME_ZONE_LATENCY_MS = 0.3
const CROSS_ZONE_LATENCY_MS = 1.5
const SWEEP_INTERVAL_MS = 25
const INCARNATION = '1'
const RESULTS: Readonly<Record<Outcome, Result>> = { answered: 'answered', failed: 'failed', shed: 'shed' }
/** Time after the last arrival in which queued and running requests end. */
const DRAIN_MS = 6000

const SILENT_LOG: Log = { info: () => {}, warn: () => {}, error: () => {} }

/** Events recorded during a simulation. */
interface Recording {
  readonly arrivals: Array<Trace['arrivals'][number]>
  readonly ends: Array<Trace['ends'][number]>
}

interface SimulatedVM {
  readonly name: string
  readonly zone: string
  readonly loadBalancer: LoadBalancer
}

/** Creates links between all VMs that deliver every message after a fixed latency. */
function createLinks (clock: VirtualClock, zoneOf: (vm: string) => string, countBytes: (bytes: number) => void): (self: string, names: readonly string[]) => Mesh {
  const handlers = new Map<string, (from: Peer, body: never) => void>()
  return (self, names) => ({
    contacts: () => names.filter(name => name !== self).map(vm => ({ vm, incarnation: INCARNATION, lastEchoAt: clock.now(), roundTripMs: SAME_ZONE_LATENCY_MS })),
    subscribe: <Body>(channel: Channel<Body>, handler: (from: Peer, body: Body) => void) => { handlers.set(`${self}\n${channel.kind}`, handler as never) },
    send: <Body>(to: string, channel: Channel<Body>, body: Body) => {
      const isCrossZone = zoneOf(self) !== zoneOf(to)
      if (isCrossZone) countBytes(JSON.stringify(body).length)
      clock.schedule(isCrossZone ? CROSS_ZONE_LATENCY_MS : SAME_ZONE_LATENCY_MS, () => handlers.get(`${to}\n${channel.kind}`)?.({ vm: self, incarnation: INCARNATION }, body as never))
      return true
    }
  })
}

function listingsOf ({ targets, slots }: Load): readonly Listing[] {
  const zones = Object.entries(targets).flatMap(([zone, count]) => Array.from({ length: count }, () => zone))
  return zones.map((zone, index) => ({
    id: `${ID_PREFIX}${index}`, service: SERVICE, address: '127.0.0.1', port: 1, zone, slots, draining: false, warmupMs: 0, startedAt: 1
  }))
}

function createVMs (load: Load, clock: VirtualClock, random: Random, countBytes: (bytes: number) => void): readonly SimulatedVM[] {
  const zones = Object.keys(load.targets)
  const all = zones.flatMap(zone => Array.from({ length: load.vmsPerZone }, (_, index) => ({ zone, name: `${zone}-${index}` })))
  const zoneOf = (name: string): string => all.find(vm => vm.name === name)?.zone ?? ''
  const names = all.map(({ name }) => name)
  const createMesh = createLinks(clock, zoneOf, countBytes)
  const changes = listingsOf(load).map((listing): Change => ({ version: 1, entry: { kind: 'listing', id: listing.id, listing } }))
  return all.map(({ name, zone }) => {
    const catalog = createCatalog(SILENT_LOG)
    catalog.apply({ section: 'listings', changes, after: undefined, upTo: 1 }, 0)
    const loadBalancer = createLoadBalancer({
      self: name,
      zone,
      catalog,
      mesh: createMesh(name, names),
      servingVMs: () => names,
      zonePeers: () => names.filter(other => other !== name && zoneOf(other) === zone),
      otherZoneVMs: () => names.filter(other => zoneOf(other) !== zone),
      retries: () => ({ ratio: 0.2, windowMs: 10_000, slack: 64 }),
      retryShare: () => 1 / names.length,
      observe: () => {},
      random,
      log: SILENT_LOG,
      clock: clock.now
    })
    return { name, zone, loadBalancer }
  })
}

/** Sends one request, with up to three attempts, and counts its outcome. */
function sendRequest (vm: SimulatedVM, requestClass: RequestClass, id: string, targets: ReadonlyMap<string, SimulatedTarget>, clock: VirtualClock, random: Random, counts: OutcomeCounts, recording: Recording): void {
  const arrivedAt = clock.now()
  const tried = new Set<string>()
  const complete = (outcome: keyof OutcomeCounts): void => {
    counts[outcome]++
    recording.ends.push({ at: clock.now(), isServed: outcome === 'inAim' || outcome === 'late' })
  }
  const attempt = (): void => {
    const placementRequest = {
      service: SERVICE,
      class: requestClass.name,
      caller: id,
      deadlineAt: arrivedAt + requestClass.deadlineMs,
      requestId: id,
      idempotent: requestClass.idempotent,
      priority: -requestClass.priority,
      objectiveAt: arrivedAt + requestClass.objectiveMs,
      avoid: tried,
      avoidPlaces: new Set<string>()
    }
    const program = vm.loadBalancer.acquire(placementRequest, clock.now())
    Effect.runCallback(Effect.result(program), {
      onExit: exit => {
        if (exit._tag === 'Failure') throw new Error(`acquire ended with neither a slot nor a refusal: ${String(exit.cause)}`)
        const placement = exit.value
        if (placement._tag === 'Failure') {
          complete(tried.size > 0 ? 'failed' : 'refused')
          return
        }
        const slot = placement.success
        const startedAt = clock.now()
        tried.add(slot.target.id)
        const handleOutcome = (outcome: Outcome): void => {
          const now = clock.now()
          slot.release({
            requestId: id, service: SERVICE, target: slot.target.id, class: requestClass.name, result: RESULTS[outcome], latencyMs: now - startedAt, fingerprint: ''
          }, now)
          if (outcome === 'answered') {
            complete(now - arrivedAt <= requestClass.objectiveMs ? 'inAim' : 'late')
            return
          }
          const isRetryable = requestClass.idempotent || outcome === 'shed'
          if (isRetryable && tried.size < 3 && vm.loadBalancer.tryWithdrawRetry(SERVICE, now)) attempt()
          else complete('failed')
        }
        recording.arrivals.push({ at: startedAt, target: Number(slot.target.id.slice(ID_PREFIX.length)) })
        targets.get(slot.target.id)?.submit(logNormal(random, requestClass.serviceTimeMs, SERVICE_TIME_SIGMA), handleOutcome)
      }
    })
  }
  vm.loadBalancer.depositRetry(SERVICE, arrivedAt)
  attempt()
}

function percentile (values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.floor(fraction * (sorted.length - 1))] ?? 0
}

/**
 * Simulates a load.
 *
 * @example
 * const { inAimShare } = await simulateLoad(LOADS.burst)
 */
export async function simulateLoad (load: Load): Promise<LoadResult> {
  const clock = createVirtualClock()
  const random = createRandom(load.seed)
  const queueTimes: number[] = []
  let bytesBetweenZones = 0
  const vms = createVMs(load, clock, random, bytes => { bytesBetweenZones += bytes })
  const targets = new Map(listingsOf(load).map(({ id }, index) => [id, createTarget(clock, {
    id,
    slots: load.slots,
    queueLength: QUEUE_LENGTH,
    isFailing: now => load.isFailing?.(index, now) ?? false,
    recordQueueTime: waitMs => queueTimes.push(waitMs)
  })]))
  const byClass: Record<string, OutcomeCounts> = Object.fromEntries(load.classes.map(({ name }) => [name, { inAim: 0, late: 0, refused: 0, failed: 0 }]))

  const recording: Recording = { arrivals: [], ends: [] }
  let sent = 0
  const handleArrival = (requestClass: RequestClass): void => {
    const vm = vms[Math.floor(random() * vms.length)] as SimulatedVM
    sendRequest(vm, requestClass, `r-${sent++}`, targets, clock, random, byClass[requestClass.name] as OutcomeCounts, recording)
  }
  const scheduleNext = (requestClass: RequestClass): void => {
    clock.schedule(exponential(random, requestClass.perSecond * load.rateFactorAt(clock.now())), () => {
      if (clock.now() >= load.durationMs) return
      handleArrival(requestClass)
      scheduleNext(requestClass)
    })
  }
  for (const requestClass of load.classes) scheduleNext(requestClass)
  const sweep = (vm: SimulatedVM): void => {
    vm.loadBalancer.sweep(clock.now())
    if (clock.now() < load.durationMs + DRAIN_MS) clock.schedule(SWEEP_INTERVAL_MS, () => sweep(vm))
  }
  for (const vm of vms) clock.schedule(SWEEP_INTERVAL_MS * random(), () => sweep(vm))
  await clock.runUntil(load.durationMs + DRAIN_MS)

  const inAim = Object.values(byClass).reduce((sum, counts) => sum + counts.inAim, 0)
  const mean = queueTimes.reduce((sum, waitMs) => sum + waitMs, 0) / Math.max(1, queueTimes.length)
  const isHealthy = (target: number, now: number): boolean => load.isFailing?.(target, now) !== true
  return {
    byClass,
    inAimShare: inAim / Math.max(1, sent),
    queuedMs: { mean, p95: percentile(queueTimes, 0.95) },
    lowestUse: lowestUse({ ...recording, targets: targets.size, isHealthy, durationMs: load.durationMs }),
    bytesBetweenZones
  }
}

/** Simulates a load with `count` seeds. The counts are sums over the runs, `lowestUse` is the minimum, and the other values are means. */
export async function simulateSeeds (load: Load, count: number): Promise<LoadResult> {
  const runs: LoadResult[] = []
  for (let index = 0; index < count; index++) runs.push(await simulateLoad({ ...load, seed: load.seed + index }))
  const sum = (pick: (result: LoadResult) => number): number => runs.reduce((total, result) => total + pick(result), 0)
  const byClass = Object.fromEntries(load.classes.map(({ name }) => {
    const total = (end: keyof OutcomeCounts): number => sum(result => result.byClass[name]?.[end] ?? 0)
    return [name, { inAim: total('inAim'), late: total('late'), refused: total('refused'), failed: total('failed') }]
  }))
  return {
    byClass,
    inAimShare: sum(({ inAimShare }) => inAimShare) / count,
    queuedMs: { mean: sum(({ queuedMs }) => queuedMs.mean) / count, p95: sum(({ queuedMs }) => queuedMs.p95) / count },
    lowestUse: Math.min(...runs.map(result => result.lowestUse)),
    bytesBetweenZones: sum(result => result.bytesBetweenZones) / count
  }
}
