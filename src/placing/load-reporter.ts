/** Sends this VM's load reports to other VMs at a limited rate. */
import type { Mesh } from '../model/index.js'
import { loadReportChannel, type LoadReport } from './messages.js'

/** Intervals between load reports, in ms. */
export interface ReportIntervals {
  /** Shortest time between two reports. */
  readonly minMs: number
  /** Time after which an unchanged load is reported again, before its last report expires at the peers. */
  readonly refreshMs: number
}

/** Number of receivers up to which the shortest interval applies; more receivers get reports less often, so that a VM's messages a second stay bounded. */
const RECEIVERS_AT_MIN_INTERVAL = 4

/** Creates a function that sends the report of `createReport` to `vms` when one is due. */
export function createLoadReporter (mesh: Mesh, { minMs, refreshMs }: ReportIntervals, createReport: (now: number) => LoadReport): (vms: readonly string[], now: number) => void {
  let sentAt = -Infinity
  let lastSent = ''
  return (vms, now) => {
    const intervalMs = Math.min(refreshMs, minMs * Math.max(1, vms.length / RECEIVERS_AT_MIN_INTERVAL))
    if (now - sentAt < intervalMs) return
    const report = createReport(now)
    const text = JSON.stringify(report)
    const isUnchanged = text === lastSent
    if (isUnchanged && (report.length === 0 || now - sentAt < refreshMs)) return
    sentAt = now
    lastSent = text
    for (const vm of vms) mesh.send(vm, loadReportChannel, report)
  }
}
