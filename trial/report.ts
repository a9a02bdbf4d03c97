/** Summary of a trial: a table for people and a JSON object for programs. */
import { formatTable } from '../src/cli/format.js'
import { findViolations, type Report } from '../stand-ins/caller/index.js'
import type { Tally } from '../stand-ins/target/index.js'
import type { Findings } from './observer.js'

/** Measurements of a trial. */
export interface Measurements {
  readonly reports: Readonly<Record<string, Report>>
  readonly tallies: readonly Tally[]
  readonly findings: Findings
  /** The target with the injected fault. */
  readonly sickTarget: string
  readonly detectionMs: number | undefined
  readonly noteInForceMs: number | undefined
  readonly newWorkAfterLeavingMs: number
}

/** The last line of a trial. The names of its fields are part of the output format. */
export interface Summary {
  readonly answered: number
  readonly refused: number
  /** Error responses of targets, which the fleet forwards. */
  readonly failed: number
  readonly lost: number
  readonly wrongAnswers: number
  readonly doubleRuns: number
  readonly untruthfulRefusals: number
  readonly floorBreaches: number
  readonly detectionMs: number | null
  readonly falseEjections: number
  readonly noteInForceMs: number | null
  readonly newWorkAfterLeavingMs: number
}

const US_PER_MS = 1000

function sum (counts: Readonly<Record<string, number>>): number {
  return Object.values(counts).reduce((total, count) => total + count, 0)
}

/** Aggregates the reports of all loads. */
export function summarize (measured: Measurements): Summary {
  const reports = Object.values(measured.reports)
  const total = (count: (report: Report) => number): number => reports.reduce((all, report) => all + count(report), 0)
  const violationsPerReport = reports.map(report => findViolations(report, measured.tallies))
  const falseEjections = [...measured.findings.ejected].filter(target => target !== measured.sickTarget)
  return {
    answered: total(report => report.answered),
    refused: total(report => sum(report.refused)),
    failed: total(report => sum(report.failed)),
    lost: total(report => sum(report.lost)),
    wrongAnswers: total(report => report.wrong.length) + violationsPerReport.reduce((all, violations) => all + violations.answeredWithoutRun.length, 0),
    doubleRuns: violationsPerReport.reduce((all, violations) => all + violations.doubleRuns.length, 0),
    untruthfulRefusals: violationsPerReport.reduce((all, violations) => all + violations.untruthfulRefusals.length, 0),
    floorBreaches: measured.findings.floorBreaches,
    detectionMs: measured.detectionMs ?? null,
    falseEjections: falseEjections.length,
    noteInForceMs: measured.noteInForceMs ?? null,
    newWorkAfterLeavingMs: Math.round(measured.newWorkAfterLeavingMs)
  }
}

/** Formats a table of the loads with one row per service. */
export function formatLoads (reports: Readonly<Record<string, Report>>): string {
  return formatTable(Object.entries(reports).map(([service, report]) => ({
    service,
    sent: report.sent,
    answered: report.answered,
    refused: Object.entries(report.refused).map(([kind, count]) => `${kind}: ${count}`).join(', ') || '0',
    failed: sum(report.failed),
    lost: sum(report.lost),
    wrong: report.wrong.length,
    attempts: report.attempts,
    'p50 ms': (report.latencyUs.p50 / US_PER_MS).toFixed(1),
    'p99 ms': (report.latencyUs.p99 / US_PER_MS).toFixed(1)
  })))
}
