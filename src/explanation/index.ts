/** Finds out from log lines alone why a request failed. */
export { explain, type Cause, type Explanation } from './explain.js'
export { parseLines, type Line } from './lines.js'
