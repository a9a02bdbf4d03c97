/** The VMs that serve callers, in the view of one VM. */
import type { Catalog } from '../catalog/index.js'
import type { Roster } from '../roster/index.js'

/** Names of the VMs that serve callers. */
export interface ServingView {
  /** Of all zones, this VM included. */
  readonly all: (now: number) => readonly string[]
  /** Of the own zone, without this VM. */
  readonly neighbours: (now: number) => readonly string[]
  /** Of other zones, as far as they are linked. */
  readonly far: (now: number) => readonly string[]
}

/** Computed anew at most this often, in ms: each placed request asks for it. */
const VIEW_MS = 100

/** Creates the view of the VM with the name `self`. */
export function createServingView (roster: Roster, self: string): ServingView {
  let computedAt = -Infinity
  let near: readonly string[] = []
  let far: readonly string[] = []
  let all: readonly string[] = []
  const refresh = (now: number): void => {
    if (now - computedAt < VIEW_MS) return
    computedAt = now
    near = roster.serving(now).map(({ name }) => name)
    far = roster.servingInOtherZones(now).map(({ name }) => name)
    all = [...new Set([self, ...near, ...far])]
  }
  return {
    all: now => {
      refresh(now)
      return all
    },
    neighbours: now => {
      refresh(now)
      return near.filter(name => name !== self)
    },
    far: now => {
      refresh(now)
      return far
    }
  }
}

/** VMs that callers still use after they left the answers hold connections as well. */
const FORMER_VMS_FACTOR = 2
/** With less, one slow request would keep all others of the VM from the target. */
const CONNECTIONS_MIN = 2

/** Connections that one VM may hold to one target, so that all serving VMs together stay within its limit. */
export function connectionShare (catalog: Catalog, service: string, vms: number): number {
  const limit = catalog.ruleset()?.pools.find(({ name }) => name === service)?.maxConnections ?? 1
  return Math.max(CONNECTIONS_MIN, Math.floor(limit / (FORMER_VMS_FACTOR * Math.max(1, vms))))
}
