/** The links of this VM to its peers. */
import { createServer } from 'node:http'
import type { Socket } from 'node:net'
import { Effect, Fiber } from 'effect'
import { WebSocket, WebSocketServer } from 'ws'
import type { Log } from '../log/index.js'
import type { Clock, Endpoint, Mesh, Peer, VM } from '../model/index.js'
import { DIAL_CHECK_MS, FRAME_LIMIT_BYTES, HANDSHAKE_LIMIT_MS, HANDSHAKES_PENDING_LIMIT, UNWANTED_LIMIT_MS } from './constants.js'
import { createDialler } from './dialler.js'
import { createDispatch, type Attachment } from './dispatch.js'
import { linkFailure } from './failure.js'
import { runLink, type Link, type LinkContext, type Role } from './link.js'
import { createLinks } from './links.js'
import { createTraffic, type TrafficTotals } from './traffic.js'
import { createWire } from './wire.js'

/** Told about links, for example to send a new peer what it has to know. */
export interface LinkObserver {
  readonly opened?: (from: Peer, vm: VM) => void
  /** Called when the last link to a peer closed. */
  readonly closed?: (from: Peer) => void
}

/** A mesh as the modules see it that add to its heartbeats. */
export interface LinkMesh extends Mesh {
  /** Adds a value to each heartbeat. A kind can be attached once. */
  readonly attach: <Body>(attachment: Attachment<Body>) => void
  readonly observe: (observer: LinkObserver) => void
}

/** The listener could not be opened. */
export interface ListenFailure {
  readonly detail: string
}

/** The mesh as its owner sees it. */
export interface PeerMesh extends LinkMesh {
  /** Opens the listener and starts dialling; the result has the actual port. */
  readonly listen: () => Effect.Effect<Endpoint, ListenFailure>
  /** Closes the listener and all links. */
  readonly stop: () => Effect.Effect<void>
  readonly traffic: () => TrafficTotals
}

/** Settings of a mesh. */
export interface MeshOptions {
  readonly self: VM
  /** Where to listen. Default: `self.peers`, the address that other VMs dial. */
  readonly listenAt?: Endpoint | undefined
  readonly incarnation: string
  /** The shared key of the fleet. */
  readonly key: Uint8Array
  /** VMs to keep links to; asked every 250 ms. */
  readonly wanted: () => readonly VM[]
  readonly log: Log
  readonly clock: Clock
  /** Whether a sender is not older than the latest known incarnation. Default: yes. */
  readonly isCurrent?: (peer: Peer) => boolean
  /** Time after which the VM with the higher name dials, in ms. Default: 2000, which fits where both VMs want the link. */
  readonly secondDialDelayMs?: number
  /** Numbers from 0 to below 1, for jitter. Default: `Math.random`. */
  readonly random?: () => number
}

/**
 * Creates the links of a VM. Handlers are registered before `listen`.
 *
 * @example
 * const mesh = createMesh({ self, incarnation, key, wanted: () => peers, log, clock })
 * mesh.subscribe(quarantine, (from, body) => { … })
 * await Effect.runPromise(mesh.listen())
 */
export function createMesh (options: MeshOptions): PeerMesh {
  const { self, log, clock } = options
  const traffic = createTraffic()
  const dispatch = createDispatch(log)
  const links = createLinks(self.name)
  const dialler = createDialler(self.name, options.random ?? Math.random, options.secondDialDelayMs)
  const observers: LinkObserver[] = []
  const fibers = new Set<Fiber.Fiber<unknown, unknown>>()
  const unwantedSince = new Map<Link, number>()
  const server = createServer()
  /** Connections that were accepted; a peer that is cut off may never ask for a link. */
  const sockets = new Set<Socket>()
  server.on('connection', socket => {
    sockets.add(socket)
    socket.once('close', () => sockets.delete(socket))
  })
  let handshakes = 0
  let stopped = false

  const peerOf = (link: Link): Peer => ({ vm: link.peer.vm.name, incarnation: link.peer.incarnation })

  const context: LinkContext = {
    self: { vm: self, incarnation: options.incarnation },
    key: options.key,
    clock,
    log,
    dispatch,
    isCurrent: options.isCurrent ?? (() => true),
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
    runLink(context, createWire(socket, traffic), role, address)

  const dial = (vm: VM): void => {
    const { address, port } = vm.peers
    const host = address.includes(':') ? `[${address}]` : address
    const startedAt = clock()
    const socket = new WebSocket(`ws://${host}:${port}`, {
      maxPayload: FRAME_LIMIT_BYTES,
      perMessageDeflate: false,
      handshakeTimeout: HANDSHAKE_LIMIT_MS
    })
    fork(run(socket, { dial: vm.name, failures: dialler.failures(vm.name) }, `${host}:${port}`).pipe(
      Effect.map(wasOpen => dialler.ended(vm.name, wasOpen ? clock() - startedAt : 0, clock()))
    ))
  }
  const accept = (socket: WebSocket, address: string): void => {
    if (handshakes >= HANDSHAKES_PENDING_LIMIT) {
      log.warn('link.closed', { address, reason: 'too-many-handshakes' })
      return socket.terminate()
    }
    handshakes++
    let pending = true
    const settle = (): void => {
      if (pending) handshakes--
      pending = false
    }
    const opened = (link: Link): void => {
      settle()
      context.opened(link)
    }
    fork(runLink({ ...context, opened }, createWire(socket, traffic), { answer: true }, address)
      .pipe(Effect.ensuring(Effect.sync(settle))))
  }

  /** The dialler closes links that it no longer wants; the peer dials again if it wants one. */
  const closeUnwanted = (wanted: ReadonlySet<string>, now: number): void => {
    for (const link of links.all()) {
      if (!link.dialled || wanted.has(link.peer.vm.name)) {
        unwantedSince.delete(link)
        continue
      }
      const since = unwantedSince.get(link) ?? now
      unwantedSince.set(link, since)
      if (now - since > UNWANTED_LIMIT_MS) link.retire(linkFailure('unwanted'))
    }
  }
  const keepLinks = Effect.gen(function * () {
    for (;;) {
      const now = clock()
      const wanted = options.wanted()
      for (const vm of dialler.due(wanted, name => links.current(name) !== undefined, now)) dial(vm)
      closeUnwanted(new Set(wanted.map(vm => vm.name)), now)
      yield * Effect.sleep(DIAL_CHECK_MS)
    }
  })

  const openListener = Effect.callback<Endpoint, ListenFailure>(resume => {
    const { address, port } = options.listenAt ?? self.peers
    const upgrades = new WebSocketServer({ server, maxPayload: FRAME_LIMIT_BYTES, perMessageDeflate: false })
    server.once('listening', () => {
      const bound = server.address()
      resume(Effect.succeed({ address, port: typeof bound === 'object' && bound !== null ? bound.port : port }))
    })
    upgrades.on('error', error => {
      log.error('peers.listener-failed', { detail: error.message })
      resume(Effect.fail({ detail: error.message }))
    })
    upgrades.on('connection', (socket, request) => {
      if (stopped) return socket.terminate()
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
    subscribe: dispatch.subscribe,
    contacts: links.contacts,
    attach: dispatch.attach,
    observe: observer => { observers.push(observer) },
    listen: () => Effect.tap(openListener, () => Effect.sync(() => fork(keepLinks))),
    stop: () => Effect.gen(function * () {
      stopped = true
      yield * Fiber.interruptAll([...fibers])
      yield * closeListener
    }),
    traffic: traffic.totals
  }
}
