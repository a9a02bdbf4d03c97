/**
 * Determines why a request failed from the log lines of the fleet's VMs.
 *
 * The request's last line carries the kind of the error. The lines before it on the same VM show which
 * targets the VM considered unhealthy at that time. A health report from another VM (logged as `verdict.heard`)
 * is traced to the failed attempt that caused it.
 */
import type { LogLine } from './log-lines.js'

/** Root cause of a failed request. */
export type Cause =
  /** Targets are registered, but all of them had failed requests recently. */
  | 'targets-suspect'
  /** Targets are registered, but all of them announced that they leave or want no requests for a time. */
  | 'targets-away'
  /** More requests are queued than the targets' slots can serve in time. */
  | 'overload'
  /** A target failed requests of several VMs, or returned an error response. */
  | 'target-failed'
  /** This VM could not reach a target that no other VM reported as failing. */
  | 'path-failed'
  /** The VM could not confirm its configuration with the store. */
  | 'store-away'
  /** No target is registered, or all of them have been tried. */
  | 'no-target'
  /** The caller closed the connection before the response. */
  | 'caller-left'
  /** The log lines do not show a cause. */
  | 'unknown'

/** A cause with the log lines that support it. */
export interface Explanation {
  readonly cause: Cause
  /** The cause in one sentence. */
  readonly summary: string
  /** The supporting log lines, ordered by time. */
  readonly chain: readonly LogLine[]
}

/** Attempt results that can point to the network path to a target rather than to the target itself. */
const PATH_RESULTS: ReadonlySet<unknown> = new Set(['timeout', 'unreachable', 'silent'])
/** Time within which other lines about a target count as part of the same incident, in ms. */
const CORRELATION_WINDOW_MS = 5000

interface RequestHistory {
  readonly lines: readonly LogLine[]
  readonly endLine: LogLine
  readonly attempts: readonly LogLine[]
  /** Lines of the same VM before the request's last line. */
  readonly precedingLines: readonly LogLine[]
}

type Finding = Omit<Explanation, 'chain'> & { readonly evidence: readonly LogLine[] }

function findLastLine (lines: readonly LogLine[], matches: (line: LogLine) => boolean): LogLine | undefined {
  return lines.findLast(matches)
}

const isSuspicion = ({ event, fields }: LogLine): boolean =>
  event === 'target.suspect' || event === 'target.path-suspect' || (event === 'verdict.heard' && fields['failed'] === true)
const isSuspicionEnd = ({ event, fields }: LogLine): boolean =>
  event === 'target.sound' || event === 'target.gone' || (event === 'verdict.heard' && fields['failed'] === false)

const isEvent = (name: string) => ({ event }: LogLine): boolean => event === name

/** Latest line that began a state of each target, of those whose state had not ended when the request did. */
function openStates ({ precedingLines }: RequestHistory, isBegin: (line: LogLine) => boolean, isEnd: (line: LogLine) => boolean): readonly LogLine[] {
  const latest = new Map<unknown, LogLine>()
  for (const line of precedingLines) {
    const { target } = line.fields
    if (isBegin(line)) latest.set(target, line)
    else if (isEnd(line)) latest.delete(target)
  }
  return [...latest.values()]
}

/** Lines with which targets announced that they leave or want no requests for a time, of those that still did when the request ended. */
function openAnnouncements (history: RequestHistory): readonly LogLine[] {
  return [
    ...openStates(history, isEvent('target.leaving'), isEvent('target.left')),
    ...openStates(history, isEvent('target.paused'), isEvent('target.pause-ended'))
  ]
}

/** Traces a suspicion to the VM where it originated and to the failed attempt that caused it. */
function traceSuspicion ({ lines }: RequestHistory, suspicion: LogLine): readonly LogLine[] {
  const { target, from } = suspicion.fields
  const origin = suspicion.event === 'verdict.heard'
    ? lines.findLast(line => line.vm === from && line.event === 'target.suspect' && line.fields['target'] === target && line.at <= suspicion.at + CORRELATION_WINDOW_MS)
    : suspicion
  if (origin === undefined) return [suspicion]
  const { requestId } = origin.fields
  const attempt = lines.find(line => line.event === 'attempt.failed' && line.fields['requestId'] === requestId && line.fields['target'] === target)
  return [suspicion, origin, ...(attempt === undefined ? [] : [attempt])]
}

