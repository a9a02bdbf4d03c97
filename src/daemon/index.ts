/** Composition root of an entry VM: creates its components, starts them and shuts them down gracefully. */
export { startDaemon, type Daemon, type DaemonOptions, type StartFailure } from './daemon.js'
export { checkEnvironment } from './environment.js'
