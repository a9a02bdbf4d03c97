/**
 * TCP relays in front of the peer listeners of a fleet of processes. They simulate one-way partitions:
 * bytes in a cut direction are delayed and not lost, because TCP retransmits until the path is restored.
 */
import { connect, createServer, type Server, type Socket } from 'node:net'
import type { VM } from '../../src/model/index.js'

/** Port of the peer listeners behind the relays. */
export const LISTEN_PEERS_PORT = 8181

/** The relays of all VMs. */
export interface PeerRelays {
  /** Delays all bytes from `from` to `to`, on links dialled by either VM. */
  readonly cut: (from: string, to: string) => void
  /** Forwards in all directions again, beginning with the delayed bytes. */
  readonly heal: () => void
  readonly close: () => Promise<void>
}

const HEAD_END = '\r\n\r\n'
const MASK_BYTES = 4
const VM_NAME_PATTERN = /entry-\d+/

/** Returns the payload of a client's first WebSocket frame, or undefined while the frame is incomplete. */
function readFirstFrame (bytes: Buffer): Buffer | undefined {
  const size = (bytes[1] ?? 0) & 0x7f
  const extraBytes = size === 126 ? 2 : 0
  const length = extraBytes === 0 ? size : bytes.length >= 4 ? bytes.readUInt16BE(2) : Infinity
  const start = 2 + extraBytes + MASK_BYTES
  if (bytes.length < start + length) return undefined
  const mask = bytes.subarray(start - MASK_BYTES, start)
  return Buffer.from(bytes.subarray(start, start + length).map((byte, i) => byte ^ (mask[i % MASK_BYTES] ?? 0)))
}

/** One direction of a relayed connection. */
interface Direction {
  readonly from: string
  readonly to: string
  readonly source: Socket
  readonly sink: Socket
}

/** Opens a relay at `vm.peers` of each VM. The dialling VM is identified by the name in its first message. */
export async function openPeerRelays (vms: readonly VM[]): Promise<PeerRelays> {
  const cuts = new Set<string>()
  const directions = new Set<Direction>()
  const sockets = new Set<Socket>()
  const isCut = ({ from, to }: Direction): boolean => cuts.has(`${from}>${to}`)

  const applyCut = (direction: Direction): void => {
    const { source, sink } = direction
    if (isCut(direction)) source.pause()
    else if (source.closed) sink.destroy()
    else source.resume()
  }
  const startForwarding = (direction: Direction): void => {
    const { source, sink } = direction
    directions.add(direction)
    source.on('data', data => { sink.write(data) })
    // A cut also delays the close of a connection.
    source.on('close', () => { if (!isCut(direction)) sink.destroy() })
    sink.on('close', () => directions.delete(direction))
    applyCut(direction)
  }
  const track = (socket: Socket): void => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => sockets.delete(socket))
  }
  /** Forwards the WebSocket upgrade request, and buffers the first frame until it identifies the dialling VM. */
  const identifyDialler = (to: string, inbound: Socket, outbound: Socket): void => {
    let bytes = Buffer.alloc(0)
    let isUpgraded = false
    let isJoined = false
    const onData = (data: Buffer): void => {
      bytes = Buffer.concat([bytes, data])
      const headEnd = isUpgraded ? -1 : bytes.indexOf(HEAD_END)
      if (headEnd >= 0) {
        isUpgraded = true
        outbound.write(bytes.subarray(0, headEnd + HEAD_END.length))
        bytes = bytes.subarray(headEnd + HEAD_END.length)
      }
      const from = isUpgraded ? VM_NAME_PATTERN.exec(readFirstFrame(bytes)?.toString('latin1') ?? '')?.[0] : undefined
      if (from === undefined) return
      inbound.off('data', onData)
      outbound.off('data', onResponse)
      isJoined = true
      inbound.pause()
      if (bytes.length > 0) inbound.unshift(bytes)
      startForwarding({ from, to, source: inbound, sink: outbound })
      startForwarding({ from: to, to: from, source: outbound, sink: inbound })
    }
    const onResponse = (data: Buffer): void => { inbound.write(data) }
    inbound.on('data', onData)
    outbound.on('data', onResponse)
    inbound.on('close', () => { if (!isJoined) outbound.destroy() })
    outbound.on('close', () => { if (!isJoined) inbound.destroy() })
  }
  const openRelay = (vm: VM): Promise<Server> => new Promise((resolve, reject) => {
    const server = createServer(inbound => {
      const outbound = connect(LISTEN_PEERS_PORT, vm.peers.address)
      track(inbound)
      track(outbound)
      identifyDialler(vm.name, inbound, outbound)
    })
    server.once('error', reject)
    server.listen(vm.peers.port, vm.peers.address, () => resolve(server))
  })
  const servers = await Promise.all(vms.map(openRelay))
  return {
    cut: (from, to) => {
      cuts.add(`${from}>${to}`)
      for (const direction of directions) applyCut(direction)
    },
    heal: () => {
      cuts.clear()
      for (const direction of directions) applyCut(direction)
    },
    close: async () => {
      for (const socket of sockets) socket.destroy()
      await Promise.all(servers.map(server => new Promise(resolve => { server.close(resolve) })))
    }
  }
}
