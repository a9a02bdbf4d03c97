/** Tests of HTTP semantics between a caller on a raw socket and a target that uses the HTTP server of Node.js. */
import type { RequestListener } from 'node:http'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { openCaller, sendAndRead, withEntry } from './fakes.fixture.js'

const http = suite('http')

const echo: RequestListener = (incoming, response) => {
  const parts: Buffer[] = []
  incoming.on('data', (part: Buffer) => parts.push(part))
  incoming.on('end', () => {
    response.setHeader('X-Seen', JSON.stringify(incoming.rawHeaders.map(value => value.toLowerCase())))
    response.end(`${incoming.method} ${incoming.url} [${Buffer.concat(parts).toString()}]`)
  })
}

const CLOSE = 'Connection: close\r\n'

interface Case {
  readonly name: string
  readonly request: string
  readonly matches: readonly RegExp[]
  readonly excludes?: readonly RegExp[]
  readonly target?: RequestListener
}

const cases: readonly Case[] = [
  {
    name: 'a request is forwarded and gets a request id',
    request: `GET /read/a?b=c HTTP/1.1\r\nHost: x\r\n${CLOSE}\r\n`,
    matches: [/^HTTP\/1\.1 200 OK\r\n/, /camphorbay-request-id: \S+\r\n/i, /GET \/read\/a\?b=c \[\]$/]
  },
  {
    // Guards against forwarding headers that apply to a single connection.
    name: 'hop-by-hop headers are removed, including those that Connection lists',
    request: 'GET /read HTTP/1.1\r\nHost: x\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 3\r\nX-Kept: 1\r\n\r\n',
    matches: [/x-kept/],
    excludes: [/x-hop/, /"keep-alive","3"/]
  },
  {
    name: 'the remaining time is forwarded, and a caller can only shorten the deadline',
    request: `GET /read HTTP/1.1\r\nHost: x\r\nCamphorbay-Deadline-Ms: 300\r\n${CLOSE}\r\n`,
    matches: [/"camphorbay-deadline-ms","(29\d|300|28\d|27\d)"/]
  },
  {
    name: 'a body with a length arrives unchanged',
    request: `POST /write HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n${CLOSE}\r\nhello`,
    matches: [/POST \/write \[hello\]$/, /"content-length","5"/]
  },
  {
    name: 'a chunked body arrives unchanged',
    request: `POST /write HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n${CLOSE}\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n`,
    matches: [/POST \/write \[hello\]$/, /"transfer-encoding","chunked"/]
  },
  {
    name: 'a POST without body is forwarded with length 0',
    request: `POST /write HTTP/1.1\r\nHost: x\r\n${CLOSE}\r\n`,
    matches: [/"content-length","0"/, /POST \/write \[\]$/]
  },
  {
    name: 'the body of a GET is forwarded',
    request: `GET /read HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n${CLOSE}\r\nabc`,
    matches: [/GET \/read \[abc\]$/]
  },
  {
    // Guards against a target that receives another host than the one used for routing.
    name: 'an absolute-form request target is forwarded in origin form, with its host',
    request: `GET http://other:81/read/1 HTTP/1.1\r\nHost: x\r\n${CLOSE}\r\n`,
    matches: [/GET \/read\/1 \[\]$/, /"host","other:81"/],
    excludes: [/"host","x"/]
  },
  {
    name: 'a response to HEAD keeps its length and has no body',
    request: `HEAD /read HTTP/1.1\r\nHost: x\r\n${CLOSE}\r\n`,
    matches: [/content-length: 5\r\n/i, /\r\n\r\n$/],
    target: (_, response) => { response.setHeader('Content-Length', '5').end() }
  },
  {
    name: '204 has no body and no length',
    request: `GET /read HTTP/1.1\r\nHost: x\r\n${CLOSE}\r\n`,
    matches: [/^HTTP\/1\.1 204 /, /\r\n\r\n$/],
    excludes: [/content-length/i, /transfer-encoding/i],
    target: (_, response) => { response.writeHead(204).end() }
  },
  {
    name: '304 has no body and keeps its validators',
    request: `GET /read HTTP/1.1\r\nHost: x\r\n${CLOSE}\r\n`,
    matches: [/^HTTP\/1\.1 304 /, /etag: "1"/i, /\r\n\r\n$/],
    target: (_, response) => { response.writeHead(304, { etag: '"1"' }).end() }
  },
  {
    name: 'repeated response headers stay separate',
    request: `GET /read HTTP/1.1\r\nHost: x\r\n${CLOSE}\r\n`,
    matches: [/set-cookie: a\r\n.*set-cookie: b\r\n/is],
    target: (_, response) => { response.setHeader('Set-Cookie', ['a', 'b']).end() }
  },
  {
    name: 'trailers of a response reach the caller',
    request: `GET /read HTTP/1.1\r\nHost: x\r\n${CLOSE}\r\n`,
    matches: [/Trailer: X-Sum/i, /\r\n0\r\nX-Sum: 7\r\n\r\n$/],
    target: (_, response) => {
      response.writeHead(200, { Trailer: 'X-Sum' })
      response.write('a')
      response.addTrailers({ 'X-Sum': '7' })
      response.end()
    }
  },
  {
    name: 'trailers of a request reach the target',
    request: `POST /write HTTP/1.1\r\nHost: x\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n${CLOSE}\r\n1\r\na\r\n0\r\nX-Sum: 9\r\n\r\n`,
    matches: [/trailer=9$/],
    target: (incoming, response) => {
      incoming.resume().on('end', () => response.end(`trailer=${incoming.trailers['x-sum'] ?? ''}`))
    }
  },
  {
    name: 'interim responses are relayed before the final one',
    request: `GET /read HTTP/1.1\r\nHost: x\r\n${CLOSE}\r\n`,
    matches: [/^HTTP\/1\.1 103 Early Hints\r\nLink: <\/a>; rel=preload\r\n\r\nHTTP\/1\.1 200 OK/i],
    target: (_, response) => {
      response.writeEarlyHints({ link: '</a>; rel=preload' })
      response.end()
    }
  },
  {
    // Guards against relaying "not run" from a target whose response proves the contrary.
    name: 'the run state of a regular response is not relayed',
    request: `GET /read HTTP/1.1\r\nHost: x\r\n${CLOSE}\r\n`,
    matches: [/^HTTP\/1\.1 200 /],
    excludes: [/camphorbay-run/i],
    target: (_, response) => { response.setHeader('Camphorbay-Run', 'not-run').end('done') }
  },
  {
    name: 'a shed response is relayed with its run state',
    request: `GET /read HTTP/1.1\r\nHost: x\r\n${CLOSE}\r\n`,
    matches: [/^HTTP\/1\.1 503 /, /camphorbay-run: not-run/i, /busy\r\n0\r\n\r\n$/],
    target: (_, response) => { response.writeHead(503, { 'Camphorbay-Run': 'not-run' }).end('busy') }
  },
  {
    name: 'the entry itself responds with the addresses of a service',
    request: `GET /.camphorbay/addresses?service=s HTTP/1.1\r\nHost: x\r\n${CLOSE}\r\n`,
    matches: [/^HTTP\/1\.1 200 /, /\{"service":"s","addresses":\[\],"keepForMs":5000\}$/]
  },
  {
    name: 'an HTTP/1.0 caller gets a response that ends with the connection',
    request: 'GET /read HTTP/1.0\r\n\r\n',
    matches: [/^HTTP\/1\.1 200 /, /connection: close/i, /GET \/read \[\]$/],
    excludes: [/transfer-encoding/i]
  }
]

