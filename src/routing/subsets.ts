import type { Configuration, Member, Service, VM } from '../model/index.js'
import { compareVMs, isAffected, type VMChange } from './subset-change.js'
import { chooseSubset } from './subset.js'

/** Cached subsets of all services. One is computed again only if its service, or a VM that can affect it, changed. */
export interface Subsets {
  /** VMs that serve a service, ranked; empty for an unknown service. */
  readonly of: (service: string) => readonly VM[]
  /** Names of the VMs that share a subset with `vm`, without `vm`. */
  readonly peersOf: (vm: string) => readonly string[]
  /** Applies the current members of the fleet in the view of this VM. */
  readonly refresh: (members: readonly Member[]) => void
}

const NO_CHANGE: VMChange = { removed: new Set(), added: [], zoneSizes: new Map() }

/** A subset and the version of the service for which it was computed. */
interface CachedSubset {
  readonly service: Service
  readonly subset: readonly VM[]
}

/** Cached result of `peersOf`. */
interface Peers {
  readonly vm: string
  readonly names: readonly string[]
}

/**
 * Creates the subsets, of VMs that are not gone. A leaving VM remains a member of its subsets, because it continues to
 * serve until the callers' cached addresses have expired.
 *
 * @example
 * const subsets = createSubsets(() => replica.current())
 * subsets.refresh(membership.members(now))
 * subsets.of('holds').map(vm => vm.name)
 */
export function createSubsets (configuration: () => Configuration): Subsets {
  let vms: readonly VM[] = []
  let appliedRevision = -1
  let services: ReadonlyMap<string, Service> = new Map()
  let cached = new Map<string, CachedSubset>()
  let peers: Peers | undefined

  const applyConfiguration = (): void => {
    const current = configuration()
    if (current.revision === appliedRevision) return
    appliedRevision = current.revision
    services = new Map(current.services.map(service => [service.name, service]))
    // A release note changes few services. Computing all subsets again would make every VM score the whole fleet for
    // every service.
    cached = new Map([...cached].filter(([name, entry]) => services.get(name) === entry.service))
    peers = undefined
  }
  const subsetOf = (service: Service): readonly VM[] => {
    const known = cached.get(service.name)
    if (known !== undefined) return known.subset
    const subset = chooseSubset(service, vms)
    cached.set(service.name, { service, subset })
    return subset
  }
  const findPeers = (vm: string): readonly string[] => {
    const names = new Set<string>()
    for (const service of services.values()) {
      const subset = subsetOf(service)
      if (subset.some(({ name }) => name === vm)) for (const { name } of subset) names.add(name)
    }
    names.delete(vm)
    return [...names]
  }
  return {
    of: name => {
      applyConfiguration()
      const service = services.get(name)
      return service === undefined ? [] : subsetOf(service)
    },
    peersOf: vm => {
      applyConfiguration()
      if (peers?.vm !== vm) peers = { vm, names: findPeers(vm) }
      return peers.names
    },
    refresh: members => {
      const present = members.filter(member => member.state !== 'gone').map(member => member.vm)
      const isSameList = present.length === vms.length && present.every((vm, i) => vm === vms[i])
      const change = isSameList ? NO_CHANGE : compareVMs(vms, present)
      vms = present
      if (change.removed.size === 0 && change.added.length === 0) return
      // A single VM of thousands affects few subsets, and computing all of them would block the event loop for seconds.
      for (const [name, { service, subset }] of cached) if (isAffected(service, subset, change)) cached.delete(name)
      peers = undefined
    }
  }
}
