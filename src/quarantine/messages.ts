import { err, ok, type Result as Outcome } from 'neverthrow'
import type { Channel } from '../model/index.js'

/** Time for which a request stays quarantined. */
export const QUARANTINE_MS = 600_000

/** Maximum size of the quarantine table. It bounds memory and the size of a message, which is then about 100 KB. */
export const MAX_QUARANTINED = 1024

/** Maximum age of a reported result. Times are sent as durations because the clocks of the VMs are not synchronised. */
const MAX_AGO_MS = 60_000
const MAX_NAME_LENGTH = 256
const FINGERPRINT = /^[0-9a-f]{8,64}$/

/** One quarantined request. */
export interface QuarantineEntry {
  readonly fingerprint: string
  readonly remainingMs: number
}

/** Entries that are new to the sender, or its whole table when sent on a new link. */
export interface QuarantineBody {
  readonly entries: readonly QuarantineEntry[]
}

/** The result of an attempt, as one VM observed it, of a request that may crash targets. */
export interface ReportBody {
  readonly service: string
  readonly fingerprint: string
  readonly target: string
  /** `answered` clears all losses of the request. */
  readonly result: 'reset' | 'silent' | 'answered'
  readonly latencyMs: number
  /** Time since the result, in ms. */
  readonly agoMs: number
}

type Fields = Readonly<Record<string, unknown>>

const isObject = (value: unknown): value is Fields => typeof value === 'object' && value !== null && !Array.isArray(value)
const isDuration = (value: unknown, maximumMs: number): value is number =>
  typeof value === 'number' && value >= 0 && value <= maximumMs
const isName = (value: unknown): value is string => typeof value === 'string' && value.length > 0 && value.length <= MAX_NAME_LENGTH
const isFingerprint = (value: unknown): value is string => typeof value === 'string' && FINGERPRINT.test(value)
const isLossResult = (value: unknown): value is ReportBody['result'] => value === 'reset' || value === 'silent' || value === 'answered'

function isEntry (value: unknown): value is QuarantineEntry {
  return isObject(value) && isFingerprint(value['fingerprint']) && isDuration(value['remainingMs'], QUARANTINE_MS)
}

function parseQuarantine (value: unknown): Outcome<QuarantineBody, string> {
  const entries = isObject(value) ? value['entries'] : undefined
  if (!Array.isArray(entries) || entries.length > MAX_QUARANTINED) return err(`entries is not an array of at most ${MAX_QUARANTINED} elements`)
  if (!entries.every(isEntry)) return err('an entry has an invalid fingerprint or remainingMs')
  return ok({ entries: entries.map(({ fingerprint, remainingMs }) => ({ fingerprint, remainingMs })) })
}

function parseReport (value: unknown): Outcome<ReportBody, string> {
  if (!isObject(value)) return err('the report is not an object')
  const { service, fingerprint, target, result, latencyMs, agoMs } = value
  if (!isName(service) || !isName(target)) return err('service or target is not a valid name')
  if (!isFingerprint(fingerprint)) return err('fingerprint is not a string of 8 to 64 hexadecimal digits')
  if (!isLossResult(result)) return err('result is not one of reset, silent, answered')
  if (!isDuration(latencyMs, Number.MAX_SAFE_INTEGER) || !isDuration(agoMs, MAX_AGO_MS)) return err('latencyMs or agoMs is not a valid duration')
  return ok({ service, fingerprint, target, result, latencyMs, agoMs })
}

/** Sent on all links when a VM learns of new entries, and on each new link. A VM forwards each entry once. */
export const quarantineChannel: Channel<QuarantineBody> = { kind: 'quarantine', parse: parseQuarantine }

/** Sent to the VMs that serve the same service when a request is lost, or when a request that was lost before is answered. */
export const quarantineReportChannel: Channel<ReportBody> = { kind: 'quarantineReport', parse: parseReport }
