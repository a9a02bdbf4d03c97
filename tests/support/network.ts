/** Links between simulated VMs: the real heartbeats and checks without sockets. */
import type { Log } from '../../src/log/index.js'
import type { Contact, Peer, VM } from '../../src/model/index.js'
import type { LinkMesh, LinkObserver } from '../../src/peer/index.js'
import { decode, encode } from '../../src/peer/codec.js'
import { createDispatcher, type Dispatcher } from '../../src/peer/dispatcher.js'
import { createHeartbeatTracker, type HeartbeatTracker } from '../../src/peer/heartbeat-tracker.js'
import type { Schedule } from './schedule.js'

const LATENCY_MS = 2
const HEARTBEAT_MS = 500
const CHECK_MS = 250

/** One simulated process with its links. */
export interface Node {
  readonly vm: VM
  readonly incarnation: string
  readonly mesh: LinkMesh
  readonly dispatch: Dispatcher
  readonly observers: LinkObserver[]
  readonly ends: Map<string, End>
  /** Asked every 250 ms. */
  wanted: () => readonly VM[]
  isAlive: boolean
  isFrozen: boolean
  /** What arrived while the process was frozen. */
  readonly backlog: Array<() => void>
}

/** One side of a link. */
interface End {
  readonly node: Node
  readonly peer: Node
  readonly pulse: HeartbeatTracker
  readonly other: () => End | undefined
  isOpen: boolean
}

/** The simulated network. */
export interface Network {
  readonly join: (vm: VM, incarnation: string, log: Log) => Node
  /** Ends a process: its links close at the peers that it still reaches. */
  readonly kill: (node: Node) => void
  /** Cuts or heals the direction from one VM to another; what is sent meanwhile is held back. */
  readonly setCut: (from: string, to: string, isCut: boolean) => void
  readonly isCut: (from: string, to: string) => boolean
  /** Messages sent so far, by kind. */
  readonly sent: () => ReadonlyMap<string, number>
  /** Runs a process's work now, or when it is resumed. */
  readonly whenRunning: (node: Node, run: () => void) => void
}

