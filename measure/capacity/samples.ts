/** Deterministic sample configurations, notes and VMs of any size. */
import type { AcceptedNote, Configuration, Member, Route, Service, Target, VM } from '../../src/model/index.js'

/** Availability zones of the expected fleet, in 5 regions. */
export const ZONES = 16

const TARGET_SLOTS = 4
const TARGET_CONNECTIONS = 400
const OCTET_VALUES = 256

const addressOf = (index: number): string =>
  `10.${Math.floor(index / OCTET_VALUES / OCTET_VALUES) % OCTET_VALUES}.${Math.floor(index / OCTET_VALUES) % OCTET_VALUES}.${index % OCTET_VALUES}`

const zoneOf = (index: number): string => `zone-${index % ZONES}`

/** Creates the target with an index. */
export function sampleTarget (index: number): Target {
  return {
    id: `target-${index}`,
    address: addressOf(index),
    port: 8000 + index % 1000,
    place: zoneOf(index),
    slots: TARGET_SLOTS,
    connections: TARGET_CONNECTIONS
  }
}

/** Creates the service with an index and a number of targets. */
export function sampleService (index: number, targets: number): Service {
  return {
    name: `service-${index}`,
    targets: Array.from({ length: targets }, (_, i) => sampleTarget(index * targets + i)),
    classes: [
      { name: 'read', idempotent: true, deadlineMs: 2000, priority: 0 },
      { name: 'write', idempotent: false, deadlineMs: 3000, priority: 1 }
    ],
    floor: Math.floor(targets * TARGET_SLOTS / 2),
    preference: 'detection',
    queue: { length: 64, ageMs: 500 }
  }
}

/** Creates the route with an index; consecutive routes go to different services. */
export function sampleRoute (index: number, services: number): Route {
  return {
    id: `route-${index}`,
    service: `service-${index % services}`,
    class: 'read',
    host: `host-${index % services}.example`,
    pathPrefix: `/area-${index}/items`,
    methods: ['GET', 'HEAD']
  }
}

/** Numbers of entries in a sample configuration. */
export interface Sizes {
  readonly services: number
  /** Targets of all services together. */
  readonly targets: number
  readonly routes: number
}

/** Creates a configuration that spreads targets and routes evenly over the services. */
export function sampleConfiguration ({ services, targets, routes }: Sizes): Configuration {
  const targetsOfService = (index: number): number => Math.floor((index + 1) * targets / services) - Math.floor(index * targets / services)
  return {
    revision: 1,
    services: Array.from({ length: services }, (_, i) => sampleService(i, targetsOfService(i))),
    routes: Array.from({ length: routes }, (_, i) => sampleRoute(i, services))
  }
}

/** Creates a note that changes one target of a service, the most frequent kind of change. */
export function sampleNote (revision: number, service: Service): AcceptedNote {
  const target = service.targets[revision % service.targets.length]
  const changed = target === undefined ? [] : [{ service: service.name, target: { ...target, port: 1 + revision % 65_535 } }]
  const noEntries = { services: [], targets: [], routes: [] }
  return {
    revision,
    note: { id: `note-${revision}`, base: revision - 1, added: noEntries, changed: { ...noEntries, targets: changed }, withdrawn: noEntries },
    acceptedAt: 1_780_000_000_000 + revision,
    acceptedBy: 'entry-1'
  }
}

/** Creates the VM with an index. */
export function sampleVM (index: number): VM {
  const address = addressOf(index)
  return {
    name: `entry-${index + 1}`,
    place: zoneOf(index),
    callers: { address, port: 8080 },
    peers: { address, port: 8081 }
  }
}

/** Creates the first `count` VMs. */
export function sampleVMs (count: number): readonly VM[] {
  return Array.from({ length: count }, (_, i) => sampleVM(i))
}

/** Creates the incarnation of a VM, as long as a real one. */
export function sampleIncarnation (index: number): string {
  return (1_780_000_000_000 * 2 ** 8 + index).toString(16).padStart(24, '0')
}

/** Creates the first `count` VMs as live members. */
export function sampleMembers (count: number): readonly Member[] {
  return sampleVMs(count).map((vm, i) => ({ vm, state: 'live', incarnation: sampleIncarnation(i) }))
}
