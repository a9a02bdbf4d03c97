/** Processor time, message bytes and memory of the coordination of one service. */
import { createCoordination, TICK_MS, type Coordination } from '../../src/allocation/index.js'
import type { Channel, Configuration, Mesh, Observation, Service } from '../../src/model/index.js'
import { encode } from '../../src/peer/codec.js'
import { noDemand, silentLog } from '../fleet/fleet.js'
import { createNetwork } from '../fleet/network.js'
import { createRandom, type Random } from '../random.js'
import type { MeasuredValue, Measurement } from './measurement.js'
import { measureHeap, measureTime } from './resource-usage.js'
import { sampleService } from './samples.js'

const NETWORK_LATENCY_MS = 1.5
const SEED = 1
const START_MS = 100_000
/** Time for the coordinator to acquire its lease and allocate all slots. */
const WARM_UP_MS = 4000
const RUN_MS = 10_000
const MS_PER_S = 1000
const US_PER_MS = 1000
/** Request rate per target in the expected fleet: 1.6 million requests/s and 150,000 targets. */
const REQUESTS_PER_TARGET_PER_S = 11
const FAILED_SHARE = 0.01
const TARGET_LATENCY_MS = 20
const SUBSET_MEMBERS = 8

interface Usage {
  /** Encoded bytes of the sent messages, by kind. */
  readonly bytes: Map<string, number>
  messages: number
  coordinatorMs: number
  memberMs: number
  coordinatorTicks: number
  memberTicks: number
}

const createUsage = (): Usage => ({ bytes: new Map(), messages: 0, coordinatorMs: 0, memberMs: 0, coordinatorTicks: 0, memberTicks: 0 })

/** Counts the messages and their encoded size. Time and bytes are measured in separate runs, so that encoding is not timed. */
function countSentBytes (mesh: Mesh, currentUsage: () => Usage | undefined): Mesh {
  return {
    ...mesh,
    send: <Body>(vm: string, channel: Channel<Body>, body: Body) => {
      const usage = currentUsage()
      if (usage !== undefined) {
        usage.messages++
        usage.bytes.set(channel.kind, (usage.bytes.get(channel.kind) ?? 0) + encode([channel.kind, body]).length)
      }
      return mesh.send(vm, channel, body)
    }
  }
}

function createObservation (service: Service, target: number, random: Random): Observation {
  return {
    service: service.name,
    target: service.targets[target]?.id ?? '',
    class: 'read',
    result: random() < FAILED_SHARE ? 'failed' : 'answered',
    latencyMs: TARGET_LATENCY_MS * (0.5 + random()),
    fingerprint: ''
  }
}

interface Subset {
  readonly coordinations: readonly Coordination[]
  /** Runs for a simulated time and adds the consumed resources to `usage`. */
  readonly run: (ms: number, usage: Usage, isCountingBytes: boolean) => void
}

function createSubset (service: Service, members: number): Subset {
  const names = Array.from({ length: members }, (_, i) => `entry-${i + 1}`)
  const configuration: Configuration = { revision: 1, services: [service], routes: [] }
  const random = createRandom(SEED)
  const network = createNetwork(NETWORK_LATENCY_MS, random)
  let byteUsage: Usage | undefined
  const coordinations = names.map(name => {
    const incarnation = `${name}-1`
    return createCoordination({
      self: name,
      incarnation,
      subset: () => names,
      configuration: () => configuration,
      mesh: countSentBytes(network.attach({ vm: name, incarnation }), () => byteUsage),
      demand: noDemand,
      log: silentLog
    })
  })
  let now = START_MS
  const isCoordinator = (coordination: Coordination): boolean => coordination.explain(service.name, undefined, now)?.['leads'] === true
  const observe = (): void => {
    const requestsPerTick = service.targets.length * REQUESTS_PER_TARGET_PER_S * TICK_MS / MS_PER_S
    for (let remaining = requestsPerTick; random() < remaining; remaining--) {
      const member = coordinations[Math.floor(random() * members)]
      member?.observe(createObservation(service, Math.floor(random() * service.targets.length), random), now)
    }
  }
  return {
    coordinations,
    run: (ms, usage, isCountingBytes) => {
      byteUsage = isCountingBytes ? usage : undefined
      const coordinator = coordinations.find(isCoordinator)
      for (const endsAt = now + ms; now < endsAt;) {
        now += TICK_MS
        observe()
        network.deliver(now, () => false)
        for (const coordination of coordinations) {
          const startedAt = performance.now()
          coordination.tick(now)
          const elapsedMs = performance.now() - startedAt
          if (coordination === coordinator) {
            usage.coordinatorMs += elapsedMs
            usage.coordinatorTicks++
          } else {
            usage.memberMs += elapsedMs
            usage.memberTicks++
          }
        }
      }
    }
  }
}

