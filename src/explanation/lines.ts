/** Log lines of VMs as they are read from files. */

/** One line of a VM's log. */
export interface Line {
  /** In ms since 1970; 0 when the line has no time. */
  readonly at: number
  readonly event: string
  /** Name of the VM that wrote it. */
  readonly vm: string
  readonly fields: Readonly<Record<string, unknown>>
}

function parseLine (text: string): Line | undefined {
  // Log collectors may put a name or a time before the object.
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
 * Reads log lines in the order of their times; what is no log line is left out.
 *
 * @example
 * parseLines('{"time":"2026-01-01T00:00:00.000Z","level":"info","event":"vm.ready","vm":"entry-1"}')
 */
export function parseLines (text: string): readonly Line[] {
  const lines = text.split('\n').map(parseLine).filter(line => line !== undefined)
  return lines.sort((a, b) => a.at - b.at)
}
