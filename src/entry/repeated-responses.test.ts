/** Guards against targets that send the response to an earlier request once more on a connection that is in use again. */
import type { Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { sendAndRead, startRawTarget, withTargets, type LoopbackServer } from './fakes.fixture.js'

const test = suite('repeated responses')

interface Case {
  readonly name: string
  readonly status: string
  readonly fields: string
}

const cases: readonly Case[] = [
  { name: 'a success', status: '200 OK', fields: '' },
  { name: 'an error', status: '500 Failed', fields: '' },
  { name: 'a refusal', status: '503 Busy', fields: 'Camphorbay-Run: not-run\r\n' },
  { name: 'a refusal of a target that drains', status: '503 Busy', fields: 'Camphorbay-Run: not-run\r\nCamphorbay-State: draining\r\n' }
]

const requestIdOf = (head: string): string => /^camphorbay-request-id: (.*)$/im.exec(head)?.[1] ?? ''
const post = (work: string): string => `POST /write HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: ${work.length}\r\n\r\n${work}`

/** A target that responds to each request with the response to its first one. */
function startRepeatingTarget ({ status, fields }: Case, heads: string[]): Promise<LoopbackServer> {
  let first: string | undefined
  return startRawTarget((socket: Socket) => {
    socket.on('data', part => {
      const head = part.toString('latin1')
      if (!head.startsWith('POST')) return
      heads.push(head)
      first ??= `HTTP/1.1 ${status}\r\nCamphorbay-Request-Id: ${requestIdOf(head)}\r\n${fields}Content-Length: 5\r\n\r\nfirst`
      socket.write(first)
    })
  })
}

for (const each of cases) {
  test(`${each.name} that is repeated does not answer the next request, which is not sent again`, async () => {
    const heads: string[] = []
    const others: string[] = []
    await withTargets([startRepeatingTarget(each, heads), startRepeatingTarget(each, others)], async ({ port }) => {
      await sendAndRead(port, post('a'))
      const isShed = each.fields !== ''
      assert.is(others.length, isShed ? 1 : 0)
      const response = await sendAndRead(port, post('b'))
      assert.match(response, /^HTTP\/1\.1 502 /)
      assert.not.match(response, /first|camphorbay-run: not-run/i)
      assert.is(heads.length, 2)
      assert.is(others.length, isShed ? 1 : 0)
    }, { retries: 4 })
  })
}

test.run()
