/** Determines the cause of a failed request from log lines alone. */
export { explain, type Cause, type Explanation } from './explain.js'
export { parseLogLines, type LogLine } from './log-lines.js'