for (const { name, request, matches, excludes = [], target = echo } of cases) {
  http(name, () => withEntry(target, async ({ port }) => {
    const received = await sendAndRead(port, request)
    for (const pattern of matches) assert.match(received, pattern)
    for (const pattern of excludes) assert.not.match(received, pattern)
  }))
}

http('a caller connection is kept alive, also with pipelined requests', () => withEntry(echo, async ({ port }) => {
  const caller = openCaller(port)
  caller.write('GET /read/1 HTTP/1.1\r\nHost: x\r\n\r\nGET /read/2 HTTP/1.1\r\nHost: x\r\n\r\n')
  await caller.until(/read\/1.*read\/2/s)
  caller.write('GET /read/3 HTTP/1.1\r\nHost: x\r\n\r\n')
  await caller.until(/read\/1.*read\/2.*read\/3/s)
  caller.socket.destroy()
}))

http('the connection to a target is kept alive', async () => {
  const ports = new Set<number | undefined>()
  await withEntry((incoming, response) => {
    ports.add(incoming.socket.remotePort)
    response.end('ok')
  }, async ({ port }) => {
    for (let i = 0; i < 5; i++) await sendAndRead(port, `GET /read HTTP/1.1\r\nHost: x\r\n${CLOSE}\r\n`)
  })
  assert.is(ports.size, 1)
})

http.run()
