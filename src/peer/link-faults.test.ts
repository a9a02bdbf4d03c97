import { ok } from 'neverthrow'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { WebSocketServer } from 'ws'
import { waitFor } from '../../tests/support/events.js'
import { startMesh, testVM, TEST_KEY, type TestMesh } from '../../tests/support/mesh-vm.js'
import { connectRaw, type RawPeer } from '../../tests/support/raw-peer.js'
import type { Channel } from '../model/index.js'
import { encode } from './codec.js'
import { FRAME_LIMIT_BYTES, PROTOCOL_VERSION } from './constants.js'
import type { CloseReason } from './failure.js'
import { answerHello } from './handshake.js'
import { integer } from './index.js'

const faults = suite('peer faults')

const count: Channel<number> = { kind: 'count', parse: integer() }
const size: Channel<number> = { kind: 'size', parse: integer() }

interface Case {
  readonly name: string
  readonly reason: CloseReason
  readonly act: (raw: RawPeer) => Promise<void>
}

/** Opens a link at both ends and sends one heartbeat. */
async function openLink (raw: RawPeer) {
  const session = await raw.performHandshake()
  raw.send(session, raw.heartbeat(0))
  return session
}

const cases: readonly Case[] = [
  {
    name: 'a first frame sealed with a wrong key',
    reason: 'wrong-key',
    act: async raw => {
      // An attacker without the key cannot verify the welcome, but can send a frame in response.
      const session = await raw.performHandshake()
      const frame = Buffer.from(session.seal(encode(raw.heartbeat(0))))
      frame.fill(7, 4, 20)
      raw.socket.send(frame)
    }
  },
  {
    name: 'a tampered payload',
    reason: 'frame-tampered',
    act: async raw => {
      const session = await openLink(raw)
      const frame = Buffer.from(session.seal(encode(['count', 7])))
      frame[frame.length - 1] = 8
      raw.socket.send(frame)
    }
  },
  {
    name: 'a tampered counter',
    reason: 'frame-tampered',
    act: async raw => {
      const session = await openLink(raw)
      const frame = Buffer.from(session.seal(encode(['count', 7])))
      frame.writeUInt32BE(9, 0)
      raw.socket.send(frame)
    }
  },
  {
    name: 'a replayed frame',
    reason: 'frame-replayed',
    act: async raw => {
      const session = await openLink(raw)
      const frame = session.seal(encode(['count', 7]))
      raw.socket.send(frame)
      raw.socket.send(frame)
    }
  },
  {
    name: 'a skipped frame',
    reason: 'frame-replayed',
    act: async raw => {
      const session = await openLink(raw)
      session.seal(encode(['count', 7]))
      raw.send(session, ['count', 8])
    }
  },
  {
    name: 'a frame shorter than counter and authentication code',
    reason: 'frame-malformed',
    act: async raw => {
      await openLink(raw)
      raw.socket.send(Buffer.alloc(3))
    }
  },
  {
    name: 'a text frame',
    reason: 'frame-malformed',
    act: async raw => {
      await openLink(raw)
      raw.socket.send('text')
    }
  },
  {
    name: 'a payload that is not msgpack',
    reason: 'frame-malformed',
    act: async raw => {
      const session = await openLink(raw)
      raw.socket.send(session.seal(Buffer.from([0xc1, 0xdd, 0xff])))
    }
  },
  {
    name: 'a payload that declares a huge array',
    reason: 'frame-malformed',
    act: async raw => {
      const session = await openLink(raw)
      raw.socket.send(session.seal(Buffer.from([0xdd, 0xff, 0xff, 0xff, 0xff])))
    }
  },
  {
    name: 'a message that is not a pair',
    reason: 'frame-malformed',
    act: async raw => raw.send(await openLink(raw), { kind: 'count' })
  },
  {
    name: 'an oversized frame',
    reason: 'frame-too-large',
    act: async raw => {
      const session = await openLink(raw)
      raw.socket.send(session.seal(Buffer.alloc(FRAME_LIMIT_BYTES)))
    }
  },
  {
    name: 'an unknown kind',
    reason: 'kind-unknown',
    act: async raw => raw.send(await openLink(raw), ['nothing', 1])
  },
  {
    name: 'a known kind with a malformed body',
    reason: 'body-malformed',
    act: async raw => raw.send(await openLink(raw), ['count', 'seven'])
  },
  {
    name: 'a heartbeat with a malformed body',
    reason: 'body-malformed',
    act: async raw => raw.send(await openLink(raw), ['heartbeat', [1, 'echo', 0, {}]])
  },
  {
    name: 'a heartbeat with an unknown attachment',
    reason: 'kind-unknown',
    act: async raw => raw.send(await openLink(raw), ['heartbeat', [1, -1, 0, { nothing: 1 }]])
  },
  {
    name: 'a heartbeat with a malformed attachment',
    reason: 'body-malformed',
    act: async raw => raw.send(await openLink(raw), ['heartbeat', [1, -1, 0, { size: 'big' }]])
  },
  {
    name: 'an echo of a heartbeat that was never sent',
    reason: 'body-malformed',
    act: async raw => raw.send(await openLink(raw), raw.heartbeat(1, 1000))
  },
  {
    name: 'a protocol version that is too new',
    reason: 'version-unsupported',
    act: async raw => {
      await raw.performHandshake({ versions: { oldest: PROTOCOL_VERSION + 1, newest: PROTOCOL_VERSION + 2 } })
    }
  },
  {
    name: 'a protocol version that is two versions old',
    reason: 'version-unsupported',
    act: async raw => {
      await raw.performHandshake({ versions: { oldest: PROTOCOL_VERSION - 2, newest: PROTOCOL_VERSION - 2 } })
    }
  },
  {
    name: 'a hello that is not msgpack',
    reason: 'handshake-malformed',
    act: async raw => raw.socket.send(Buffer.from([0xc1]))
  },
  {
    name: 'a hello that is too large',
    reason: 'handshake-malformed',
    act: async raw => raw.socket.send(Buffer.alloc(5000))
  },
  {
    name: 'a hello with the name of the VM itself',
    reason: 'wrong-vm',
    act: async raw => { await raw.performHandshake({ name: 'target' }) }
  },
  {
    name: 'an incarnation that was replaced',
    reason: 'older-incarnation',
    act: async raw => raw.send(await raw.performHandshake({ incarnation: '0-replaced' }), raw.heartbeat(0))
  },
  {
    name: 'no hello',
    reason: 'handshake-timeout',
    act: async () => {}
  },
  {
    name: 'silence after the handshake',
    reason: 'no-echo',
    act: async raw => { await openLink(raw) }
  },
  {
    name: 'a peer that ends the connection',
    reason: 'closed-by-peer',
    act: async raw => {
      await openLink(raw)
      raw.socket.terminate()
    }
  }
]

