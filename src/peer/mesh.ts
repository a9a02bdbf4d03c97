/** Opens, accepts and maintains the links between this VM and its peers. */
import { createServer } from 'node:http'
import type { Socket } from 'node:net'
import { Effect, Fiber } from 'effect'
import { WebSocket, WebSocketServer } from 'ws'
import type { Log } from '../log/index.js'
import type { Clock, Endpoint, Mesh, Peer, VM } from '../model/index.js'
import { DIAL_CHECK_INTERVAL_MS, FRAME_LIMIT_BYTES, HANDSHAKE_TIMEOUT_MS, HEARTBEAT_INTERVAL_MS, MAX_PENDING_HANDSHAKES, UNWANTED_LINK_TIMEOUT_MS } from './constants.js'
import { createDialler } from './dialler.js'
import { createDispatcher, type Attachment } from './dispatcher.js'
import { linkFailure } from './failure.js'
import { runLink, type Link, type LinkContext, type Role } from './link.js'
import { createLinkTable } from './link-table.js'
import { createTraffic, type TrafficTotals } from './traffic.js'
import { createConnection } from './connection.js'

/** Notified when links open and close, for example to send the current state to a new peer. */
export interface LinkObserver {
  readonly opened?: (from: Peer, vm: VM) => void
  /** Called when the last link to a peer has closed. */
  readonly closed?: (from: Peer) => void
}

/** The mesh for modules that attach values to its heartbeats or observe its links. */
export interface LinkMesh extends Mesh {
  /** Adds a value to each heartbeat. Each kind can be attached only once. */
  readonly attach: <Body>(attachment: Attachment<Body>) => void
  readonly observe: (observer: LinkObserver) => void
}

/** Why the listener could not be opened. */
export interface ListenFailure {
  readonly detail: string
}

/** The mesh for its owner, which starts and stops it. */
export interface PeerMesh extends LinkMesh {
  /** Opens the listener and starts dialling. The result contains the actual port. */
  readonly listen: () => Effect.Effect<Endpoint, ListenFailure>
  /** Closes the listener and all links. */
  readonly stop: () => Effect.Effect<void>
  readonly traffic: () => TrafficTotals
  /** Protocol version of the link that is used for sending to a VM; undefined without a link. */
  readonly protocolVersion: (vm: string) => number | undefined
}

/** Settings of a mesh. */
export interface MeshOptions {
  readonly self: VM
  /** Where to listen. Default: `self.peers`, the address that other VMs dial. */
  readonly listenAt?: Endpoint | undefined
  readonly incarnation: string
  /** The shared key of the fleet. */
  readonly key: Uint8Array
  /** Returns the VMs to keep links to. Called every 250 ms, or less often with `linkedCheckIntervalMs`. */
  readonly wanted: () => readonly VM[]
  readonly log: Log
  readonly clock: Clock
  /** Whether the incarnation of a peer is not older than the latest known one. Default: always true. */
  readonly isCurrent?: (peer: Peer) => boolean
  /** Time without a link after which the VM with the higher name dials, in ms. Default: 2000, which suits meshes where both VMs want the link. */
  readonly secondDialDelayMs?: number
  /** Interval between heartbeats to a peer, in ms. Default: 500. */
  readonly heartbeatIntervalMs?: (peer: string) => number
  /** Interval between calls of `wanted` while there are links to all wanted VMs, in ms. Default: 250. */
  readonly linkedCheckIntervalMs?: number
  /** Returns numbers from 0 to below 1, for jitter. Default: `Math.random`. */
  readonly random?: () => number
}

/**
 * Creates the mesh of a VM. Register all handlers before calling `listen`.
 *
 * @example
 * const mesh = createMesh({ self, incarnation, key, wanted: () => peers, log, clock })
 * mesh.subscribe(quarantine, (from, body) => { … })
 * await Effect.runPromise(mesh.listen())
 */
