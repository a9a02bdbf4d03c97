/**
 * The platform's list of VMs, which lags.
 *
 * Two VMs poll it every second. Each other VM reads it at an interval that is
 * proportional to the number of VMs, so the platform serves a constant rate of
 * reads. Every VM forwards changes. Messages contain the age of the list instead
 * of times, and a list that was read later replaces one that was read earlier.
 */
import { Effect } from 'effect'
import type { Log } from '../log/index.js'
import type { Clock, ListedVM, Platform } from '../model/index.js'
import { packVM, unpackVM } from '../peer/index.js'
import type { PackedVMList } from './messages.js'
import { isRankedWithin } from './rank.js'

/**
 * Interval between the reads of a poller. A target that the list shows as leaving must get no requests
 * after 3 s, which leaves time for a slow read, forwarding over the links and one refresh.
 */
const POLLER_READ_INTERVAL_MS = 1000

/** Number of VMs that poll the list: two, so that one may fail. */
const POLLER_COUNT = 2

/** Key of the ranking that selects the pollers. */
const POLLER_RANK_KEY = 'vm-list'

/**
 * Time for which a VM that was listed as leaving still counts as leaving after a later list shows it as
 * live or not at all. The later read can come from a replica of the platform that lags further.
 */
const LEAVING_RETENTION_MS = 10_000

/** Average time between the reads of all other VMs together. */
const FLEET_READ_INTERVAL_MS = 2500

/** Minimum interval between the reads of a VM that is not a poller, also after a failure. */
const MIN_READ_INTERVAL_MS = 2500

/** The newest list known to this VM. */
export interface VMList {
  /** When the list was read, on this VM's clock; -Infinity without a list. */
  readonly readAt: () => number
  /** The newest list; empty before the first one. */
  readonly current: () => readonly ListedVM[]
  /** IP addresses of the VMs that a list showed as leaving in the last 10 s. */
  readonly leavingAddresses: (now: number) => ReadonlySet<string>
  /**
   * Starts a read if one is due.
   *
   * @param liveNames returns the names of the live VMs, `self` included; called once a second
   */
  readonly poll: (vmCount: number, liveNames: () => Iterable<string>, now: number) => void
  /** Applies a list from a peer; true if it differs and has to be forwarded. */
  readonly receive: (body: PackedVMList, now: number) => boolean
  /** The list as a message; undefined without a list. */
  readonly pack: (now: number) => PackedVMList | undefined
}

/** Dependencies of the list. */
export interface VMListOptions {
  /** Name of this VM. */
  readonly self: string
  readonly listVMs: Platform['listVMs']
  /** Called with each newer list. `isChanged`: it differs from the previous one. */
  readonly updated: (vms: readonly ListedVM[], isChanged: boolean, now: number) => void
  readonly clock: Clock
  readonly random: () => number
  readonly log: Log
}

function isSame (one: ListedVM, other: ListedVM | undefined): boolean {
  return one.state === other?.state && packVM(one.vm).every((value, i) => value === packVM(other.vm)[i])
}

/** Returns a text of the list that does not depend on its order. */
function canonicalText (vms: readonly ListedVM[]): string {
  return JSON.stringify(vms.map(({ vm, state }) => JSON.stringify([packVM(vm), state])).sort())
}

/** Creates an empty list, which is read on the first poll. */
export function createVMList (options: VMListOptions): VMList {
  let current: readonly ListedVM[] = []
  let currentText: string | undefined
  let readAt = -Infinity
  let nextReadAt = -Infinity
  let startedAt = -Infinity
  let rankCheckedAt = -Infinity
  let isReading = false
  /** Addresses that the current list shows as leaving. */
  let leavingAddresses: readonly string[] = []
  /** When each address was last shown as leaving. */
  const leavingAt = new Map<string, number>()

  const recordLeaving = (now: number): void => {
    for (const address of leavingAddresses) leavingAt.set(address, now)
  }

  const replace = (vms: readonly ListedVM[], at: number, now: number): boolean => {
    if (at <= readAt) return false
    recordLeaving(now)
    readAt = at
    const isIdentical = currentText !== undefined && vms.length === current.length && vms.every((listed, i) => isSame(listed, current[i]))
    const text = isIdentical ? currentText : canonicalText(vms)
    const isChanged = text !== currentText
    current = vms
    currentText = text
    leavingAddresses = vms.flatMap(({ vm, state }) => state === 'leaving' ? [vm.callers.address, vm.peers.address] : [])
    recordLeaving(now)
    options.updated(vms, isChanged, now)
    return isChanged
  }
  const isPollerReadDue = (liveNames: () => Iterable<string>, now: number): boolean => {
    if (now - Math.max(startedAt, rankCheckedAt) < POLLER_READ_INTERVAL_MS) return false
    rankCheckedAt = now
    return isRankedWithin(POLLER_RANK_KEY, options.self, POLLER_COUNT, liveNames())
  }
  const read = (startedAt: number): Effect.Effect<void> => options.listVMs().pipe(
    Effect.match({
      onSuccess: vms => { replace(vms, startedAt, options.clock()) },
      onFailure: failure => options.log.info('vm-list.unavailable', { detail: failure.detail })
    }),
    Effect.catchDefect(defect => Effect.sync(() => options.log.error('vm-list.failed', { detail: String(defect) }))),
    Effect.ensuring(Effect.sync(() => { isReading = false }))
  )

  return {
    readAt: () => readAt,
    current: () => current,
    leavingAddresses: now => {
      recordLeaving(now)
      for (const [address, at] of leavingAt) if (now - at > LEAVING_RETENTION_MS) leavingAt.delete(address)
      return new Set(leavingAt.keys())
    },
    poll: (vmCount, liveNames, now) => {
      if (isReading || (now < nextReadAt && !isPollerReadDue(liveNames, now))) return
      const interval = Math.max(MIN_READ_INTERVAL_MS, vmCount * FLEET_READ_INTERVAL_MS)
      // Before the first list, the interval does not depend on the number of VMs.
      const base = currentText === undefined ? MIN_READ_INTERVAL_MS : interval
      nextReadAt = now + base * (0.5 + options.random())
      startedAt = now
      isReading = true
      Effect.runFork(read(now))
    },
    receive: ([ageMs, vms], now) => replace(
      vms.map(([vm, isLeaving]) => ({ vm: unpackVM(vm), state: isLeaving === 1 ? 'leaving' as const : 'live' as const })),
      now - ageMs, now
    ),
    pack: now => currentText === undefined
      ? undefined
      : [Math.ceil(Math.max(0, now - readAt)), current.map(({ vm, state }) => [packVM(vm), state === 'leaving' ? 1 : 0])]
  }
}
