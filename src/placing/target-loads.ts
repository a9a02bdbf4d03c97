/** Requests in flight at each target, from this VM and from the load reports of other VMs. */
import { SUCCESS_AGE_LIMIT_MS, type LoadReport } from './messages.js'

/** Age at which a load report is ignored, in ms: its requests have ended, or its sender is gone. */
const REPORT_TTL_MS = 600

/** Requests in flight and last successes by target. */
export interface TargetLoads {
  readonly begin: (target: string) => void
  readonly end: (target: string) => void
  readonly own: (target: string) => number
  /** Requests of this VM and those that other VMs reported. */
  readonly total: (target: string, now: number) => number
  /** Records a success of a request of this VM. */
  readonly recordSuccess: (target: string, now: number) => void
  /** When a request of any VM last succeeded; -Infinity if none did. */
  readonly lastSuccessAt: (target: string) => number
  /** When a request of this VM last succeeded, which shows that its path to the target works; -Infinity if none did. */
  readonly lastOwnSuccessAt: (target: string) => number
  /** Replaces the previous load report of another VM. */
  readonly applyReport: (vm: string, report: LoadReport, now: number) => void
  /** Creates a load report with the requests and recent successes of this VM. */
  readonly createReport: (now: number) => LoadReport
  /** Creates a shorter load report without successes. */
  readonly createCountReport: () => LoadReport
  readonly retain: (isKnown: (target: string) => boolean) => void
}

interface PeerReport {
  readonly counts: ReadonlyMap<string, number>
  readonly at: number
}

/** Marks a missing success in a load report. */
const NO_SUCCESS_MS = SUCCESS_AGE_LIMIT_MS + 1

/** Creates the loads of targets without requests. */
export function createTargetLoads (): TargetLoads {
  const own = new Map<string, number>()
  /** Sums of the reports that have not expired. */
  const reported = new Map<string, number>()
  let expiredAt = -Infinity
  const peerReports = new Map<string, PeerReport>()
  const ownSuccessAt = new Map<string, number>()
  const successAt = new Map<string, number>()
  const change = (loads: Map<string, number>, target: string, by: number): void => {
    const count = (loads.get(target) ?? 0) + by
    if (count > 0) loads.set(target, count)
    else loads.delete(target)
  }
  const removeReport = (vm: string): void => {
    for (const [target, count] of peerReports.get(vm)?.counts ?? []) change(reported, target, -count)
    peerReports.delete(vm)
  }
  const expireReports = (now: number): void => {
    if (now === expiredAt) return
    expiredAt = now
    for (const [vm, { at }] of peerReports) if (now - at > REPORT_TTL_MS) removeReport(vm)
  }
  return {
    begin: target => change(own, target, 1),
    end: target => change(own, target, -1),
    own: target => own.get(target) ?? 0,
    total: (target, now) => {
      expireReports(now)
      return (own.get(target) ?? 0) + (reported.get(target) ?? 0)
    },
    recordSuccess: (target, now) => {
      ownSuccessAt.set(target, now)
      successAt.set(target, now)
    },
    lastSuccessAt: target => successAt.get(target) ?? -Infinity,
    lastOwnSuccessAt: target => ownSuccessAt.get(target) ?? -Infinity,
    applyReport: (vm, report, now) => {
      removeReport(vm)
      const counts = new Map(report.map(([target, count]) => [target, count]))
      for (const [target, count] of counts) change(reported, target, count)
      peerReports.set(vm, { counts, at: now })
      for (const [target, , agoMs] of report) {
        if (agoMs <= SUCCESS_AGE_LIMIT_MS) successAt.set(target, Math.max(successAt.get(target) ?? -Infinity, now - agoMs))
      }
    },
    createReport: now => {
      const recent = [...ownSuccessAt].filter(([, at]) => now - at <= SUCCESS_AGE_LIMIT_MS).map(([target]) => target)
      return [...new Set([...own.keys(), ...recent])].map(target =>
        [target, own.get(target) ?? 0, Math.min(NO_SUCCESS_MS, Math.round(now - (ownSuccessAt.get(target) ?? -Infinity)))] as const)
    },
    createCountReport: () => [...own].map(([target, count]) => [target, count, NO_SUCCESS_MS] as const),
    retain: isKnown => { for (const known of [ownSuccessAt, successAt]) for (const target of known.keys()) if (!isKnown(target)) known.delete(target) }
  }
}
