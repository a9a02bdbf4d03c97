/** A log that records its lines, for assertions in tests. */
import type { LogFields, Log } from '../../src/log/index.js'

/** One log line. */
export interface LoggedEvent {
  readonly level: 'info' | 'warn' | 'error'
  readonly event: string
  readonly fields: LogFields
}

/** A log and the lines written to it. */
export interface EventLog {
  readonly log: Log
  readonly events: readonly LoggedEvent[]
}

/** Creates an empty event log. */
export function createEventLog (): EventLog {
  const events: LoggedEvent[] = []
  const write = (level: LoggedEvent['level']) => (event: string, fields: LogFields = {}): void => {
    events.push({ level, event, fields })
  }
  return { events, log: { info: write('info'), warn: write('warn'), error: write('error') } }
}

/** Polls until the condition is true; throws after the timeout. */
export async function waitFor (what: string, condition: () => boolean, limitMs = 5000): Promise<void> {
  const startedAt = performance.now()
  while (!condition()) {
    if (performance.now() - startedAt > limitMs) throw new Error(`${what}: not within ${limitMs} ms`)
    await new Promise(resolve => setTimeout(resolve, 10))
  }
}