function measureSubset (targets: number, members: number): readonly MeasuredValue[] {
  const service = sampleService(0, targets)
  const runOnce = (): Subset => {
    const subset = createSubset(service, members)
    subset.run(WARM_UP_MS, createUsage(), false)
    subset.run(RUN_MS, createUsage(), false)
    return subset
  }
  const { bytes: heapBytes, value: subset } = measureHeap(runOnce)
  const timeUsage = createUsage()
  subset.run(RUN_MS, timeUsage, false)
  const byteUsage = createUsage()
  subset.run(RUN_MS, byteUsage, true)
  const bytesPerSecond = (kind: string): number => (byteUsage.bytes.get(kind) ?? 0) / RUN_MS * MS_PER_S
  return [
    { measure: 'coordinatorTick', unit: 'us', value: timeUsage.coordinatorMs / timeUsage.coordinatorTicks * US_PER_MS },
    { measure: 'memberTick', unit: 'us', value: timeUsage.memberMs / timeUsage.memberTicks * US_PER_MS },
    { measure: 'evidenceBytes', unit: 'B/s of the subset', value: bytesPerSecond('evidence') },
    { measure: 'allocationBytes', unit: 'B/s of the subset', value: bytesPerSecond('allocation') },
    { measure: 'leaseBytes', unit: 'B/s of the subset', value: bytesPerSecond('leaseRequest') + bytesPerSecond('leaseGrant') },
    { measure: 'messages', unit: 'messages/s of the subset', value: byteUsage.messages / RUN_MS * MS_PER_S },
    { measure: 'heap', unit: 'B of the subset', value: heapBytes }
  ]
}

/** Coordination of a service with 8 members, by the number of targets. */
export const coordinationByTargets: Measurement = {
  name: 'coordination-by-targets',
  by: 'targets',
  sizes: [6, 23, 60, 240],
  quickSizes: [3, 4, 6],
  run: targets => measureSubset(targets, SUBSET_MEMBERS)
}

/** Coordination of a service with 23 targets, by the number of members in its subset. */
export const coordinationByMembers: Measurement = {
  name: 'coordination-by-members',
  by: 'members',
  sizes: [3, 8, 16, 32],
  quickSizes: [3, 4, 5],
  run: members => measureSubset(23, members)
}

/** Duration of a tick on one VM, by the number of configured services, none of which it serves. */
export const coordinationByServices: Measurement = {
  name: 'coordination-by-services',
  by: 'services',
  sizes: [65, 650, 6500],
  quickSizes: [10, 20, 40],
  run: count => {
    const services = Array.from({ length: count }, (_, i) => sampleService(i, 1))
    const configuration: Configuration = { revision: 1, services, routes: [] }
    const members = Array.from({ length: SUBSET_MEMBERS }, (_, i) => `entry-${i + 2}`)
    const network = createNetwork(NETWORK_LATENCY_MS, createRandom(SEED))
    const coordination = createCoordination({
      self: 'entry-1',
      incarnation: 'entry-1-1',
      subset: () => members.map(name => name),
      configuration: () => configuration,
      mesh: network.attach({ vm: 'entry-1', incarnation: 'entry-1-1' }),
      demand: noDemand,
      log: silentLog
    })
    let now = START_MS
    return [{ measure: 'tick', unit: 'us', value: measureTime(() => coordination.tick(now += TICK_MS)) }]
  }
}