export function createMesh (options: MeshOptions): PeerMesh {
  const { self, log, clock } = options
  const traffic = createTraffic()
  const dispatcher = createDispatcher(log)
  const links = createLinkTable(self.name)
  const dialler = createDialler(self.name, options.random ?? Math.random, options.secondDialDelayMs)
  const observers: LinkObserver[] = []
  const fibers = new Set<Fiber.Fiber<unknown, unknown>>()
  const unwantedSince = new Map<Link, number>()
  const server = createServer()
  /** Accepted connections, destroyed on stop. A peer that is cut off may never send the WebSocket upgrade. */
  const sockets = new Set<Socket>()
  server.on('connection', socket => {
    sockets.add(socket)
    socket.once('close', () => sockets.delete(socket))
  })
  let pendingHandshakes = 0
  let isStopped = false

  const peerOf = (link: Link): Peer => ({ vm: link.peer.vm.name, incarnation: link.peer.incarnation })

  const context: LinkContext = {
    self: { vm: self, incarnation: options.incarnation },
    key: options.key,
    clock,
    log,
    dispatcher,
    isCurrent: options.isCurrent ?? (() => true),
    heartbeatIntervalMs: options.heartbeatIntervalMs ?? (() => HEARTBEAT_INTERVAL_MS),
    opened: link => {
      links.add(link)
      for (const observer of observers) observer.opened?.(peerOf(link), link.peer.vm)
    },
    closed: link => {
      links.remove(link)
      unwantedSince.delete(link)
      if (links.current(link.peer.vm.name) !== undefined) return
      for (const observer of observers) observer.closed?.(peerOf(link))
    }
  }

  const fork = (effect: Effect.Effect<unknown>): void => {
    const fiber = Effect.runFork(effect)
    fibers.add(fiber)
    fiber.addObserver(() => fibers.delete(fiber))
  }
  const run = (socket: WebSocket, role: Role, address: string): Effect.Effect<boolean> =>
    runLink(context, createConnection(socket, traffic), role, address)

  const dial = (vm: VM): void => {
    const { address, port } = vm.peers
    const host = address.includes(':') ? `[${address}]` : address
    const startedAt = clock()
    const socket = new WebSocket(`ws://${host}:${port}`, {
      maxPayload: FRAME_LIMIT_BYTES,
      perMessageDeflate: false,
      handshakeTimeout: HANDSHAKE_TIMEOUT_MS
    })
    fork(run(socket, { dial: vm.name, failures: dialler.failures(vm.name) }, `${host}:${port}`).pipe(
      Effect.map(wasOpen => dialler.ended(vm.name, wasOpen ? clock() - startedAt : 0, clock()))
    ))
  }
  const accept = (socket: WebSocket, address: string): void => {
    if (pendingHandshakes >= MAX_PENDING_HANDSHAKES) {
      log.warn('link.closed', { address, reason: 'too-many-handshakes' })
      return socket.terminate()
    }
    pendingHandshakes++
    let isPending = true
    const releaseHandshakeSlot = (): void => {
      if (isPending) pendingHandshakes--
      isPending = false
    }
    const opened = (link: Link): void => {
      releaseHandshakeSlot()
      context.opened(link)
    }
    fork(runLink({ ...context, opened }, createConnection(socket, traffic), { answer: true }, address)
      .pipe(Effect.ensuring(Effect.sync(releaseHandshakeSlot))))
  }

  /** Closes dialled links that are no longer wanted. The peer dials again if it wants a link. */
  const closeUnwanted = (wanted: ReadonlySet<string>, now: number): void => {
    for (const link of links.all()) {
      if (!link.dialled || wanted.has(link.peer.vm.name)) {
        unwantedSince.delete(link)
        continue
      }
      const since = unwantedSince.get(link) ?? now
      unwantedSince.set(link, since)
      if (now - since > UNWANTED_LINK_TIMEOUT_MS) link.close(linkFailure('unwanted'))
    }
  }
  const maintainLinks = Effect.gen(function * () {
    for (;;) {
      const now = clock()
      const wanted = options.wanted()
      for (const vm of dialler.due(wanted, name => links.current(name) !== undefined, now)) dial(vm)
      closeUnwanted(new Set(wanted.map(vm => vm.name)), now)
      const isLinked = wanted.length > 0 && wanted.every(({ name }) => links.current(name) !== undefined)
      yield * Effect.sleep(isLinked ? options.linkedCheckIntervalMs ?? DIAL_CHECK_INTERVAL_MS : DIAL_CHECK_INTERVAL_MS)
    }
  })

  const openListener = Effect.callback<Endpoint, ListenFailure>(resume => {
    const { address, port } = options.listenAt ?? self.peers
    const webSocketServer = new WebSocketServer({ server, maxPayload: FRAME_LIMIT_BYTES, perMessageDeflate: false })
    server.once('listening', () => {
      const bound = server.address()
      resume(Effect.succeed({ address, port: typeof bound === 'object' && bound !== null ? bound.port : port }))
    })
    webSocketServer.on('error', error => {
      log.error('peers.listener-failed', { detail: error.message })
      resume(Effect.fail({ detail: error.message }))
    })
    webSocketServer.on('connection', (socket, request) => {
      if (isStopped) return socket.terminate()
      accept(socket, `${request.socket.remoteAddress}:${request.socket.remotePort}`)
    })
    server.listen(port, address)
  })
  const closeListener = Effect.callback<void>(resume => {
    server.close(() => resume(Effect.void))
    for (const socket of sockets) socket.destroy()
  })

  return {
    send: (vm, channel, body) => links.current(vm)?.send(channel.kind, body) ?? false,
    subscribe: dispatcher.subscribe,
    contacts: links.contacts,
    attach: dispatcher.attach,
    observe: observer => { observers.push(observer) },
    listen: () => Effect.tap(openListener, () => Effect.sync(() => fork(maintainLinks))),
    stop: () => Effect.gen(function * () {
      isStopped = true
      yield * Fiber.interruptAll([...fibers])
      yield * closeListener
    }),
    traffic: traffic.totals,
    protocolVersion: vm => links.current(vm)?.version
  }
}
