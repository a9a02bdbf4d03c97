/** Addresses, settings and release notes of a fleet on loopback. */
import type { VM } from '../src/model/index.js'

export const PLACES = ['riga-a', 'riga-b', 'daugavpils'] as const

const CALLERS_PORT = 8080
const PEERS_PORT = 8081
const OPERATORS_PORT = 9090
const PLATFORM_PORT = 7000
const TARGET_PORT = 8000

export const OPERATOR_TOKEN = 'trial-operator-token-0123456789abcdef'
const PEER_KEY = 'trial-peer-key-0123456789abcdef0123456789'

/** A target of the layout. */
export interface PlannedTarget {
  readonly id: string
  readonly address: string
  readonly port: number
  readonly place: string
  readonly slots: number
  readonly connections: number
}

/** Addresses and settings of the VMs, the targets and the platform of a fleet. */
export interface Layout {
  readonly vms: readonly VM[]
  readonly platform: { readonly address: string, readonly port: number }
  readonly targets: Readonly<Record<'listing' | 'holds', readonly PlannedTarget[]>>
  /** Returns the settings document of a VM. */
  readonly settingsOf: (vm: VM) => object
  /** Returns the URL of the operator listener of a VM. */
  readonly operatorsUrl: (vm: VM) => string
}

/** Options of {@link planFleet}. */
export interface LayoutOptions {
  readonly vms: number
  readonly listingTargets: number
  readonly holdsTargets: number
  /** Port of the peer listener if other VMs dial a relay at `vm.peers`. Default: the port of `vm.peers`. */
  readonly listenPeersPort?: number
  /** Overrides of the settings, for example shorter limits. */
  readonly settings?: object
}

function placeOf (index: number): string {
  return PLACES[index % PLACES.length] ?? PLACES[0]
}

/**
 * Plans a fleet on its own /16 network in 127.0.0.0/8, so that several fleets can run at the same time.
 *
 * @param network second byte of the addresses, 1 to 254
 */
export function planFleet (network: number, sizes: LayoutOptions): Layout {
  const address = (group: number, index: number): string => `127.${network}.${group}.${index + 1}`
  const vms = Array.from({ length: sizes.vms }, (_, i): VM => ({
    name: `entry-${i + 1}`,
    place: placeOf(i),
    callers: { address: address(1, i), port: CALLERS_PORT },
    peers: { address: address(1, i), port: PEERS_PORT }
  }))
  const targetsOf = (service: string, group: number, count: number, slots: number): readonly PlannedTarget[] =>
    Array.from({ length: count }, (_, i) => ({
      id: `${service}-${i + 1}`, address: address(group, i), port: TARGET_PORT, place: placeOf(i), slots, connections: 400
    }))
  const platform = { address: address(9, 0), port: PLATFORM_PORT }
  return {
    vms,
    platform,
    targets: { listing: targetsOf('listing', 2, sizes.listingTargets, 4), holds: targetsOf('holds', 3, sizes.holdsTargets, 4) },
    settingsOf: vm => ({
      vm,
      ...sizes.listenPeersPort === undefined ? {} : { listenPeers: { address: vm.peers.address, port: sizes.listenPeersPort } },
      operators: { address: vm.callers.address, port: OPERATORS_PORT },
      operatorToken: OPERATOR_TOKEN,
      peerKey: PEER_KEY,
      platform,
      seeds: vms.filter(other => other.name !== vm.name).slice(0, 3),
      ...sizes.settings
    }),
    operatorsUrl: vm => `http://${vm.callers.address}:${OPERATORS_PORT}`
  }
}

/** Time limits of the services in the first note. */
export interface TimeLimits {
  /** Deadline of all classes, in ms. Default: 2000 for reads, 3000 for placements. */
  readonly deadlineMs?: number
  /** Maximum time in the admission queue, in ms. Default: the default of the configuration. */
  readonly queueAgeMs?: number
}

/** Creates the release note that adds both services. */
export function initialNote (layout: Layout, { deadlineMs, queueAgeMs }: TimeLimits = {}): object {
  const queue = queueAgeMs === undefined ? {} : { queue: { length: 64, ageMs: queueAgeMs } }
  return {
    id: 'first-services',
    base: 0,
    added: {
      services: [
        {
          name: 'listing',
          floor: Math.floor(layout.targets.listing.length * 4 * 2 / 3),
          preference: 'detection',
          classes: [{ name: 'search', idempotent: true, deadlineMs: deadlineMs ?? 2000, priority: 0 }],
          targets: layout.targets.listing,
          ...queue
        },
        {
          name: 'holds',
          floor: Math.floor(layout.targets.holds.length * 4 * 2 / 3),
          preference: 'accuracy',
          classes: [
            { name: 'read', idempotent: true, deadlineMs: deadlineMs ?? 2000, priority: 0 },
            { name: 'place', idempotent: false, deadlineMs: deadlineMs ?? 3000, priority: 1 }
          ],
          targets: layout.targets.holds,
          ...queue
        }
      ],
      routes: [
        { id: 'listing', service: 'listing', class: 'search', pathPrefix: '/listing' },
        { id: 'holds-read', service: 'holds', class: 'read', pathPrefix: '/holds', methods: ['GET', 'HEAD'] },
        { id: 'holds-place', service: 'holds', class: 'place', pathPrefix: '/holds', methods: ['POST'] }
      ]
    }
  }
}
