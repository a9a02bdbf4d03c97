/** Starts programs as child processes and parses their JSON log lines. */
import { spawn, type ChildProcess } from 'node:child_process'
import { createInterface } from 'node:readline'

/** A parsed log line of a program. */
export interface LogLine {
  readonly time: string
  readonly level: string
  readonly event: string
  readonly [field: string]: unknown
}

/** A program that was started as a child process. */
export interface Program {
  readonly name: string
  readonly pid: number
  /** The latest log lines, oldest first. */
  readonly lines: readonly LogLine[]
  /** Resolves with the first line of the event, even if it was already written; rejects when the program ends or the timeout passes. */
  readonly waitFor: (event: string, timeoutMs?: number) => Promise<LogLine>
  readonly signal: (signal: NodeJS.Signals) => void
  /** Resolves with the exit code, or with the signal that ended the program. */
  readonly ended: Promise<number | NodeJS.Signals | null>
}

/** Allows for slow starts on a busy machine. */
const START_TIMEOUT_MS = 30_000
/** Maximum number of log lines kept per program, which bounds memory in long runs. */
const MAX_LINES = 20_000

const running = new Set<ChildProcess>()

/** Kills the running child processes when this process exits, even after a failure. */
process.once('exit', () => { for (const child of running) child.kill('SIGKILL') })

function parseLine (text: string): LogLine {
  try {
    return JSON.parse(text) as LogLine
  } catch {
    return { time: '', level: 'error', event: 'output', text }
  }
}

/**
 * Starts a compiled program of this repository.
 *
 * @param file path of the JavaScript file
 *
 * @example
 * const platform = startProgram('platform', 'dist/stand-ins/platform/main.js', ['--port', '0'])
 * const { port } = await platform.waitFor('platform.listening')
 */
export function startProgram (name: string, file: string, args: readonly string[]): Program {
  const child = spawn(process.execPath, [file, ...args], { stdio: ['ignore', 'pipe', 'pipe'] })
  running.add(child)
  const lines: LogLine[] = []
  const waiters = new Set<(line: LogLine | undefined) => void>()
  const handleLine = (text: string): void => {
    const line = parseLine(text)
    lines.push(line)
    if (lines.length > MAX_LINES) lines.shift()
    for (const waiter of [...waiters]) waiter(line)
  }
  for (const stream of [child.stdout, child.stderr]) createInterface({ input: stream }).on('line', handleLine)
  const ended = new Promise<number | NodeJS.Signals | null>(resolve => child.once('close', (code, signal) => {
    running.delete(child)
    for (const waiter of [...waiters]) waiter(undefined)
    resolve(code ?? signal)
  }))
  const waitFor = (event: string, timeoutMs = START_TIMEOUT_MS): Promise<LogLine> => new Promise((resolve, reject) => {
    const existing = lines.find(line => line.event === event)
    if (existing !== undefined) return resolve(existing)
    const finish = (settle: () => void): void => {
      waiters.delete(waiter)
      clearTimeout(timer)
      settle()
    }
    const fail = (reason: string): void => {
      const tail = lines.slice(-5).map(line => JSON.stringify(line)).join('\n')
      finish(() => reject(new Error(`${name} ${reason} before "${event}"\n${tail}`)))
    }
    const waiter = (line: LogLine | undefined): void => {
      if (line === undefined) fail('ended')
      else if (line.event === event) finish(() => resolve(line))
    }
    const timer = setTimeout(() => fail(`timed out after ${timeoutMs} ms`), timeoutMs)
    waiters.add(waiter)
  })
  return { name, pid: child.pid ?? -1, lines, waitFor, signal: signal => { child.kill(signal) }, ended }
}