const startTarget = (): Promise<TestMesh> => startMesh('target', () => [], {
  isCurrent: peer => peer.incarnation !== '0-replaced'
}, mesh => {
  mesh.subscribe(count, () => {})
  mesh.attach({ channel: size, write: () => 1, read: () => {} })
})

const closings = ({ events }: TestMesh): readonly unknown[] =>
  events.filter(({ event }) => event === 'link.closed').map(({ fields }) => fields['reason'])

const isSlow = (reason: CloseReason): boolean => reason === 'handshake-timeout' || reason === 'no-echo'

async function checkCase ({ name, reason, act }: Case, target: TestMesh, other: TestMesh): Promise<void> {
  const before = closings(target).length
  const startedAt = performance.now()
  const raw = await connectRaw(target.vm.peers)
  // A refused handshake leaves the raw peer waiting for a welcome.
  act(raw).catch(error => assert.unreachable(`${name}: ${String(error)}`))
  await waitFor(`${name}: closing`, () => closings(target).length > before, 3000)
  assert.is(closings(target).at(-1), reason, name)
  if (isSlow(reason)) assert.ok(performance.now() - startedAt >= 1900, `${name}: closed early`)
  assert.equal(target.mesh.contacts().map(({ vm }) => vm), ['healthy'], name)
  assert.is(other.mesh.send('target', count, 1), true, name)
  raw.socket.terminate()
}

