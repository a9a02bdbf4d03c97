/** Drains targets whose machine is leaving according to the platform's VM list. */
import type { Configuration } from '../model/index.js'

/** Interval at which the drain of a target is renewed; much shorter than the 10 min after which a drain expires. */
const RENEWAL_INTERVAL_MS = 60_000

/** A target of a service. */
export interface ServiceTarget {
  readonly service: string
  readonly target: string
}

/** Index of the configured targets by IP address. */
export interface TargetIndex {
  /** All addresses. Returns the same set object until an address changes. */
  readonly addresses: () => ReadonlySet<string>
  readonly targetsAt: (address: string) => readonly ServiceTarget[]
}

/** Records drains of targets on leaving machines. */
export interface DrainRecorder {
  /** Drains the targets at the leaving addresses. Call it at short intervals; the drain of a target is recorded once a minute. */
  readonly update: (leaving: ReadonlySet<string>, now: number) => void
}

/** Creates an index of the current configuration. It is rebuilt on access after the services changed. */
export function createTargetIndex (configuration: () => Configuration): TargetIndex {
  let services: Configuration['services'] | undefined
  let index: ReadonlyMap<string, readonly ServiceTarget[]> = new Map()
  let addresses: ReadonlySet<string> = new Set()
  const refresh = (): void => {
    const current = configuration().services
    // A note that changes only routes keeps the array of services.
    if (current === services) return
    services = current
    const next = new Map<string, ServiceTarget[]>()
    for (const { name, targets } of current) {
      for (const { id, address } of targets) {
        const sameAddress = next.get(address)
        if (sameAddress === undefined) next.set(address, [{ service: name, target: id }])
        else sameAddress.push({ service: name, target: id })
      }
    }
    index = next
    if (next.size !== addresses.size || [...next.keys()].some(address => !addresses.has(address))) addresses = new Set(next.keys())
  }
  return {
    addresses: () => {
      refresh()
      return addresses
    },
    targetsAt: address => {
      refresh()
      return index.get(address) ?? []
    }
  }
}

/**
 * Creates the drain recorder. Only machines that are listed as leaving are drained, not machines that are
 * missing from the list: the list need not contain targets, and a stale read does not contain a new machine.
 *
 * @param drain records the drain of a target; returns false when this VM does not serve the service
 */
export function createDrainRecorder (index: TargetIndex, drain: (service: string, target: string, now: number) => boolean): DrainRecorder {
  const recordedAt = new Map<string, number>()
  return {
    update: (leaving, now) => {
      const leavingKeys = new Set<string>()
      for (const address of leaving) {
        for (const { service, target } of index.targetsAt(address)) {
          const key = `${service}\n${target}\n${address}`
          leavingKeys.add(key)
          const isRecorded = now - (recordedAt.get(key) ?? -Infinity) < RENEWAL_INTERVAL_MS
          if (!isRecorded && drain(service, target, now)) recordedAt.set(key, now)
        }
      }
      for (const key of recordedAt.keys()) if (!leavingKeys.has(key)) recordedAt.delete(key)
    }
  }
}
