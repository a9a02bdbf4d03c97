/** Tells other VMs of the own load, no more often than it is of use to them. */
import type { Mesh } from '../model/index.js'
import { loadsChannel, type Loads } from './messages.js'

/** How often VMs are told, in ms. */
export interface SharingPace {
  /** Least time between two messages. */
  readonly changedMs: number
  /** Time after which an unchanged load is told again, before others forget it. */
  readonly unchangedMs: number
}

/** Creates a function that tells `vms` what `pack` returns, if it is time. */
export function createSharing (mesh: Mesh, { changedMs, unchangedMs }: SharingPace, pack: (now: number) => Loads): (vms: readonly string[], now: number) => void {
  let sentAt = -Infinity
  let sent = ''
  return (vms, now) => {
    if (now - sentAt < changedMs) return
    const counts = pack(now)
    const text = JSON.stringify(counts)
    const isUnchanged = text === sent
    if (isUnchanged && (counts.length === 0 || now - sentAt < unchangedMs)) return
    sentAt = now
    sent = text
    for (const vm of vms) mesh.send(vm, loadsChannel, counts)
  }
}
