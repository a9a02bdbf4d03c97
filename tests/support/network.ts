/** Links between simulated VMs, with the real heartbeats and timeouts but without sockets. */
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

/** A simulated process and its links. */
export interface SimulatedProcess {
  readonly vm: VM
  readonly incarnation: string
  readonly mesh: LinkMesh
  readonly dispatch: Dispatcher
  readonly observers: LinkObserver[]
  readonly ends: Map<string, LinkEnd>
  /** VMs to which links are wanted. Called every 250 ms. */
  wanted: () => readonly VM[]
  isAlive: boolean
  isFrozen: boolean
  /** Events that arrived while the process was frozen. */
  readonly backlog: Array<() => void>
}

/** One side of a link. */
interface LinkEnd {
  readonly process: SimulatedProcess
  readonly peer: SimulatedProcess
  readonly heartbeats: HeartbeatTracker
  readonly other: () => LinkEnd | undefined
  isOpen: boolean
}

/** A simulated network. */
export interface Network {
  readonly join: (vm: VM, incarnation: string, log: Log) => SimulatedProcess
  /** Ends a process. Its links are closed at the peers that it still reaches. */
  readonly kill: (process: SimulatedProcess) => void
  /** Cuts or heals one direction between two VMs. Messages sent during a cut are delivered after it is healed. */
  readonly setCut: (from: string, to: string, isCut: boolean) => void
  readonly isCut: (from: string, to: string) => boolean
  /** Number of sent messages by kind. */
  readonly sent: () => ReadonlyMap<string, number>
  /** Runs a callback of a process immediately, or after the process is resumed if it is frozen. */
  readonly whenRunning: (process: SimulatedProcess, run: () => void) => void
}

