/** Limits the decisions of a new coordinator while allocations of its predecessor may be in effect. */
import type { Peer } from '../model/index.js'
import { IN_FLIGHT_GRACE_MS, KEEPALIVE_INTERVAL_MS, LEASE_MS } from './durations.js'

/** Term of a coordinator. */
export interface Term {
  /** When the coordinator first requested the lease. */
  readonly requestedAt: number
  /** When the coordinator obtained the lease. */
  readonly startedAt: number
  /** When the leases of earlier coordinators expire, regardless of their release. */
  readonly previousLeaseExpiresAt: () => number
  /** Whether the VM has granted this lease. */
  readonly isGrantor: (vm: string) => boolean
  /** When the lease expires unless it is renewed. */
  readonly leaseExpiresAt: () => number
  /** Current epoch of the lease. */
  readonly epoch: () => number
  /** Returns the number of the next allocation, above those of earlier terms of this process. */
  readonly nextAllocationNumber: () => number
}

/** Progress of a takeover from the predecessor. */
export interface Takeover {
  /** Records that a member reported to this coordinator and knows its epoch. */
  readonly recordReport: (from: Peer) => void
  /**
   * Whether the slots of a member's expired allocation are still reserved for the member.
   *
   * Every coordinator reserves the slots of a lost member for 2 s after its allocation expired.
   * The member reported after this coordinator had requested the lease. This bounds the time of
   * the expiry without a comparison of clocks.
   *
   * @param expiredForMs time from the expiry to the report, in ms on the member's clock
   */
  readonly isExpiredAllocationReserved: (expiredForMs: number, now: number) => boolean
  /** Whether the coordinator may eject further targets. */
  readonly isEjectionAllowed: (now: number) => boolean
  /** Whether the coordinator may assign free slots. */
  readonly isAssignmentAllowed: (now: number) => boolean
}

/**
 * Starts the takeover by a new coordinator.
 *
 * A member that knows the new epoch adopts no further allocation of the predecessor, so its report
 * is final. After a report of every member, the new coordinator knows all slots and ejections in
 * effect. If reports are missing, it waits until the allocations of the predecessor have expired.
 * The ejections of the predecessor end with its lease, so new ejections wait only for the reports
 * of the grantors. Its slots remain valid for 2 s more, and their requests run for up to another 2 s.
 *
 * @example
 * const takeover = createTakeover(term, members)
 * takeover.isEjectionAllowed(term.startedAt) // false
 */
export function createTakeover (
  { requestedAt, startedAt, previousLeaseExpiresAt, isGrantor }: Pick<Term, 'requestedAt' | 'startedAt' | 'previousLeaseExpiresAt' | 'isGrantor'>,
  members: () => readonly string[]
): Takeover {
  const reportedMembers = new Set<string>()
  let wasComplete = false
  const haveAllReported = (): boolean => {
    wasComplete ||= members().every(vm => reportedMembers.has(vm))
    return wasComplete
  }
  /** A grantor reports immediately, and again within 500 ms if that report is lost. */
  const haveGrantorsReported = (now: number): boolean =>
    now >= startedAt + KEEPALIVE_INTERVAL_MS || members().every(vm => reportedMembers.has(vm) || !isGrantor(vm))
  const isAssignmentAllowed = (now: number): boolean => haveAllReported() || now >= startedAt + LEASE_MS + IN_FLIGHT_GRACE_MS
  return {
    isExpiredAllocationReserved: (expiredForMs, now) => !isAssignmentAllowed(now) && expiredForMs <= IN_FLIGHT_GRACE_MS - (startedAt - requestedAt),
    recordReport: from => { reportedMembers.add(from.vm) },
    isEjectionAllowed: now => haveAllReported() || (now >= previousLeaseExpiresAt() && haveGrantorsReported(now)),
    isAssignmentAllowed
  }
}
