/**
 * Public API for programs that run a VM. Each feature folder has its own
 * entry point, for example `camphorbay/routing`.
 *
 * @example
 * import { createLog, parseSettings, startDaemon } from 'camphorbay'
 */
export { startDaemon, checkEnvironment, type Daemon, type DaemonOptions, type StartFailure } from './daemon/index.js'
export { parseSettings, type Settings } from './settings/index.js'
export { createLog, type Log } from './log/index.js'
export { errorData, type ErrorKind, type Refusal, type RunState } from './errors/index.js'
export { formatMistake, type Mistake } from './schema/index.js'
export type * from './model/index.js'
