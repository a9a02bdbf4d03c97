/**
 * Plays a load on the placing of several VMs, without a network and in virtual time, and counts what
 * callers get. A policy can be compared in seconds with the loads of the heaviest days.
 */
import { Effect } from 'effect'
import { createCatalog, type Change, type Listing } from '../../src/catalog/index.js'
import type { Log } from '../../src/log/index.js'
import type { Channel, Mesh, Peer, Result } from '../../src/model/index.js'
import { createLoadBalancer, type LoadBalancer } from '../../src/placing/index.js'
import { createRandom, exponential, logNormal, type Random } from '../random.js'
import { lowestUse, type Usage } from './floor.js'
import { createTarget, type PlayedTarget, type Ran } from './target.js'
import { createTimeline, type Timeline } from './timeline.js'

/** Requests of one kind. */
export interface Kind {
  readonly name: string
  readonly idempotent: boolean
  /** 0 is the most urgent. */
  readonly priority: number
  readonly perSecond: number
  /** Median time of a run, in ms. */
  readonly workMs: number
  readonly objectiveMs: number
  readonly deadlineMs: number
}

/** A load on one service of a fleet. */
export interface Load {
  readonly name: string
  /** Targets by zone. */
  readonly targets: Readonly<Record<string, number>>
  readonly slots: number
  readonly vmsPerZone: number
  readonly kinds: readonly Kind[]
  readonly durationMs: number
  /** Factor on the rates of all kinds. */
  readonly rateAt: (now: number) => number
  /** Whether the target with this index fails; none does by default. */
  readonly isFailing?: (target: number, now: number) => boolean
  readonly seed: number
}

/** What became of the requests of a kind. */
export interface Ends {
  inAim: number
  late: number
  refused: number
  failed: number
}

/** What callers got. */
export interface Played {
  readonly byKind: Readonly<Record<string, Readonly<Ends>>>
  /** Share of all requests that were answered within their objective. */
  readonly inAimShare: number
  /** Time that requests spent in the queues of targets, in ms: the mean and the 95th percentile. */
  readonly queuedMs: { readonly mean: number, readonly p95: number }
  /** Least part of the sound targets in use while 0.1 to 0.5 of the requests go unserved. */
  readonly lowestUse: number
  /** Bytes of messages between VMs of different zones. */
  readonly bytesBetweenZones: number
}

const SERVICE = 'search'
const ID_PREFIX = 't-'
const QUEUE_LENGTH = 16
const WORK_SPREAD = 0.35
/** Time of a message between two VMs, in ms. */
const NEAR_MS = 0.3
const FAR_MS = 1.5
const SWEEP_MS = 25
const INCARNATION = '1'
const RESULTS: Readonly<Record<Ran, Result>> = { answered: 'answered', failed: 'failed', shed: 'shed' }
/** Time after the last arrival in which what waits and runs ends, in ms. */
const TAIL_MS = 6000

const SILENT: Log = { info: () => {}, warn: () => {}, error: () => {} }

/** What is recorded while a load is played. */
interface Tape {
  readonly arrivals: Array<Usage['arrivals'][number]>
  readonly ends: Array<Usage['ends'][number]>
}

interface PlayedVM {
  readonly name: string
  readonly zone: string
  readonly placing: LoadBalancer
}

