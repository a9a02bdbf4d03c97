/** In-memory links between VMs: ordered in each direction, with cuts, delays and message loss. */
import type { Channel, Contact, Mesh, Peer } from '../../src/model/index.js'
import type { Random } from '../random.js'

/** A simulated network with fault injection. */
export interface Network {
  /** Connects a process and disconnects an earlier one of the same VM. */
  readonly attach: (peer: Peer) => Mesh
  /** Drops messages in one direction. */
  readonly cut: (from: string, to: string) => void
  readonly heal: (from: string, to: string) => void
  readonly healAll: () => void
  /** Sets the fraction of messages that are lost, and the maximum of the random extra delay, in ms. */
  readonly setImpairment: (lossRate: number, delayMs: number) => void
  /** Delivers the messages that are due. Messages to paused VMs are held back. */
  readonly deliver: (now: number, isPaused: (vm: string) => boolean) => void
  /** Bytes sent so far, as measured by `measureBytes`. */
  readonly sentBytes: () => number
}

interface Message {
  readonly dueAt: number
  readonly from: Peer
  readonly to: Peer
  readonly kind: string
  readonly body: unknown
}

type Handler = (from: Peer, body: unknown) => void

const DIRECTIONS = 2
/** Interval of the heartbeats that update `lastEchoAt` of the contacts. */
const HEARTBEAT_MS = 100

/**
 * Creates a network in which every VM has a link to every other one.
 *
 * Every message is validated by its channel, as on a real link; `send` throws if it is invalid.
 *
 * @param latencyMs one-way latency
 */
export function createNetwork (latencyMs: number, random: Random, measureBytes: (body: unknown) => number = () => 0): Network {
  const peers = new Map<string, Peer>()
  const handlers = new Map<string, Map<string, Handler>>()
  const cuts = new Set<string>()
  const lastDueAt = new Map<string, number>()
  const lastEchoes = new Map<string, number>()
  let inTransit: Message[] = []
  let currentTime = 0
  let lastHeartbeatAt = -Infinity
  let loss = 0
  let extraDelayMs = 0
  let bytes = 0

  const direction = (from: string, to: string): string => `${from}>${to}`
  const enqueue = (from: Peer, to: Peer, kind: string, body: unknown): void => {
    bytes += measureBytes(body)
    if (cuts.has(direction(from.vm, to.vm)) || random() < loss) return
    const key = direction(from.vm, to.vm)
    const dueAt = Math.max(lastDueAt.get(key) ?? 0, currentTime + latencyMs + random() * extraDelayMs)
    lastDueAt.set(key, dueAt)
    inTransit.push({ dueAt, from, to, kind, body })
  }
  const updateEchoes = (now: number, isPaused: (vm: string) => boolean): void => {
    for (const a of peers.keys()) {
      for (const b of peers.keys()) {
        const isOpen = !cuts.has(direction(a, b)) && !cuts.has(direction(b, a)) && !isPaused(a) && !isPaused(b)
        if (isOpen) lastEchoes.set(direction(a, b), now)
      }
    }
  }
  return {
    attach: peer => {
      peers.set(peer.vm, peer)
      const ownHandlers = new Map<string, Handler>()
      handlers.set(peer.incarnation, ownHandlers)
      return {
        send: <Body>(vm: string, channel: Channel<Body>, body: Body) => {
          const to = peers.get(vm)
          if (to === undefined || peers.get(peer.vm) !== peer) return false
          const checked = channel.parse(body)
          if (checked.isErr()) throw new Error(`${channel.kind}: ${checked.error}`)
          enqueue(peer, to, channel.kind, body)
          return true
        },
        subscribe: (channel, handler) => { ownHandlers.set(channel.kind, handler as Handler) },
        contacts: () => [...peers.values()].filter(other => other.vm !== peer.vm).map((other): Contact => ({
          ...other, lastEchoAt: lastEchoes.get(direction(peer.vm, other.vm)) ?? -Infinity, roundTripMs: DIRECTIONS * latencyMs
        }))
      }
    },
    cut: (from, to) => { cuts.add(direction(from, to)) },
    heal: (from, to) => { cuts.delete(direction(from, to)) },
    healAll: () => { cuts.clear() },
    setImpairment: (lossRate, delayMs) => {
      loss = lossRate
      extraDelayMs = delayMs
    },
    deliver: (now, isPaused) => {
      currentTime = now
      if (now - lastHeartbeatAt >= HEARTBEAT_MS) {
        updateEchoes(now, isPaused)
        lastHeartbeatAt = now
      }
      const due = inTransit.filter(({ dueAt, to }) => dueAt <= now && !isPaused(to.vm))
      if (due.length === 0) return
      inTransit = inTransit.filter(({ dueAt, to }) => dueAt > now || isPaused(to.vm))
      for (const { from, to, kind, body } of due.toSorted((a, b) => a.dueAt - b.dueAt)) {
        if (peers.get(to.vm) === to) handlers.get(to.incarnation)?.get(kind)?.(from, body)
      }
    },
    sentBytes: () => bytes
  }
}