/** Creates a network without VMs. */
export function createNetwork (schedule: Schedule): Network {
  const nodes = new Map<string, Node>()
  const cuts = new Set<string>()
  const held = new Map<string, Array<() => void>>()
  const sent = new Map<string, number>()
  const keyOf = (from: string, to: string): string => `${from}>${to}`
  const isCut = (from: string, to: string): boolean => cuts.has(keyOf(from, to))
  const peerOf = (node: Node): Peer => ({ vm: node.vm.name, incarnation: node.incarnation })

  const whenRunning = (node: Node, run: () => void): void => {
    if (!node.isAlive) return
    if (node.isFrozen) node.backlog.push(run)
    else run()
  }
  /** Carries something over a direction, in order, as TCP does. */
  const carry = (from: Node, to: Node, run: () => void): void => {
    const key = keyOf(from.vm.name, to.vm.name)
    if (cuts.has(key)) held.set(key, [...held.get(key) ?? [], run])
    else schedule.after(LATENCY_MS, () => whenRunning(to, run))
  }
  const close = (end: End): void => {
    if (!end.isOpen) return
    end.isOpen = false
    end.node.ends.delete(end.peer.vm.name)
    for (const observer of end.node.observers) observer.closed?.(peerOf(end.peer))
    const other = end.other()
    if (other !== undefined) carry(end.node, end.peer, () => close(other))
  }
  const receive = (end: End, data: Uint8Array): void => {
    if (!end.isOpen) return
    const now = schedule.now()
    const from = peerOf(end.peer)
    const decoded = decode(data)._unsafeUnwrap() as readonly [string, never]
    if (decoded[0] !== 'heartbeat') {
      end.node.dispatch.message(from, decoded[0], decoded[1])._unsafeUnwrap()
      return
    }
    const [sequence, echo, heldMs, attachments] = decoded[1] as readonly [number, number, number, Readonly<Record<string, unknown>>]
    const writtenAt = end.pulse.receive({ sequence, echo, heldMs, attachments }, now)._unsafeUnwrap()
    end.node.dispatch.read(from, attachments, writtenAt, now)._unsafeUnwrap()
    if (end.pulse.received() === 1) sendHeartbeat(end)
  }
  const transmit = (end: End, kind: string, body: unknown): boolean => {
    const other = end.other()
    const data = encode([kind, body])
    sent.set(kind, (sent.get(kind) ?? 0) + 1)
    if (other !== undefined) carry(end.node, end.peer, () => receive(other, data))
    return true
  }
  const sendHeartbeat = (end: End): void => {
    const now = schedule.now()
    const attachments = end.node.dispatch.write(end.peer.vm.name, now)
    const { sequence, echo, heldMs } = end.pulse.next(now)
    transmit(end, 'heartbeat', [sequence, echo, heldMs, attachments])
  }
  const beat = (end: End, checks: number, plannedAt: number): void => {
    if (!end.isOpen || !end.node.isAlive) return
    const now = schedule.now()
    if (now - plannedAt > 1000) end.pulse.restartEchoTimeout(now)
    if (end.pulse.isEchoOverdue(now)) return close(end)
    if (checks % (HEARTBEAT_MS / CHECK_MS) === 0) sendHeartbeat(end)
    const nextAt = now + CHECK_MS
    schedule.at(nextAt, () => whenRunning(end.node, () => beat(end, checks + 1, nextAt)))
  }
  const open = (a: Node, b: Node): void => {
    const now = schedule.now()
    const ends: End[] = []
    for (const [index, node] of [a, b].entries()) {
      const peer = index === 0 ? b : a
      const end: End = { node, peer, pulse: createHeartbeatTracker(now, now), other: () => ends[1 - index], isOpen: true }
      ends.push(end)
    }
    for (const end of ends) {
      // A link of the predecessor that the peer has not noticed yet ends now.
      const previous = end.node.ends.get(end.peer.vm.name)
      if (previous !== undefined) close(previous)
      end.node.ends.set(end.peer.vm.name, end)
    }
    for (const end of ends) for (const observer of end.node.observers) observer.opened?.(peerOf(end.peer), end.peer.vm)
    for (const end of ends) beat(end, 0, now)
  }
  const canRun = (node: Node | undefined): node is Node => node !== undefined && node.isAlive && !node.isFrozen
  const hasLink = (a: Node, b: Node): boolean => {
    const end = a.ends.get(b.vm.name)
    return end !== undefined && end.isOpen && end.peer === b && b.ends.get(a.vm.name)?.peer === a
  }
  const dial = (node: Node): void => {
    if (!node.isAlive) return
    schedule.after(CHECK_MS, () => dial(node))
    if (node.isFrozen) return
    for (const { name } of node.wanted()) {
      const peer = nodes.get(name)
      if (!canRun(peer) || hasLink(node, peer)) continue
      if (!isCut(node.vm.name, name) && !isCut(name, node.vm.name)) open(node, peer)
    }
  }

  return {
    join: (vm, incarnation, log) => {
      const dispatch = createDispatcher(log)
      const observers: LinkObserver[] = []
      const ends = new Map<string, End>()
      const contacts = (): readonly Contact[] => [...ends.values()].map(end => (
        { ...peerOf(end.peer), lastEchoAt: end.pulse.lastEchoAt(), roundTripMs: end.pulse.roundTripMs() }
      ))
      const mesh: LinkMesh = {
        send: (to, channel, body) => {
          const end = ends.get(to)
          return end === undefined ? false : transmit(end, channel.kind, body)
        },
        subscribe: dispatch.subscribe,
        contacts,
        attach: dispatch.attach,
        observe: observer => { observers.push(observer) }
      }
      const node: Node = {
        vm, incarnation, mesh, dispatch, observers, ends, wanted: () => [], isAlive: true, isFrozen: false, backlog: []
      }
      nodes.set(vm.name, node)
      schedule.after(1, () => dial(node))
      return node
    },
    kill: node => {
      for (const end of [...node.ends.values()]) close(end)
      node.isAlive = false
    },
    setCut: (from, to, cut) => {
      const key = keyOf(from, to)
      if (cut) {
        cuts.add(key)
        return
      }
      cuts.delete(key)
      const target = nodes.get(to)
      const late = held.get(key) ?? []
      held.delete(key)
      if (target !== undefined) for (const run of late) schedule.after(LATENCY_MS, () => whenRunning(target, run))
    },
    isCut,
    sent: () => new Map(sent),
    whenRunning
  }
}