/** Links between all VMs that deliver every message after a fixed time. */
function createLinks (timeline: Timeline, zoneOf: (vm: string) => string, count: (bytes: number) => void): (self: string, names: readonly string[]) => Mesh {
  const handlers = new Map<string, (from: Peer, body: never) => void>()
  return (self, names) => ({
    contacts: () => names.filter(name => name !== self).map(vm => ({ vm, incarnation: INCARNATION, lastEchoAt: timeline.now(), roundTripMs: NEAR_MS })),
    subscribe: <Body>(channel: Channel<Body>, handler: (from: Peer, body: Body) => void) => { handlers.set(`${self}\n${channel.kind}`, handler as never) },
    send: <Body>(to: string, channel: Channel<Body>, body: Body) => {
      const isFar = zoneOf(self) !== zoneOf(to)
      if (isFar) count(JSON.stringify(body).length)
      timeline.after(isFar ? FAR_MS : NEAR_MS, () => handlers.get(`${to}\n${channel.kind}`)?.({ vm: self, incarnation: INCARNATION }, body as never))
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

function createVMs (load: Load, timeline: Timeline, random: Random, count: (bytes: number) => void): readonly PlayedVM[] {
  const zones = Object.keys(load.targets)
  const all = zones.flatMap(zone => Array.from({ length: load.vmsPerZone }, (_, index) => ({ zone, name: `${zone}-${index}` })))
  const zoneOf = (name: string): string => all.find(vm => vm.name === name)?.zone ?? ''
  const names = all.map(({ name }) => name)
  const link = createLinks(timeline, zoneOf, count)
  const changes = listingsOf(load).map((listing): Change => ({ version: 1, entry: { kind: 'listing', id: listing.id, listing } }))
  return all.map(({ name, zone }) => {
    const catalog = createCatalog(SILENT)
    catalog.apply({ section: 'listings', changes, after: undefined, upTo: 1 }, 0)
    const placing = createLoadBalancer({
      self: name,
      zone,
      catalog,
      mesh: link(name, names),
      servingVMs: () => names,
      zonePeers: () => names.filter(other => other !== name && zoneOf(other) === zone),
      otherZoneVMs: () => names.filter(other => zoneOf(other) !== zone),
      retries: () => ({ ratio: 0.2, windowMs: 10_000, slack: 64 }),
      observe: () => {},
      random,
      log: SILENT,
      clock: timeline.now
    })
    return { name, zone, placing }
  })
}

/** Sends one request and counts how it ended. */
function sendRequest (vm: PlayedVM, kind: Kind, id: string, targets: ReadonlyMap<string, PlayedTarget>, timeline: Timeline, random: Random, ends: Ends, tape: Tape): void {
  const arrivedAt = timeline.now()
  const tried = new Set<string>()
  const end = (how: keyof Ends): void => {
    ends[how]++
    tape.ends.push({ at: timeline.now(), isServed: how === 'inAim' || how === 'late' })
  }
  const attempt = (): void => {
    const wanted = {
      service: SERVICE,
      class: kind.name,
      caller: id,
      deadlineAt: arrivedAt + kind.deadlineMs,
      requestId: id,
      idempotent: kind.idempotent,
      priority: -kind.priority,
      objectiveAt: arrivedAt + kind.objectiveMs,
      avoid: tried,
      avoidPlaces: new Set<string>()
    }
    const program = vm.placing.acquire(wanted, timeline.now())
    Effect.runCallback(Effect.result(program), {
      onExit: exit => {
        if (exit._tag === 'Failure') throw new Error(`placing ended without an outcome: ${String(exit.cause)}`)
        const outcome = exit.value
        if (outcome._tag === 'Failure') {
          end(tried.size > 0 ? 'failed' : 'refused')
          return
        }
        const slot = outcome.success
        const startedAt = timeline.now()
        tried.add(slot.target.id)
        const conclude = (ran: Ran): void => {
          const now = timeline.now()
          slot.release({
            requestId: id, service: SERVICE, target: slot.target.id, class: kind.name, result: RESULTS[ran], latencyMs: now - startedAt, fingerprint: ''
          }, now)
          if (ran === 'answered') {
            end(now - arrivedAt <= kind.objectiveMs ? 'inAim' : 'late')
            return
          }
          const mayRepeat = kind.idempotent || ran === 'shed'
          if (mayRepeat && tried.size < 3 && vm.placing.tryWithdrawRetry(SERVICE, now)) attempt()
          else end('failed')
        }
        tape.arrivals.push({ at: startedAt, target: Number(slot.target.id.slice(ID_PREFIX.length)) })
        targets.get(slot.target.id)?.submit(logNormal(random, kind.workMs, WORK_SPREAD), conclude)
      }
    })
  }
  vm.placing.depositRetry(SERVICE, arrivedAt)
  attempt()
}

function percentile (values: readonly number[], part: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.floor(part * (sorted.length - 1))] ?? 0
}

/**
 * Plays a load.
 *
 * @example
 * const { inAimShare } = await playLoad(LOADS[0])
 */
export async function playLoad (load: Load): Promise<Played> {
  const timeline = createTimeline()
  const random = createRandom(load.seed)
  const queued: number[] = []
  let bytesBetweenZones = 0
  const vms = createVMs(load, timeline, random, bytes => { bytesBetweenZones += bytes })
  const targets = new Map(listingsOf(load).map(({ id }, index) => [id, createTarget(timeline, {
    id,
    slots: load.slots,
    queueLength: QUEUE_LENGTH,
    isFailing: now => load.isFailing?.(index, now) ?? false,
    queued: waitMs => queued.push(waitMs)
  })]))
  const byKind: Record<string, Ends> = Object.fromEntries(load.kinds.map(({ name }) => [name, { inAim: 0, late: 0, refused: 0, failed: 0 }]))

  const tape: Tape = { arrivals: [], ends: [] }
  let sent = 0
  const arrive = (kind: Kind): void => {
    const vm = vms[Math.floor(random() * vms.length)] as PlayedVM
    sendRequest(vm, kind, `r-${sent++}`, targets, timeline, random, byKind[kind.name] as Ends, tape)
  }
  const schedule = (kind: Kind): void => {
    timeline.after(exponential(random, kind.perSecond * load.rateAt(timeline.now())), () => {
      if (timeline.now() >= load.durationMs) return
      arrive(kind)
      schedule(kind)
    })
  }
  for (const kind of load.kinds) schedule(kind)
  const sweep = (vm: PlayedVM): void => {
    vm.placing.sweep(timeline.now())
    if (timeline.now() < load.durationMs + TAIL_MS) timeline.after(SWEEP_MS, () => sweep(vm))
  }
  for (const vm of vms) timeline.after(SWEEP_MS * random(), () => sweep(vm))
  await timeline.playUntil(load.durationMs + TAIL_MS)

  const inAim = Object.values(byKind).reduce((sum, ends) => sum + ends.inAim, 0)
  const mean = queued.reduce((sum, waitMs) => sum + waitMs, 0) / Math.max(1, queued.length)
  const isSound = (target: number, now: number): boolean => load.isFailing?.(target, now) !== true
  return {
    byKind,
    inAimShare: inAim / Math.max(1, sent),
    queuedMs: { mean, p95: percentile(queued, 0.95) },
    lowestUse: lowestUse({ ...tape, targets: targets.size, isSound, durationMs: load.durationMs }),
    bytesBetweenZones
  }
}

/** Plays a load several times with other random numbers; counts are those of all runs together. */
export async function playSeeds (load: Load, count: number): Promise<Played> {
  const runs: Played[] = []
  for (let index = 0; index < count; index++) runs.push(await playLoad({ ...load, seed: load.seed + index }))
  const sum = (pick: (played: Played) => number): number => runs.reduce((total, played) => total + pick(played), 0)
  const byKind = Object.fromEntries(load.kinds.map(({ name }) => {
    const total = (end: keyof Ends): number => sum(played => played.byKind[name]?.[end] ?? 0)
    return [name, { inAim: total('inAim'), late: total('late'), refused: total('refused'), failed: total('failed') }]
  }))
  return {
    byKind,
    inAimShare: sum(({ inAimShare }) => inAimShare) / count,
    queuedMs: { mean: sum(({ queuedMs }) => queuedMs.mean) / count, p95: sum(({ queuedMs }) => queuedMs.p95) / count },
    lowestUse: Math.min(...runs.map(played => played.lowestUse)),
    bytesBetweenZones: sum(played => played.bytesBetweenZones) / count
  }
}
