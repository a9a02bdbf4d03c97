/** Sums up a trial: a table for people and one JSON object for programs. */
import { formatTable } from '../src/cli/format.js'
import { findViolations, type Report } from '../stand-ins/caller/index.js'
import type { Tally } from '../stand-ins/target/index.js'
import type { Findings } from './observer.js'

/** What the trial measured. */
export interface Measured {
  readonly reports: Readonly<Record<string, Report>>
  readonly tallies: readonly Tally[]
  readonly findings: Findings
  /** The target that was made sick. */
  readonly sickTarget: string
  readonly detectionMs: number | undefined
  readonly noteInForceMs: number | undefined
  readonly newWorkAfterLeavingMs: number
}

/** Last line of a trial. */
export interface Summary {
  readonly answered: number
  readonly refused: number
  /** Error answers of targets, which the fleet passes on. */
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

/** Adds the reports of all loads up. */
export function summarize (measured: Measured): Summary {
  const reports = Object.values(measured.reports)
  const total = (count: (report: Report) => number): number => reports.reduce((all, report) => all + count(report), 0)
  const verdicts = reports.map(report => findViolations(report, measured.tallies))
  const falseEjections = [...measured.findings.ejected].filter(target => target !== measured.sickTarget)
  return {
    answered: total(report => report.answered),
    refused: total(report => sum(report.refused)),
    failed: total(report => sum(report.failed)),
    lost: total(report => sum(report.lost)),
    wrongAnswers: total(report => report.wrong.length) + verdicts.reduce((all, verdict) => all + verdict.answeredWithoutRun.length, 0),
    doubleRuns: verdicts.reduce((all, verdict) => all + verdict.doubleRuns.length, 0),
    untruthfulRefusals: verdicts.reduce((all, verdict) => all + verdict.untruthfulRefusals.length, 0),
    floorBreaches: measured.findings.floorBreaches,
    detectionMs: measured.detectionMs ?? null,
    falseEjections: falseEjections.length,
    noteInForceMs: measured.noteInForceMs ?? null,
    newWorkAfterLeavingMs: Math.round(measured.newWorkAfterLeavingMs)
  }
}

/** A table of the loads, one row for each service. */
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
