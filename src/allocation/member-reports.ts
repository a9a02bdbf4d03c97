/** Latest report of each member, on the coordinator. */
import type { Peer } from '../model/index.js'
import { LEASE_MS } from './durations.js'
import type { EvidenceReport } from './messages.js'

/** Weight of the newest report in the moving average of the demand. */
const DEMAND_SMOOTHING = 0.3

/** A member according to its latest report. */
export interface ReportingMember extends Peer {
  readonly seq: number
  readonly receivedAt: number
  /** Highest epoch that the member knows. */
  readonly epoch: number
  /** Number of the adopted allocation of this coordinator; 0 without one. */
  readonly adopted: number
  /** Slots in use by target. */
  readonly inUse: ReadonlyMap<string, number>
  /** Slots in use plus queued requests, as a moving average. */
  readonly demand: number
}

/** Latest report by member. */
export interface MemberReports {
  /** Records a report. Returns undefined if it is not newer than the recorded one. */
  readonly record: (from: Peer, report: EvidenceReport, adopted: number, now: number) => ReportingMember | undefined
  readonly get: (vm: string) => ReportingMember | undefined
  /** Members whose report is recent enough to be answered with an allocation. */
  readonly live: (members: readonly string[], now: number) => readonly ReportingMember[]
}

/** Creates an empty collection of reports. */
export function createMemberReports (): MemberReports {
  const byMember = new Map<string, ReportingMember>()
  const isLive = (vm: string, now: number): boolean => now - (byMember.get(vm)?.receivedAt ?? -Infinity) < LEASE_MS
  return {
    record: (from, report, adopted, now) => {
      const previous = byMember.get(from.vm)
      const sameProcess = previous?.incarnation === from.incarnation ? previous : undefined
      if (sameProcess !== undefined && report.seq <= sameProcess.seq) return undefined
      const inUseByTarget = new Map(report.use.map(([target, inUse]) => [target, inUse]))
      const currentDemand = report.waiting + [...inUseByTarget.values()].reduce((sum, inUse) => sum + inUse, 0)
      const reporter: ReportingMember = {
        vm: from.vm,
        incarnation: from.incarnation,
        seq: report.seq,
        receivedAt: now,
        epoch: report.epoch,
        adopted,
        inUse: inUseByTarget,
        demand: sameProcess === undefined ? currentDemand : sameProcess.demand + DEMAND_SMOOTHING * (currentDemand - sameProcess.demand)
      }
      byMember.set(from.vm, reporter)
      return reporter
    },
    get: vm => byMember.get(vm),
    live: (members, now) => members.flatMap(vm => isLive(vm, now) ? byMember.get(vm) ?? [] : [])
  }
}
