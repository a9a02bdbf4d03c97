/** Structured logs: one JSON object a line, through consola. */
export { createBoundedWriter } from './bounded-writer.js'
export { createLog, type Log, type Fields } from './log.js'