/** Creates a network without VMs. */
export function createNetwork (schedule: Schedule): Network {
  const processes = new Map<string, SimulatedProcess>()
  const cuts = new Set<string>()
  const heldBack = new Map<string, Array<() => void>>()
  const sent = new Map<string, number>()
  const keyOf = (from: string, to: string): string => `${from}>${to}`
  const isCut = (from: string, to: string): boolean => cuts.has(keyOf(from, to))
  const peerOf = (process: SimulatedProcess): Peer => ({ vm: process.vm.name, incarnation: process.incarnation })

  const whenRunning = (process: SimulatedProcess, run: () => void): void => {
    if (!process.isAlive) return
    if (process.isFrozen) process.backlog.push(run)
    else run()
  }
  /** Delivers events in one direction in order, like TCP. */
  const deliver = (from: SimulatedProcess, to: SimulatedProcess, run: () => void): void => {
    const key = keyOf(from.vm.name, to.vm.name)
    if (cuts.has(key)) heldBack.set(key, [...heldBack.get(key) ?? [], run])
    else schedule.after(LATENCY_MS, () => whenRunning(to, run))
  }
  const close = (end: LinkEnd): void => {
    if (!end.isOpen) return
    end.isOpen = false
    end.process.ends.delete(end.peer.vm.name)
    for (const observer of end.process.observers) observer.closed?.(peerOf(end.peer))
    const other = end.other()
    if (other !== undefined) deliver(end.process, end.peer, () => close(other))
  }
  const receive = (end: LinkEnd, data: Uint8Array): void => {
    if (!end.isOpen) return
    const now = schedule.now()
    const from = peerOf(end.peer)
    const decoded = decode(data)._unsafeUnwrap() as readonly [string, never]
    if (decoded[0] !== 'heartbeat') {
      end.process.dispatch.message(from, decoded[0], decoded[1])._unsafeUnwrap()
      return
    }
    const [sequence, echo, heldMs, attachments] = decoded[1] as readonly [number, number, number, Readonly<Record<string, unknown>>]
    const writtenAt = end.heartbeats.receive({ sequence, echo, heldMs, attachments }, now)._unsafeUnwrap()
    end.process.dispatch.read(from, attachments, writtenAt, now)._unsafeUnwrap()
    if (end.heartbeats.received() === 1) sendHeartbeat(end)
  }
  const transmit = (end: LinkEnd, kind: string, body: unknown): boolean => {
    const other = end.other()
    const data = encode([kind, body])
    sent.set(kind, (sent.get(kind) ?? 0) + 1)
    if (other !== undefined) deliver(end.process, end.peer, () => receive(other, data))
    return true
  }
  const sendHeartbeat = (end: LinkEnd): void => {
    const now = schedule.now()
    const attachments = end.process.dispatch.write(end.peer.vm.name, now)
    const { sequence, echo, heldMs } = end.heartbeats.next(now)
    transmit(end, 'heartbeat', [sequence, echo, heldMs, attachments])
  }
  const runHeartbeats = (end: LinkEnd, checks: number, plannedAt: number): void => {
    if (!end.isOpen || !end.process.isAlive) return
    const now = schedule.now()
    if (now - plannedAt > 1000) end.heartbeats.restartEchoTimeout(now)
    if (end.heartbeats.isEchoOverdue(HEARTBEAT_MS, now)) return close(end)
    if (checks % (HEARTBEAT_MS / CHECK_MS) === 0) sendHeartbeat(end)
    const nextAt = now + CHECK_MS
    schedule.at(nextAt, () => whenRunning(end.process, () => runHeartbeats(end, checks + 1, nextAt)))
  }
  const open = (a: SimulatedProcess, b: SimulatedProcess): void => {
    const now = schedule.now()
    const ends: LinkEnd[] = []
    for (const [index, process] of [a, b].entries()) {
      const peer = index === 0 ? b : a
      const end: LinkEnd = { process, peer, heartbeats: createHeartbeatTracker(now, now), other: () => ends[1 - index], isOpen: true }
      ends.push(end)
    }
    for (const end of ends) {
      // Closes a link to the previous process of the VM whose end the peer has not detected yet.
      const previous = end.process.ends.get(end.peer.vm.name)
      if (previous !== undefined) close(previous)
      end.process.ends.set(end.peer.vm.name, end)
    }
    for (const end of ends) for (const observer of end.process.observers) observer.opened?.(peerOf(end.peer), end.peer.vm)
    for (const end of ends) runHeartbeats(end, 0, now)
  }
  const canRun = (process: SimulatedProcess | undefined): process is SimulatedProcess => process !== undefined && process.isAlive && !process.isFrozen
  const hasLink = (a: SimulatedProcess, b: SimulatedProcess): boolean => {
    const end = a.ends.get(b.vm.name)
    return end !== undefined && end.isOpen && end.peer === b && b.ends.get(a.vm.name)?.peer === a
  }
  const dial = (process: SimulatedProcess): void => {
    if (!process.isAlive) return
    schedule.after(CHECK_MS, () => dial(process))
    if (process.isFrozen) return
    for (const { name } of process.wanted()) {
      const peer = processes.get(name)
      if (!canRun(peer) || hasLink(process, peer)) continue
      if (!isCut(process.vm.name, name) && !isCut(name, process.vm.name)) open(process, peer)
    }
  }

  return {
    join: (vm, incarnation, log) => {
      const dispatch = createDispatcher(log)
      const observers: LinkObserver[] = []
      const ends = new Map<string, LinkEnd>()
      const contacts = (): readonly Contact[] => [...ends.values()].map(end => (
        { ...peerOf(end.peer), lastEchoAt: end.heartbeats.lastEchoAt(), roundTripMs: end.heartbeats.roundTripMs() }
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
      const process: SimulatedProcess = {
        vm, incarnation, mesh, dispatch, observers, ends, wanted: () => [], isAlive: true, isFrozen: false, backlog: []
      }
      processes.set(vm.name, process)
      schedule.after(1, () => dial(process))
      return process
    },
    kill: process => {
      for (const end of [...process.ends.values()]) close(end)
      process.isAlive = false
    },
    setCut: (from, to, cut) => {
      const key = keyOf(from, to)
      if (cut) {
        cuts.add(key)
        return
      }
      cuts.delete(key)
      const target = processes.get(to)
      const delayed = heldBack.get(key) ?? []
      heldBack.delete(key)
      if (target !== undefined) for (const run of delayed) schedule.after(LATENCY_MS, () => whenRunning(target, run))
    },
    isCut,
    sent: () => new Map(sent),
    whenRunning
  }
}
