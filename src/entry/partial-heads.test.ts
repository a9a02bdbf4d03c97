/** Targets that stop in the middle of a response and close. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { sendAndRead, startRawTarget, withTargets } from './fakes.fixture.js'

const test = suite('partial heads')

const GET = 'GET /read HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'

const responses = {
  'with a length': 'HTTP/1.1 200 OK\r\nX-Token: abc\r\nContent-Length: 12\r\n\r\nwhole-answer',
  'in chunks': 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n',
  'up to the close': 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n'
} as const

for (const [name, response] of Object.entries(responses)) {
  for (const end of ['close', 'reset'] as const) {
    // Guards against a success with an empty or short body that is framed as whole.
    test(`a response ${name} that stops at any byte and ends with a ${end} is no success`, async () => {
      let length = 0
      await withTargets([startRawTarget(socket => {
        socket.once('data', () => socket.write(response.slice(0, length), () => {
          if (end === 'close') socket.end()
          else setTimeout(() => socket.resetAndDestroy(), 2)
        }))
      })], async ({ port }) => {
        for (; length < response.length; length++) {
          const received = await sendAndRead(port, GET)
          assert.match(received, /^HTTP\/1\.1 502 /, `${length} bytes: ${JSON.stringify(received.slice(0, 200))}`)
        }
      }, { overrides: { responseBufferBytes: 64 * 1024 } })
    })
  }
}

test.run()
