/** Reports errors that no code handles. */
import type { Log } from './log.js'

/**
 * Logs uncaught errors instead of letting them end the process, so that they do not abort the requests in flight.
 *
 * @example
 * logDefects(createLog({ vm: 'edge-1' }, createBoundedWriter(process.stdout, clock)))
 */
export function logDefects (log: Pick<Log, 'error'>): void {
  process.on('uncaughtException', error => log.error('process.defect', { detail: error.stack ?? error.message }))
  process.on('unhandledRejection', reason => log.error('process.defect', { detail: String(reason) }))
}
