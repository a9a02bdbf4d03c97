import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { once } from 'node:events'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createBoundedWriter } from './index.js'

const writer = suite('bounded writer')

const LINES_PER_SECOND = 300
const LINE = JSON.stringify({ event: 'x', text: 'a'.repeat(1000) })
/** More than the system keeps for a reader that does not read. */
const SECONDS = 60

interface Pipe {
  readonly writing: Socket
  readonly reading: Socket
  readonly close: () => void
}

/** Both ends of a connection; nobody reads yet. */
async function openPipe (): Promise<Pipe> {
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

interface Read {
  readonly lines: number
  readonly dropped: number
}

/** Reads until a line satisfies the condition. */
async function readUntil (reading: Socket, isLast: (line: string) => boolean): Promise<Read> {
  let rest = ''
  let lines = 0
  let dropped = 0
  for await (const chunk of reading) {
    const parts = (rest + String(chunk)).split('\n')
    rest = parts.pop() ?? ''
    for (const part of parts) {
      if (part.includes('log.dropped')) dropped += (JSON.parse(part) as { lines: number }).lines
      else lines++
      if (isLast(part)) return { lines, dropped }
    }
  }
  throw new Error('the last line did not arrive')
}

writer('a reader that stops reading costs lines, and neither time nor memory', async () => {
  const { writing, reading, close } = await openPipe()
  try {
    let now = 0
    const write = createBoundedWriter(writing, () => now)
    const total = SECONDS * LINES_PER_SECOND
    for (let index = 0; index < total; index++) {
      now += 1000 / LINES_PER_SECOND
      write(LINE)
      // Lets the system take what it can.
      if (index % 50 === 0) await new Promise(resolve => { setImmediate(resolve) })
    }
    assert.ok(writing.writableLength < 300 * 1024, `${writing.writableLength} bytes wait`)
    const read = readUntil(reading, line => line === 'last')
    while (writing.writableLength > 0) await once(writing, 'drain')
    now += 1000
    write('last')
    const { lines, dropped } = await read
    assert.ok(dropped > 0, 'some lines were dropped')
    assert.is(lines - 1 + dropped, total, 'each line was written or counted')
  } finally {
    close()
  }
})

writer('lines above the rate are counted, and the count is a line of the next second', () => {
  const written: string[] = []
  let now = 0
  const write = createBoundedWriter({ write: (line: string) => written.push(line), writableLength: 0 } as never, () => now)
  for (let index = 0; index < LINES_PER_SECOND + 20; index++) write('x')
  assert.is(written.length, LINES_PER_SECOND)
  now = 1000
  write('y')
  assert.equal(written.slice(LINES_PER_SECOND), [`${JSON.stringify({ level: 'warn', event: 'log.dropped', lines: 20 })}\n`, 'y\n'])
})

writer.run()
