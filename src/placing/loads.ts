/** Requests that run at each target, as far as this VM knows. */
import type { Loads } from './messages.js'

/** What another VM said is forgotten after this time: its requests have ended, or it is gone. */
const STALE_MS = 600

/** Counts of running requests by target. */
export interface TargetLoads {
  readonly begin: (target: string) => void
  readonly end: (target: string) => void
  readonly own: (target: string) => number
  /** Own requests and those that others told of. */
  readonly total: (target: string, now: number) => number
  /** Takes what another VM says. */
  readonly take: (vm: string, loads: Loads, now: number) => void
  /** Own requests as a message. */
  readonly pack: () => Loads
}

interface Told {
  readonly counts: ReadonlyMap<string, number>
  readonly at: number
}

/** Creates counts that start at 0. */
export function createLoads (): TargetLoads {
  const own = new Map<string, number>()
  const told = new Map<string, Told>()
  const change = (target: string, by: number): void => {
    const count = (own.get(target) ?? 0) + by
    if (count > 0) own.set(target, count)
    else own.delete(target)
  }
  return {
    begin: target => change(target, 1),
    end: target => change(target, -1),
    own: target => own.get(target) ?? 0,
    total: (target, now) => {
      let sum = own.get(target) ?? 0
      for (const { counts, at } of told.values()) if (now - at <= STALE_MS) sum += counts.get(target) ?? 0
      return sum
    },
    take: (vm, loads, now) => { told.set(vm, { counts: new Map(loads), at: now }) },
    pack: () => [...own]
  }
}
