/** One cell of the fault matrix: a request, the injected faults, and the outcome. For tests only. */
import * as assert from 'uvu/assert'
import type { Class } from '../model/index.js'
import { openCaller, pause, startEntry, targetAt } from './fakes.fixture.js'
import { RESPONSE_BODY, startFaultyTarget, type Fault, type Step } from './faulty-target.fixture.js'

/** Faults whose outcome depends on a timeout. Their cells spend most of their time waiting. */
const TIMEOUT_FAULTS: ReadonlySet<Fault> = new Set(['silent', 'freeze', 'late'])
/** The stall timeout of a reused connection is half of it, which leaves a margin on a busy machine. */
const TIMEOUT_FAULT_DEADLINE_MS = 1000
/** Frozen and late targets continue after the caller has its response. */
const FAULT_PAUSE_MS = 1600
/** Much longer than a cell without a timeout takes. */
const DEADLINE_MS = 20_000
/** Longer than a busy machine takes between two requests, so that the second one finds the connection that its cell states. */
const MAX_REUSE_IDLE_MS = 15_000
/** Time for bytes in transit after the caller has its response. */
const SETTLE_MS = 20

export const REQUESTS = ['idempotent', 'plain', 'keyed'] as const
export type Request = typeof REQUESTS[number]
export type ConnectionState = 'fresh' | 'reused'

/** The response, the number of runs at all targets, and the final state of the claim, for example `200, ran 1, finished`. */
export type Cell = string

/** Cells for an idempotent request, a non-idempotent one without an idempotency key, and one with a key. */
export type Row = readonly [Cell, Cell, Cell]

/** A fault to inject at a step of the exchange with one target. */
export interface InjectedFault {
  readonly fault: Fault
  readonly step: Step
}

/** Input of a cell. */
export interface CellPlan {
  /** One fault per target, in the order in which targets are tried. One more target is healthy. */
  readonly injectedFaults: readonly InjectedFault[]
  readonly request: Request
  /** Whether the pool has an idle connection to the first target. */
  readonly connectionState: ConnectionState
}

export const isTimeoutFault = (fault: Fault): boolean => TIMEOUT_FAULTS.has(fault)

export function row (idempotent: Cell, plain: Cell, claim: string): Row {
  return [idempotent, plain, `${plain}, ${claim}`]
}

function classesWithDeadline (deadlineMs: number): readonly Class[] {
  return [
    { name: 'read', idempotent: true, deadlineMs, priority: 1 },
    { name: 'write', idempotent: false, deadlineMs, priority: 1 }
  ]
}

function requestOf (request: Request): string {
  const path = request === 'idempotent' ? '/read' : '/write'
  const key = request === 'keyed' ? 'Idempotency-Key: k\r\n' : ''
  return `POST ${path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n${key}Content-Length: 10\r\n\r\n0123456789`
}

const LAST_CHUNK = '0\r\n\r\n'

/** Returns the body of a response, or undefined when it does not look complete. */
function completeBody (received: string): string | undefined {
  const headEnd = received.indexOf('\r\n\r\n')
  const rest = received.slice(headEnd + 4)
  if (!/transfer-encoding: chunked/i.test(received.slice(0, headEnd))) {
    return rest.length < Number(/content-length: (\d+)/i.exec(received)?.[1]) ? undefined : rest
  }
  // No other chunk of the targets ends with the bytes of the last chunk.
  return rest.endsWith(LAST_CHUNK) ? rest.replace(/[0-9a-f]+\r\n(.*?)\r\n/gi, '$1').replace(/\r\n$/, '') : undefined
}

function summarise (received: string): string {
  const status = /^HTTP\/1\.1 (\d+)/.exec(received)?.[1]
  if (status === undefined) return 'nothing'
  const body = completeBody(received)
  if (body === undefined) return 'cut'
  const kind = /camphorbay-kind: (\S+)/i.exec(received)?.[1]
  const run = /camphorbay-run: (\S+)/i.exec(received)?.[1]
  if (status === '200') return body === RESPONSE_BODY ? '200' : `200 with ${body}`
  return [kind ?? status, ...(run === undefined ? [] : [run])].join(' ')
}

/** Runs a request against targets with injected faults, with as many retries as faults. */
export async function runCell ({ injectedFaults, request, connectionState }: CellPlan): Promise<Cell> {
  const faulty = await Promise.all(injectedFaults.map(() => startFaultyTarget(FAULT_PAUSE_MS)))
  const targets = [...faulty, await startFaultyTarget(FAULT_PAUSE_MS)]
  const deadlineMs = injectedFaults.some(({ fault }) => isTimeoutFault(fault)) ? TIMEOUT_FAULT_DEADLINE_MS : DEADLINE_MS
  const test = await startEntry({ targets: targets.map(target => targetAt(target)), classes: classesWithDeadline(deadlineMs), retries: injectedFaults.length, overrides: { maxReuseIdleMs: MAX_REUSE_IDLE_MS } })
  const runs = (): number => targets.reduce((sum, target) => sum + target.runs(), 0)
  const call = async (bytes: string): Promise<string> => {
    const caller = openCaller(test.port)
    caller.write(bytes)
    await caller.closed
    return caller.received()
  }
  try {
    if (connectionState === 'reused') await call(requestOf('plain'))
    const before = runs()
    injectedFaults.forEach(({ fault, step }, i) => faulty[i]?.injectFault(fault, step))
    // Waits until an idle connection that the fault closes has ended.
    if (injectedFaults.some(({ step }) => step === 'before connect')) await pause(SETTLE_MS)
    const outcome = summarise(await call(requestOf(request)))
    await pause(injectedFaults.some(({ fault }) => fault === 'freeze' || fault === 'late') ? FAULT_PAUSE_MS : SETTLE_MS)
    const claim = test.recorded.length > 0 ? 'finished' : test.abandoned.length > 0 ? 'abandoned' : 'open'
    assert.is(test.slotsInUse(), 0, 'every slot is released')
    return `${outcome}, ran ${runs() - before}${request === 'keyed' ? `, ${claim}` : ''}`
  } finally {
    await test.close()
    await Promise.all(targets.map(target => target.close()))
  }
}
