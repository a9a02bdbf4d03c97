/** Receives allocations from the coordinator, and keeps the one that this member has adopted. */
import type { Ejection } from '../health/index.js'
import type { Peer } from '../model/index.js'
import { CLOCK_DRIFT_MARGIN_MS, LEASE_MS } from './durations.js'
import type { Allocation, EjectionRecord } from './messages.js'
import { isSamePeer } from './lease-grantor.js'

/** Time after the expiry of an allocation during which a new coordinator takes over its ejections, in ms. */
const EJECTION_TAKEOVER_MS = 10_000

/** An adopted allocation. All times are on this VM's clock. */
export interface AdoptedAllocation {
  readonly coordinator: Peer
  readonly epoch: number
  readonly number: number
  readonly validUntil: number
  /** Expiry of the coordinator's lease according to the allocation. The ejections end with it. */
  readonly ejectionsUntil: number
  readonly limits: ReadonlyMap<string, number>
  readonly ejections: readonly Ejection[]
}

/** Reason for which an allocation is not adopted. */
export type RejectionReason = 'other-incarnation' | 'older-epoch' | 'older-number' | 'expired' | 'unknown-content'

/** Adopts or rejects allocations. */
export interface AllocationReceiver {
  readonly current: (now: number) => AdoptedAllocation | undefined
  /** The latest allocation, until `EJECTION_TAKEOVER_MS` after its expiry. */
  readonly recent: (now: number) => AdoptedAllocation | undefined
  /** Records when a report was sent, which is when the lifetime of an allocation that answers it starts. */
  readonly recordReport: (seq: number, now: number) => void
  readonly receive: (from: Peer, received: Allocation, knownEpoch: number, now: number) => RejectionReason | undefined
  /** Drops the allocation, and rejects all that answer earlier reports. */
  readonly clear: () => void
}

/** Converts a received record to an ejection with times on this VM's clock. */
export function ejectionFromRecord (record: EjectionRecord, now: number): Ejection {
  const { target, phase, times, holdMs, prober } = record
  return {
    target,
    phase,
    since: now - record.ageMs,
    phaseSince: now - record.phaseAgeMs,
    times,
    holdMs,
    prober: prober === '' ? undefined : prober,
    proberSince: now,
    successes: 0,
    evidence: undefined
  }
}

/** Converts an ejection to a record with ages instead of times, to send it to other VMs. */
export function ejectionToRecord (ejection: Ejection, now: number): EjectionRecord {
  const { target, phase, times, holdMs, prober = '' } = ejection
  return { target, phase, times, holdMs, prober, ageMs: now - ejection.since, phaseAgeMs: now - ejection.phaseSince }
}

/**
 * Creates the receiver of a member that has adopted no allocation.
 *
 * The lifetime of an allocation starts when the report that it answers was sent. An allocation that
 * was delayed, or that a coordinator sent after a pause, is therefore never valid for longer than
 * the coordinator assumes.
 */
export function createAllocationReceiver (incarnation: string): AllocationReceiver {
  let adopted: AdoptedAllocation | undefined
  const sentAt = new Map<number, number>()

  const isOutdated = (from: Peer, received: Allocation): boolean => adopted !== undefined &&
    isSamePeer(adopted.coordinator, from) && received.number <= adopted.number
  const contentOf = (from: Peer, received: Allocation, now: number): Pick<AdoptedAllocation, 'limits' | 'ejections'> | undefined => {
    if (received.content !== undefined) {
      return {
        limits: new Map(received.content.limits),
        ejections: received.content.ejections.map(record => ejectionFromRecord(record, now))
      }
    }
    return isSamePeer(adopted?.coordinator, from) ? adopted : undefined
  }
  return {
    current: now => adopted !== undefined && now < adopted.validUntil ? adopted : undefined,
    recent: now => adopted !== undefined && now < adopted.validUntil + EJECTION_TAKEOVER_MS ? adopted : undefined,
    recordReport: (seq, now) => {
      sentAt.set(seq, now)
      for (const [old, at] of sentAt) if (now - at > LEASE_MS) sentAt.delete(old)
    },
    receive: (from, received, knownEpoch, now) => {
      if (received.to !== incarnation) return 'other-incarnation'
      if (received.epoch < knownEpoch) return 'older-epoch'
      if (isOutdated(from, received)) return 'older-number'
      const reportSentAt = sentAt.get(received.anchor)
      const validUntil = (reportSentAt ?? -Infinity) + LEASE_MS - CLOCK_DRIFT_MARGIN_MS
      if (now >= validUntil) return 'expired'
      const content = contentOf(from, received, now)
      if (content === undefined) return 'unknown-content'
      const { limits, ejections } = content
      const ejectionsUntil = Math.min(validUntil, validUntil - LEASE_MS + received.ejectionsForMs)
      adopted = { coordinator: from, epoch: received.epoch, number: received.number, validUntil, ejectionsUntil, limits, ejections }
      return undefined
    },
    clear: () => {
      adopted = undefined
      sentAt.clear()
    }
  }
}
