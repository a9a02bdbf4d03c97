/** Structured logging: one JSON object per line, written through consola. */
export { createBoundedWriter } from './bounded-writer.js'
export { createLog, type Log, type LogFields } from './log.js'
export { logDefects } from './defects.js'