/** Starts a mesh with one healthy link, which must stay open whatever other peers do. */
async function withTarget (use: (target: TestMesh, other: TestMesh) => Promise<void>): Promise<void> {
  const target = await startTarget()
  const other = await startMesh('healthy', () => [target.vm], {}, mesh => {
    mesh.attach({ channel: size, write: () => 1, read: () => {} })
  })
  try {
    await waitFor('healthy link', () => target.mesh.contacts().length === 1 && other.mesh.contacts().length === 1)
    await use(target, other)
  } finally {
    await Promise.all([target.stop(), other.stop()])
  }
}

for (const fault of cases) {
  // Guards against a fault of one peer that is not detected, ends the process or closes another link.
  faults(`${fault.name} closes the link as ${fault.reason} and no other link`, () =>
    withTarget((target, other) => checkCase(fault, target, other)))
}

// Guards against a rolling upgrade that splits the fleet because adjacent versions refuse each other.
faults('a peer with the previous version is accepted and a peer with both versions gets the newer one', async () => {
  await withTarget(async target => {
    for (const [oldest, newest, expected] of [
      [PROTOCOL_VERSION - 1, PROTOCOL_VERSION - 1, PROTOCOL_VERSION - 1],
      [PROTOCOL_VERSION - 1, PROTOCOL_VERSION, PROTOCOL_VERSION],
      [PROTOCOL_VERSION, PROTOCOL_VERSION + 1, PROTOCOL_VERSION]
    ] as const) {
      const raw = await connectRaw(target.vm.peers)
      const session = await raw.performHandshake({ versions: { oldest, newest } })
      assert.is(session.version, expected)
      raw.send(session, raw.heartbeat(0))
      await waitFor('contact', () => target.mesh.contacts().some(({ vm }) => vm === 'raw'))
      raw.socket.terminate()
      await waitFor('end', () => !target.mesh.contacts().some(({ vm }) => vm === 'raw'))
    }
  })
})

// Guards against unbounded memory growth when a peer does not read.
faults('the link to a peer that does not read is closed when the send buffer is full', async () => {
  const text: Channel<string> = { kind: 'text', parse: value => ok(String(value)) }
  await withTarget(async target => {
    const raw = await connectRaw(target.vm.peers)
    await openLink(raw)
    await waitFor('contact', () => target.mesh.contacts().some(({ vm }) => vm === 'raw'))
    raw.socket.pause()
    let sent = 0
    while (sent < 1000 && target.mesh.send('raw', text, 'x'.repeat(100_000))) sent++
    assert.ok(sent < 1000)
    await waitFor('closing', () => closings(target).includes('send-buffer-full'))
    raw.socket.terminate()
  })
})

interface ServerCase {
  readonly name: string
  readonly reason: CloseReason
  readonly answer: (hello: Uint8Array) => Uint8Array | undefined
}

const serverCases: readonly ServerCase[] = [
  {
    name: 'a listener with a wrong key',
    reason: 'wrong-key',
    answer: hello => answerHello(Buffer.from('another key'), { vm: testVM('b'), incarnation: '1' }, hello)._unsafeUnwrap().welcome
  },
  {
    name: 'a listener that is another VM',
    reason: 'wrong-vm',
    answer: hello => answerHello(TEST_KEY, { vm: testVM('c'), incarnation: '1' }, hello)._unsafeUnwrap().welcome
  },
  { name: 'a listener with a malformed welcome', reason: 'handshake-malformed', answer: () => encode([1]) },
  { name: 'a listener that does not answer', reason: 'handshake-timeout', answer: () => undefined }
]

for (const { name, reason, answer } of serverCases) {
  // Guards against trusting any process that listens at the address of a peer.
  faults(`${name} is not trusted: ${reason}`, async () => {
    const server = new WebSocketServer({ host: '127.0.0.1', port: 0 })
    await new Promise(resolve => server.once('listening', resolve))
    const { port } = server.address() as { port: number }
    server.on('connection', socket => socket.on('message', hello => {
      const welcome = answer(hello as Buffer)
      if (welcome !== undefined) socket.send(welcome)
    }))
    const a = await startMesh('a', () => [testVM('b', port)])
    await waitFor('closing', () => closings(a).length > 0)
    assert.is(closings(a)[0], reason)
    assert.equal(a.mesh.contacts(), [])
    await a.stop()
    for (const client of server.clients) client.terminate()
    await new Promise(resolve => server.close(resolve))
  })
}

faults.run()
