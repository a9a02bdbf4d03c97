/**
 * Why a request failed, from the log lines of the fleet's VMs.
 *
 * The end of the request names its kind. What the VM believed at that moment follows from the lines before
 * it; a belief that came from another VM is followed to the request that VM judged by.
 */
import type { Line } from './lines.js'

/** What made a request fail. */
export type Cause =
  /** Targets were there, and all of them had failed requests a moment before. */
  | 'targets-suspect'
  /** More requests than the targets' slots can serve in time. */
  | 'overload'
  /** A target that failed requests of several VMs, or answered with a failure. */
  | 'target-failed'
  /** A target that this VM could not reach while nobody else doubted it. */
  | 'path-failed'
  /** The store did not confirm the configuration. */
  | 'store-away'
  /** No target is registered, or every one was tried. */
  | 'no-target'
  /** The caller left before the answer. */
  | 'caller-left'
  /** The lines do not say. */
  | 'unknown'

/** A cause with the lines that show it. */
export interface Explanation {
  readonly cause: Cause
  /** One sentence. */
  readonly summary: string
  /** The lines that show it, in the order of their times. */
  readonly chain: readonly Line[]
}

/** Results of attempts that say something about the path to a target rather than about the target. */
const PATH_RESULTS: ReadonlySet<unknown> = new Set(['timeout', 'unreachable', 'silent'])
/** How long before the end of a request another VM's doubt about a target belongs to the same trouble, in ms. */
const SAME_TROUBLE_MS = 5000

interface Scene {
  readonly lines: readonly Line[]
  readonly end: Line
  readonly attempts: readonly Line[]
  /** Lines of the same VM up to the end of the request. */
  readonly before: readonly Line[]
}

type Finding = Omit<Explanation, 'chain'> & { readonly shownBy: readonly Line[] }

function lastBefore (lines: readonly Line[], isWanted: (line: Line) => boolean): Line | undefined {
  return lines.findLast(isWanted)
}

/** The line by which each target became suspect for the VM, for targets that still were at the end. */
function suspicions ({ before }: Scene): readonly Line[] {
  const open = new Map<unknown, Line>()
  for (const line of before) {
    const { target, failed } = line.fields
    const isDoubt = line.event === 'target.suspect' || line.event === 'target.path-suspect' || (line.event === 'verdict.heard' && failed === true)
    const isTrust = line.event === 'target.sound' || line.event === 'target.gone' || (line.event === 'verdict.heard' && failed === false)
    if (isDoubt) open.set(target, line)
    else if (isTrust) open.delete(target)
  }
  return [...open.values()]
}

/** Follows a verdict to the VM that gave it, and to the attempt by which it judged. */
function originOf ({ lines }: Scene, doubt: Line): readonly Line[] {
  const { target, from } = doubt.fields
  const origin = doubt.event === 'verdict.heard'
    ? lines.findLast(line => line.vm === from && line.event === 'target.suspect' && line.fields['target'] === target && line.at <= doubt.at + SAME_TROUBLE_MS)
    : doubt
  if (origin === undefined) return [doubt]
  const { requestId } = origin.fields
  const attempt = lines.find(line => line.event === 'attempt.failed' && line.fields['requestId'] === requestId && line.fields['target'] === target)
  return [doubt, origin, ...(attempt === undefined ? [] : [attempt])]
}

function explainStale (scene: Scene): Finding {
  const isStore = ({ event }: Line): boolean => event === 'store.lost' || event === 'store.regained'
  const contact = lastBefore(scene.before, isStore)
  const shownBy = contact === undefined ? [] : [contact]
  const since = contact === undefined ? '' : `, lost ${scene.end.at - contact.at} ms before: ${String(contact.fields['detail'])}`
  return { cause: 'store-away', summary: `${scene.end.vm} could not confirm its configuration with the store${since}`, shownBy }
}

function explainRefusal (scene: Scene): Finding {
  const { end, attempts } = scene
  const detail = String(end.fields['detail'])
  if (end.fields['kind'] === 'no-target') return { cause: 'no-target', summary: detail, shownBy: attempts }
  const doubts = suspicions(scene)
  if (doubts.length > 0 && detail.includes('targets failed lately')) {
    const vms = new Set(doubts.map(({ fields, vm }) => String(fields['from'] ?? vm)))
    const summary = `all targets were held back after failures that ${[...vms].join(', ')} saw`
    return { cause: 'targets-suspect', summary, shownBy: doubts.flatMap(doubt => originOf(scene, doubt)) }
  }
  return { cause: 'overload', summary: detail, shownBy: doubts }
}

function explainAttempt (scene: Scene, attempt: Line): Finding {
  const { lines, end } = scene
  const { target, result, afterMs, provenAgeMs } = attempt.fields
  const isNear = (line: Line): boolean => Math.abs(line.at - end.at) <= SAME_TROUBLE_MS && line.fields['target'] === target
  const others = lines.filter(line => isNear(line) && line.vm !== end.vm && (line.event === 'attempt.failed' || line.event === 'target.suspect'))
  const own = lines.filter(line => isNear(line) && line.vm === end.vm && line.event.startsWith('target.'))
  const proof = provenAgeMs === -1 ? 'nobody had seen it succeed' : `it had succeeded ${String(provenAgeMs)} ms before`
  const summary = `${String(target)} ended the attempt as ${String(result)} after ${String(afterMs)} ms; ${proof}`
  if (PATH_RESULTS.has(result) && others.length === 0) {
    return { cause: 'path-failed', summary: `${summary}; no other VM doubted it, so the path from ${end.vm} is to blame`, shownBy: own }
  }
  return { cause: 'target-failed', summary: others.length === 0 ? summary : `${summary}; ${others.length} lines of other VMs doubt it too`, shownBy: [...own, ...others] }
}

function find (scene: Scene): Finding {
  const { end, attempts } = scene
  if (end.event === 'request.cancelled') return { cause: 'caller-left', summary: `the caller left after ${String(end.fields['durationMs'])} ms`, shownBy: [] }
  if (end.fields['kind'] === 'configuration-stale') return explainStale(scene)
  const attempt = attempts.at(-1)
  if (attempt !== undefined) return explainAttempt(scene, attempt)
  if (end.event === 'request.refused') return explainRefusal(scene)
  return { cause: 'unknown', summary: 'no line before the end of the request explains it', shownBy: [] }
}

/**
 * Explains how a request ended.
 *
 * @param lines of all VMs, in the order of their times
 * @returns undefined when no line tells of the request: it was answered by a target, its id is wrong, or lines were dropped
 *
 * @example
 * explain(parseLines(readFileSync('vm-1.log', 'utf8')), 'a-1')?.cause // 'store-away'
 */
export function explain (lines: readonly Line[], requestId: string): Explanation | undefined {
  const own = lines.filter(({ fields }) => fields['requestId'] === requestId)
  const end = own.findLast(({ event }) => event.startsWith('request.')) ?? own.at(-1)
  if (end === undefined) return undefined
  const attempts = own.filter(({ event }) => event === 'attempt.failed')
  const before = lines.slice(0, lines.indexOf(end)).filter(({ vm }) => vm === end.vm)
  const { shownBy, ...found } = find({ lines, end, attempts, before })
  const shown = new Set([...shownBy, ...own])
  return { ...found, chain: lines.filter(line => shown.has(line)) }
}
