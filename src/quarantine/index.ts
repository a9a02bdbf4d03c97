/** Quarantine of requests that crash every target that runs them, shared between all VMs. */
export { createQuarantine, type Quarantine, type QuarantineOptions } from './quarantine.js'
export { quarantineChannel, quarantineReportChannel, type QuarantineBody, type QuarantineEntry, type ReportBody } from './messages.js'
