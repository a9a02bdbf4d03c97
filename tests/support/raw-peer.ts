/** A peer that the test controls message by message, to violate the peer protocol. */
import { WebSocket } from 'ws'
import { encode } from '../../src/peer/codec.js'
import { createDiallerHandshake, type Identity, type Session, type VersionRange } from '../../src/peer/handshake.js'
import type { Endpoint } from '../../src/model/index.js'
import { TEST_KEY, testVM } from './mesh-vm.js'

/** A raw connection to a mesh. */
export interface RawPeer {
  readonly socket: WebSocket
  /** Returns the next message from the mesh. */
  readonly next: () => Promise<Uint8Array>
  /** Seals a message with the session of a completed handshake and sends it. */
  readonly send: (session: Session, message: unknown) => void
  /** Performs the handshake up to the welcome message, without the first frame. */
  readonly performHandshake: (options?: { readonly key?: Uint8Array, readonly name?: string, readonly versions?: VersionRange, readonly incarnation?: string }) => Promise<Session>
  /** Creates a heartbeat without attachments. */
  readonly heartbeat: (sequence: number, echo?: number) => unknown
}

/** Opens a raw connection to a mesh. */
export async function connectRaw ({ address, port }: Endpoint): Promise<RawPeer> {
  const socket = new WebSocket(`ws://${address}:${port}`, { perMessageDeflate: false })
  const received: Uint8Array[] = []
  const waiting: Array<(data: Uint8Array) => void> = []
  socket.on('message', data => {
    const resume = waiting.shift()
    if (resume === undefined) received.push(data as Buffer)
    else resume(data as Buffer)
  })
  socket.on('error', () => {})
  await new Promise(resolve => socket.once('open', resolve))
  const next = (): Promise<Uint8Array> => {
    const data = received.shift()
    return data === undefined ? new Promise(resolve => { waiting.push(resolve) }) : Promise.resolve(data)
  }
  return {
    socket,
    next,
    send: (session, message) => socket.send(session.seal(encode(message))),
    performHandshake: async ({ key = TEST_KEY, name = 'raw', versions, incarnation = '1-raw' } = {}) => {
      const identity: Identity = { vm: testVM(name), incarnation }
      const handshake = createDiallerHandshake(key, identity, versions)
      socket.send(handshake.hello)
      return handshake.finish(await next())._unsafeUnwrap()
    },
    heartbeat: (sequence, echo = -1) => ['heartbeat', [sequence, echo, 0, {}]]
  }
}
