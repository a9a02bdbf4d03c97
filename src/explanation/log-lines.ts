/** Parser for the log lines of VMs. */

/** A parsed log line. */
export interface LogLine {
  /** Time in ms since the Unix epoch; 0 when the line has no valid time. */
  readonly at: number
  readonly event: string
  /** Name of the VM that wrote the line. */
  readonly vm: string
  readonly fields: Readonly<Record<string, unknown>>
}

function parseLogLine (text: string): LogLine | undefined {
  // Log collectors may prefix the JSON object with a name or a timestamp.
  const start = text.indexOf('{')
  if (start < 0) return undefined
  try {
    const { time, event, vm, level: _, ...fields } = JSON.parse(text.slice(start)) as Readonly<Record<string, unknown>>
    if (typeof event !== 'string') return undefined
    return { at: Date.parse(String(time)) || 0, event, vm: String(vm ?? ''), fields }
  } catch {
    return undefined
  }
}

/**
 * Parses log lines and sorts them by time. Text that is not a log line is skipped.
 *
 * @example
 * parseLogLines('{"time":"2026-01-01T00:00:00.000Z","level":"info","event":"vm.ready","vm":"entry-1"}')
 */
export function parseLogLines (text: string): readonly LogLine[] {
  const lines = text.split('\n').map(parseLogLine).filter(line => line !== undefined)
  return lines.sort((a, b) => a.at - b.at)
}
