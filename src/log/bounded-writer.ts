/** Writes log lines without blocking on a slow reader, with bounded memory. */
import type { Writable } from 'node:stream'

/** Rate limit; lines above it are dropped and counted until the next second. */
const MAX_LINES_PER_SECOND = 300
const SECOND_MS = 1000
/** Limit of the stream's write buffer; while it is exceeded, lines are dropped and counted. */
const MAX_BUFFERED_BYTES = 256 * 1024

/**
 * Creates a writer that drops lines above a rate limit, and while the write buffer is full because the
 * reader is slow. The number of dropped lines is written as a `log.dropped` line before the next line.
 *
 * @param clock monotonic time in ms
 *
 * @example
 * const log = createLog({ vm: 'entry-1' }, createBoundedWriter(process.stdout, () => performance.now()))
 */
export function createBoundedWriter (stream: Writable, clock: () => number): (line: string) => void {
  let currentSecond = -1
  let linesThisSecond = 0
  let droppedLines = 0

  const writeLine = (line: string): void => {
    linesThisSecond++
    stream.write(`${line}\n`)
  }

  return line => {
    const second = Math.floor(clock() / SECOND_MS)
    if (second !== currentSecond) {
      currentSecond = second
      linesThisSecond = 0
    }
    if (linesThisSecond >= MAX_LINES_PER_SECOND || stream.writableLength > MAX_BUFFERED_BYTES) {
      droppedLines++
      return
    }
    if (droppedLines > 0) {
      writeLine(JSON.stringify({ level: 'warn', event: 'log.dropped', lines: droppedLines }))
      droppedLines = 0
    }
    writeLine(line)
  }
}
