/** System under test, the product or the baseline. Both receive the same load and the same faults. */
import type { Endpoint } from '../../src/model/index.js'
import type { Faults } from '../../stand-ins/platform/index.js'
import type { TargetStandIn } from '../../stand-ins/target/index.js'

/** Service that a scenario requires. */
export interface ServiceSpec {
  readonly targets: number
  readonly slots: number
  /** Mean of the service time, in ms. */
  readonly meanMs: number
  /** Capacity floor, in slots. */
  readonly floor: number
  readonly preference: 'detection' | 'accuracy'
  /** Deadline of both classes, in ms. */
  readonly deadlineMs: number
}

/** Running proxies in front of the targets of a scenario. */
export interface SystemUnderTest {
  /** Endpoints that callers connect to. */
  readonly contacts: readonly Endpoint[]
  /** Has no effect on a system without a platform. */
  readonly setPlatformFaults: (faults: Partial<Faults>) => void
  readonly close: () => Promise<void>
}

/** Starts the proxies in front of the targets. Resolves once they serve requests. */
export type StartSystem = (service: ServiceSpec, targets: readonly TargetStandIn[]) => Promise<SystemUnderTest>

/** Names that scenarios, loads and notes share. */
export const SERVICE = 'work'
export const PATH = '/work'
export const READ = 'read'
export const PLACE_ORDER = 'order'

/** Entry VMs, or naive proxies, in front of the targets of a scenario. */
export const PROXY_COUNT = 3

/** Availability zones of VMs and targets. */
export const ZONES = ['riga-a', 'riga-b', 'daugavpils'] as const

/** Returns the availability zone of the VM or target with an index. */
export function zoneOf (index: number): string {
  return ZONES[index % ZONES.length] ?? ZONES[0]
}
