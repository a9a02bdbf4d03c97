import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { once } from 'node:events'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createBoundedWriter } from './index.js'

const writer = suite('bounded writer')

const MAX_LINES_PER_SECOND = 300
const LINE = JSON.stringify({ event: 'x', text: 'a'.repeat(1000) })
/** Long enough to exceed the socket buffers of a reader that does not read. */
const LOAD_SECONDS = 60

interface Connection {
  readonly writing: Socket
  readonly reading: Socket
  readonly close: () => void
}

/** Opens a TCP connection whose receiving end is paused. */
async function openConnection (): Promise<Connection> {
  const server = createServer({ pauseOnConnect: true })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const writing = connect((server.address() as AddressInfo).port, '127.0.0.1')
  const [reading] = await once(server, 'connection') as [Socket]
  const close = (): void => {
    writing.destroy()
    reading.destroy()
    server.close()
  }
  return { writing, reading, close }
}

interface ReadResult {
  readonly lines: number
  readonly dropped: number
}

/** Reads up to the first line that satisfies the condition, and counts the lines and the reported drops. */
async function readUntil (reading: Socket, isLastLine: (line: string) => boolean): Promise<ReadResult> {
  let rest = ''
  let lines = 0
  let dropped = 0
  for await (const chunk of reading) {
    const parts = (rest + String(chunk)).split('\n')
    rest = parts.pop() ?? ''
    for (const part of parts) {
      if (part.includes('log.dropped')) dropped += (JSON.parse(part) as { lines: number }).lines
      else lines++
      if (isLastLine(part)) return { lines, dropped }
    }
  }
  throw new Error('the last line did not arrive')
}

writer('a stalled reader causes dropped lines, but neither blocking nor unbounded buffering', async () => {
  const { writing, reading, close } = await openConnection()
  try {
    let now = 0
    const write = createBoundedWriter(writing, () => now)
    const total = LOAD_SECONDS * MAX_LINES_PER_SECOND
    for (let index = 0; index < total; index++) {
      now += 1000 / MAX_LINES_PER_SECOND
      write(LINE)
      // Yields to the event loop so that the socket can flush.
      if (index % 50 === 0) await new Promise(resolve => { setImmediate(resolve) })
    }
    assert.ok(writing.writableLength < 300 * 1024, `${writing.writableLength} bytes are buffered`)
    const read = readUntil(reading, line => line === 'last')
    while (writing.writableLength > 0) await once(writing, 'drain')
    now += 1000
    write('last')
    const { lines, dropped } = await read
    assert.ok(dropped > 0, 'lines are dropped')
    assert.is(lines - 1 + dropped, total, 'each line is either written or counted as dropped')
  } finally {
    close()
  }
})

writer('lines above the rate limit are dropped, and their number is written in the next second', () => {
  const written: string[] = []
  let now = 0
  const write = createBoundedWriter({ write: (line: string) => written.push(line), writableLength: 0 } as never, () => now)
  for (let index = 0; index < MAX_LINES_PER_SECOND + 20; index++) write('x')
  assert.is(written.length, MAX_LINES_PER_SECOND)
  now = 1000
  write('y')
  assert.equal(written.slice(MAX_LINES_PER_SECOND), [`${JSON.stringify({ level: 'warn', event: 'log.dropped', lines: 20 })}\n`, 'y\n'])
})

writer.run()