function explainStaleConfiguration (history: RequestHistory): Finding {
  const isStoreEvent = ({ event }: LogLine): boolean => event === 'store.lost' || event === 'store.regained'
  const storeEvent = findLastLine(history.precedingLines, isStoreEvent)
  const evidence = storeEvent === undefined ? [] : [storeEvent]
  const since = storeEvent === undefined ? '' : `, lost ${history.endLine.at - storeEvent.at} ms before: ${String(storeEvent.fields['detail'])}`
  return { cause: 'store-away', summary: `${history.endLine.vm} could not confirm its configuration with the store${since}`, evidence }
}

function explainRefusal (history: RequestHistory): Finding {
  const { endLine, attempts } = history
  const detail = String(endLine.fields['detail'])
  if (endLine.fields['kind'] === 'no-target') {
    const announcements = detail.includes('announced') ? openAnnouncements(history) : []
    return { cause: announcements.length > 0 ? 'targets-away' : 'no-target', summary: detail, evidence: [...announcements, ...attempts] }
  }
  const suspicions = openStates(history, isSuspicion, isSuspicionEnd)
  if (suspicions.length > 0 && detail.includes('targets failed lately')) {
    const vms = new Set(suspicions.map(({ fields, vm }) => String(fields['from'] ?? vm)))
    const summary = `all targets were held back after failures that ${[...vms].join(', ')} saw`
    return { cause: 'targets-suspect', summary, evidence: suspicions.flatMap(suspicion => traceSuspicion(history, suspicion)) }
  }
  return { cause: 'overload', summary: detail, evidence: suspicions }
}

function explainFailedAttempt (history: RequestHistory, attempt: LogLine): Finding {
  const { lines, endLine } = history
  const { target, result, afterMs, provenAgeMs } = attempt.fields
  const isRelated = (line: LogLine): boolean => Math.abs(line.at - endLine.at) <= CORRELATION_WINDOW_MS && line.fields['target'] === target
  const otherVMLines = lines.filter(line => isRelated(line) && line.vm !== endLine.vm && (line.event === 'attempt.failed' || line.event === 'target.suspect'))
  const ownLines = lines.filter(line => isRelated(line) && line.vm === endLine.vm && line.event.startsWith('target.'))
  const lastSuccess = provenAgeMs === -1 ? 'no VM had reported a success of it' : `its last known success was ${String(provenAgeMs)} ms before`
  const summary = `${String(target)} ended the attempt as ${String(result)} after ${String(afterMs)} ms; ${lastSuccess}`
  if (PATH_RESULTS.has(result) && otherVMLines.length === 0) {
    return { cause: 'path-failed', summary: `${summary}; no other VM reported a failure of it, so the likely cause is the path from ${endLine.vm}`, evidence: ownLines }
  }
  return { cause: 'target-failed', summary: otherVMLines.length === 0 ? summary : `${summary}; ${otherVMLines.length} lines of other VMs report failures of it too`, evidence: [...ownLines, ...otherVMLines] }
}

function findCause (history: RequestHistory): Finding {
  const { endLine, attempts } = history
  if (endLine.event === 'request.cancelled') return { cause: 'caller-left', summary: `the caller closed the connection after ${String(endLine.fields['durationMs'])} ms`, evidence: [] }
  if (endLine.fields['kind'] === 'configuration-stale') return explainStaleConfiguration(history)
  const attempt = attempts.at(-1)
  if (attempt !== undefined) return explainFailedAttempt(history, attempt)
  if (endLine.event === 'request.refused') return explainRefusal(history)
  return { cause: 'unknown', summary: 'the log lines before the end of the request show no cause', evidence: [] }
}

/**
 * Explains why a request failed.
 *
 * @param lines log lines of all VMs, ordered by time
 * @returns undefined when no line has the request id: a target answered the request, the id is wrong, or lines were dropped
 *
 * @example
 * explain(parseLogLines(readFileSync('vm-1.log', 'utf8')), 'a-1')?.cause // 'store-away'
 */
export function explain (lines: readonly LogLine[], requestId: string): Explanation | undefined {
  const ownLines = lines.filter(({ fields }) => fields['requestId'] === requestId)
  const endLine = ownLines.findLast(({ event }) => event.startsWith('request.')) ?? ownLines.at(-1)
  if (endLine === undefined) return undefined
  const attempts = ownLines.filter(({ event }) => event === 'attempt.failed')
  const precedingLines = lines.slice(0, lines.indexOf(endLine)).filter(({ vm }) => vm === endLine.vm)
  const { evidence, ...found } = findCause({ lines, endLine, attempts, precedingLines })
  const shown = new Set([...evidence, ...ownLines])
  return { ...found, chain: lines.filter(line => shown.has(line)) }
}
