import { createConsola } from 'consola'

/** Fields of a log line. They must not contain request or response bodies, or secrets. */
export type LogFields = Readonly<Record<string, string | number | boolean | readonly string[] | undefined>>

/** Logger whose lines each carry an event name and optional fields. */
export interface Log {
  readonly info: (event: string, fields?: LogFields) => void
  readonly warn: (event: string, fields?: LogFields) => void
  readonly error: (event: string, fields?: LogFields) => void
}

/**
 * Creates a logger that adds the fields of `base` to every line.
 *
 * @param write receives each line without a trailing line feed
 * @param clock wall-clock time in ms since the Unix epoch
 *
 * @example
 * const log = createLog({ vm: 'entry-1' }, line => process.stdout.write(line + '\n'))
 * log.info('note.applied', { revision: 7 })
 * // {"time":"…","level":"info","event":"note.applied","vm":"entry-1","revision":7}
 */
export function createLog (base: LogFields, write: (line: string) => void, clock: () => number = Date.now): Log {
  const consola = createConsola({
    reporters: [{
      log: entry => {
        const [event, fields] = entry.args as [string, LogFields | undefined]
        const time = new Date(clock()).toISOString()
        write(JSON.stringify({ time, level: entry.type, event, ...base, ...fields }))
      }
    }],
    // By default, consola merges repeated lines. Every event must be logged.
    throttle: 0
  })
  return {
    info: (event, fields) => consola.info(event, fields),
    warn: (event, fields) => consola.warn(event, fields),
    error: (event, fields) => consola.error(event, fields)
  }
}
