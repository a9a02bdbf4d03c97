/** Writes log lines without ever waiting for their reader. */
import type { Writable } from 'node:stream'

/** Lines of one second; with more, the rest of the second is counted only. */
const LINES_PER_SECOND = 300
const SECOND_MS = 1000
/** Bytes that wait for a reader; with more, lines are dropped. */
const WAITING_BYTES = 256 * 1024

/**
 * Creates a writer that drops lines above a rate, and while the reader does not read. The number of
 * dropped lines is a line of its own.
 *
 * @param clock monotonic time in ms
 *
 * @example
 * const log = createLog({ vm: 'entry-1' }, createBoundedWriter(process.stdout, () => performance.now()))
 */
export function createBoundedWriter (stream: Writable, clock: () => number): (line: string) => void {
  let second = -1
  let lines = 0
  let dropped = 0

  const write = (line: string): void => {
    lines++
    stream.write(`${line}\n`)
  }

  return line => {
    const current = Math.floor(clock() / SECOND_MS)
    if (current !== second) {
      second = current
      lines = 0
    }
    if (lines >= LINES_PER_SECOND || stream.writableLength > WAITING_BYTES) {
      dropped++
      return
    }
    if (dropped > 0) {
      write(JSON.stringify({ level: 'warn', event: 'log.dropped', lines: dropped }))
      dropped = 0
    }
    write(line)
  }
}
