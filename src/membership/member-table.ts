/** Table of the other VMs of the fleet: incarnation, state on the platform's list and last contact. */
import type { ListedVM, MemberState, VM } from '../model/index.js'

/** Time for which a VM counts as in contact after it was last known to be alive. */
export const CONTACT_TIMEOUT_MS = 3000

/** Additional time without contact after which a suspect VM is gone. */
export const SUSPECT_TIMEOUT_MS = 30_000

/** Time without contact after which a gone VM that the platform does not list is evicted. */
export const EVICTION_DELAY_MS = 600_000

/** A VM of the fleet other than this one. */
export interface Entry {
  readonly vm: VM
  readonly incarnation: string | undefined
  /** Whether the VM announced that it is leaving. */
  readonly isLeaving: boolean
  /** State on the platform's list; undefined if the list does not contain the VM. */
  readonly listedState: ListedVM['state'] | undefined
  /** Whether the VM has disappeared from the platform's list. */
  readonly wasListed: boolean
  /** When this VM first learned of the incarnation. */
  readonly firstSeenAt: number
  /** Latest time, on this VM's clock, at which the VM was certainly alive; -Infinity if never. */
  readonly lastAliveAt: number
  readonly isEstablished: boolean
}

/** Entries by VM name. */
export interface MemberTable {
  readonly get: (name: string) => Entry | undefined
  readonly entries: () => Iterable<Entry>
  readonly count: () => number
  /** Increases with each change that must be sent to peers. */
  readonly version: () => number
  /** Merges a VM and its incarnation, as reported by a peer or the VM itself. Ignores older incarnations. */
  readonly merge: (vm: VM, incarnation: string | undefined, isLeaving: boolean, now: number) => void
  /** Records that an incarnation was alive at a time. */
  readonly recordAlive: (name: string, incarnation: string, at: number, isEstablished: boolean) => void
  /** Marks an incarnation as leaving. Returns true if this is a change. */
  readonly markLeaving: (name: string, incarnation: string) => boolean
  /** Applies the platform's list. */
  readonly applyList: (vms: readonly ListedVM[], now: number) => void
  /** Evicts VMs that have been gone for long and no longer count in the size of the fleet. */
  readonly evict: (now: number, listReadAt: number) => void
}

/** Whether an incarnation replaces the known one. */
function isNewer (incarnation: string | undefined, known: string | undefined): boolean {
  return incarnation !== undefined && (known === undefined || incarnation > known)
}

/** Whether the VM was alive within the contact timeout. */
export function isInContact (entry: Entry, now: number): boolean {
  return now - entry.lastAliveAt <= CONTACT_TIMEOUT_MS
}

/**
 * Returns the state of a VM.
 *
 * For a VM that was never in contact, the contact timeout starts when it becomes
 * known, so that a VM that starts does not suspect all others.
 */
export function stateOf (entry: Entry, now: number): MemberState {
  const silenceMs = now - Math.max(entry.lastAliveAt, entry.firstSeenAt)
  const isContactLost = silenceMs > CONTACT_TIMEOUT_MS
  if (isContactLost && (entry.isLeaving || entry.wasListed)) return 'gone'
  if (silenceMs > CONTACT_TIMEOUT_MS + SUSPECT_TIMEOUT_MS) return 'gone'
  if (entry.isLeaving || entry.listedState === 'leaving') return 'leaving'
  return isContactLost ? 'suspect' : 'live'
}

/**
 * Whether the VM counts in the size of the fleet, of which a majority is needed.
 * Loss of contact alone does not remove a VM: otherwise each side of a long
 * partition would become a majority of its own.
 *
 * @param listReadAt when the platform's list was read; -Infinity if never
 */
export function isFleetMember (entry: Entry, now: number, listReadAt: number): boolean {
  if (entry.listedState !== undefined) return true
  if (stateOf(entry, now) !== 'gone') return true
  if (entry.isLeaving || entry.wasListed) return false
  // The list lags, so it proves that the VM is gone only if it was read after the suspect timeout.
  return listReadAt < Math.max(entry.lastAliveAt, entry.firstSeenAt) + CONTACT_TIMEOUT_MS + SUSPECT_TIMEOUT_MS
}

/** Creates an empty table. */
export function createMemberTable (self: string): MemberTable {
  const entries = new Map<string, Entry>()
  let version = 0

  const createEntry = (vm: VM, now: number): Entry => ({
    vm,
    incarnation: undefined,
    isLeaving: false,
    listedState: undefined,
    wasListed: false,
    firstSeenAt: now,
    lastAliveAt: -Infinity,
    isEstablished: false
  })
  const put = (entry: Entry): void => { entries.set(entry.vm.name, entry) }

  const applyListedVM = (vm: VM, state: ListedVM['state'], now: number): void => {
    const known = entries.get(vm.name)
    if (known === undefined) version++
    const entry = known ?? createEntry(vm, now)
    // The list may be older than what the VM itself reported, so its addresses are used only without contact.
    put({ ...entry, vm: isInContact(entry, now) ? entry.vm : vm, listedState: state, wasListed: false })
  }

  return {
    get: name => entries.get(name),
    entries: () => entries.values(),
    count: () => entries.size,
    version: () => version,
    merge: (vm, incarnation, isLeaving, now) => {
      if (vm.name === self) return
      const known = entries.get(vm.name)
      if (known !== undefined && !isNewer(incarnation, known.incarnation)) {
        if (isLeaving && !known.isLeaving && incarnation === known.incarnation) {
          version++
          put({ ...known, isLeaving })
        }
        return
      }
      version++
      const { listedState, wasListed } = known ?? createEntry(vm, now)
      // A new incarnation does not inherit the contact of the previous one.
      put({ ...createEntry(vm, now), incarnation, isLeaving, listedState, wasListed })
    },
    recordAlive: (name, incarnation, at, isEstablished) => {
      const known = entries.get(name)
      if (known === undefined || known.incarnation !== incarnation) return
      if (at <= known.lastAliveAt && (known.isEstablished || !isEstablished)) return
      put({ ...known, lastAliveAt: Math.max(at, known.lastAliveAt), isEstablished: known.isEstablished || isEstablished })
    },
    markLeaving: (name, incarnation) => {
      const known = entries.get(name)
      if (known === undefined || known.incarnation !== incarnation || known.isLeaving) return false
      version++
      put({ ...known, isLeaving: true })
      return true
    },
    applyList: (vms, now) => {
      const names = new Set(vms.map(({ vm }) => vm.name))
      for (const { vm, state } of vms) if (vm.name !== self) applyListedVM(vm, state, now)
      for (const entry of entries.values()) {
        if (entry.listedState !== undefined && !names.has(entry.vm.name)) put({ ...entry, listedState: undefined, wasListed: true })
      }
    },
    evict: (now, listReadAt) => {
      for (const entry of entries.values()) {
        const isExpired = now - Math.max(entry.lastAliveAt, entry.firstSeenAt) > EVICTION_DELAY_MS
        if (!isExpired || isFleetMember(entry, now, listReadAt)) continue
        entries.delete(entry.vm.name)
        version++
      }
    }
  }
}
