/** Cached view of the VMs that serve callers, as seen by one VM. */
import type { Catalog } from '../catalog/index.js'
import type { ServingCount } from '../placing/index.js'
import type { Roster } from '../roster/index.js'

/** Names of the VMs that serve callers. */
export interface ServingView {
  /** In all zones, including this VM. The same array while the VMs do not change. */
  readonly all: (now: number) => readonly string[]
  /** In this VM's zone, or in all zones if no VM of the zone is ready; without this VM. */
  readonly local: (now: number) => readonly string[]
  /** In other zones, limited to VMs with an open link. */
  readonly remote: (now: number) => readonly string[]
  /** Whether this VM is one of them, and how many there are at least, with those that are selected and not ready yet. */
  readonly count: (now: number) => ServingCount
  /** Has the view computed anew when it is read next. */
  readonly invalidate: () => void
}

/** Minimum time between recomputations; the view is read for every request. */
const REFRESH_INTERVAL_MS = 100

/** Creates the view of the VM named `self`. */
export function createServingView (roster: Roster, self: string): ServingView {
  let computedAt = -Infinity
  let nearest: readonly string[] = []
  let remote: readonly string[] = []
  let all: readonly string[] = []
  let count: ServingCount = { isServing: false, vms: 1 }
  const refresh = (now: number): void => {
    if (now - computedAt < REFRESH_INTERVAL_MS) return
    computedAt = now
    nearest = roster.serving(now).map(({ name }) => name)
    remote = roster.servingInOtherZones(now).map(({ name }) => name)
    const names = [...new Set([self, ...nearest, ...remote])]
    if (names.join() !== all.join()) all = names
    const zones = new Set(roster.known().map(({ place }) => place)).size
    const perZone = Math.max(nearest.length, roster.selectedCount())
    // Other zones count as large as this VM's, whether or not this VM has links to them.
    count = { isServing: nearest.includes(self), vms: Math.max(all.length, perZone * zones) }
  }
  return {
    all: now => {
      refresh(now)
      return all
    },
    local: now => {
      refresh(now)
      return nearest.filter(name => name !== self)
    },
    remote: now => {
      refresh(now)
      return remote
    },
    count: now => {
      refresh(now)
      return count
    },
    invalidate: () => { computedAt = -Infinity }
  }
}

/** Headroom for VMs that are no longer in the address lists but that callers still use; they hold connections too. */
const FORMER_VM_HEADROOM = 2
/** With a single connection, one slow request would block all other requests of this VM to the target. */
const MIN_CONNECTIONS = 2

/** Connections that one VM may open to one target, so that all serving VMs together stay within the target's limit. */
export function connectionLimitPerVM (catalog: Catalog, service: string, vmCount: number): number {
  const limit = catalog.ruleset()?.pools.find(({ name }) => name === service)?.maxConnections ?? 1
  return Math.max(MIN_CONNECTIONS, Math.floor(limit / (FORMER_VM_HEADROOM * Math.max(1, vmCount))))
}
