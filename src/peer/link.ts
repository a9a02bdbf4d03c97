/** One authenticated connection to a peer, from the handshake to the close. */
import { Effect } from 'effect'
import { err, type Result } from 'neverthrow'
import type { Log } from '../log/index.js'
import type { Clock, Peer } from '../model/index.js'
import { decode, encode } from './codec.js'
import { FRAME_LIMIT_BYTES, HANDSHAKE_TIMEOUT_MS, MAX_LOGGED_DIAL_FAILURES, PAUSE_THRESHOLD_MS, SEND_BUFFER_LIMIT_BYTES, ECHO_CHECKS_PER_HEARTBEAT } from './constants.js'
import type { Dispatcher } from './dispatcher.js'
import { errorKindOf, linkFailure, type LinkFailure } from './failure.js'
import { FRAME_OVERHEAD_BYTES } from './frame.js'
import { answerHello, createDiallerHandshake, type Identity, type Session } from './handshake.js'
import { heartbeatChannel, packHeartbeat } from './messages.js'
import { createHeartbeatTracker, type HeartbeatTracker } from './heartbeat-tracker.js'
import type { Connection } from './connection.js'

/** Dependencies of links, provided by the mesh. */
export interface LinkContext {
  readonly self: Identity
  readonly key: Uint8Array
  readonly clock: Clock
  readonly log: Log
  readonly dispatcher: Dispatcher
  /** Whether the peer's incarnation is not older than the latest known one. */
  readonly isCurrent: (peer: Peer) => boolean
  /** Interval between heartbeats to a peer, in ms. */
  readonly heartbeatIntervalMs: (peer: string) => number
  readonly opened: (link: Link) => void
  readonly closed: (link: Link, failure: LinkFailure) => void
}

/** An open link. */
export interface Link {
  readonly peer: Identity
  /** Protocol version of the link. */
  readonly version: number
  readonly dialled: boolean
  readonly heartbeats: HeartbeatTracker
  /** Returns false if the message is too large or the link is closing. */
  readonly send: (kind: string, body: unknown) => boolean
  /** Closes the link. Messages of the peer that are in transit still arrive. */
  readonly close: (failure: LinkFailure) => void
}

interface OpenLink extends Link {
  readonly session: Session
  readonly connection: Connection
  /** Why this VM is closing the link; undefined while it is not. */
  readonly closeFailure: () => LinkFailure | undefined
}

interface EstablishedSession {
  readonly session: Session
  readonly handshakeSentAt: number
  /** Payload of the dialler's first frame, which proved that the dialler has the key. */
  readonly firstPayload: Uint8Array | undefined
}

const fromResult = <T>(result: Result<T, LinkFailure>): Effect.Effect<T, LinkFailure> =>
  result.isOk() ? Effect.succeed(result.value) : Effect.fail(result.error)

function createLink (context: LinkContext, connection: Connection, established: EstablishedSession, dialled: boolean): OpenLink {
  const { session, handshakeSentAt } = established
  let closeFailure: LinkFailure | undefined
  const close = (failure: LinkFailure): void => {
    if (closeFailure !== undefined) return
    closeFailure = failure
    connection.close(failure.reason)
  }
  return {
    peer: session.peer,
    version: session.version,
    dialled,
    session,
    connection,
    heartbeats: createHeartbeatTracker(handshakeSentAt, context.clock()),
    closeFailure: () => closeFailure,
    close,
    send: (kind, body) => {
      if (closeFailure !== undefined) return false
      const payload = encode([kind, body])
      if (payload.length + FRAME_OVERHEAD_BYTES > FRAME_LIMIT_BYTES) {
        context.log.error('link.message-too-large', { peer: session.peer.vm.name, kind, bytes: payload.length })
        return false
      }
      if (connection.unsentBytes() > SEND_BUFFER_LIMIT_BYTES) {
        closeFailure = linkFailure('send-buffer-full', `${connection.unsentBytes()} bytes`)
        connection.destroy()
        return false
      }
      connection.send(session.seal(payload))
      return true
    }
  }
}

function sendHeartbeat (context: LinkContext, link: Link): void {
  const now = context.clock()
  // Written before the heartbeat, because an attachment may send messages to which its value refers.
  const attachments = context.dispatcher.write(link.peer.vm.name, now)
  link.send(heartbeatChannel.kind, packHeartbeat({ ...link.heartbeats.next(now), attachments }))
}

/** Sends heartbeats and fails when the echo timeout has passed. */
const runHeartbeats = (context: LinkContext, link: Link): Effect.Effect<never, LinkFailure> => Effect.gen(function * () {
  for (let checks = 0; ; checks++) {
    if (checks % ECHO_CHECKS_PER_HEARTBEAT === 0) sendHeartbeat(context, link)
    const sleptFrom = context.clock()
    const intervalMs = context.heartbeatIntervalMs(link.peer.vm.name)
    const checkIntervalMs = intervalMs / ECHO_CHECKS_PER_HEARTBEAT
    yield * Effect.sleep(checkIntervalMs)
    const now = context.clock()
    // After a pause of this process, echoes may be waiting in the socket, so the timeout is restarted to read them first.
    if (now - sleptFrom > checkIntervalMs + PAUSE_THRESHOLD_MS) link.heartbeats.restartEchoTimeout(now)
    if (link.heartbeats.isEchoOverdue(intervalMs, now)) return yield * Effect.fail(linkFailure('no-echo'))
  }
})

function handleHeartbeat (context: LinkContext, link: Link, from: Peer, body: unknown): Result<void, LinkFailure> {
  const now = context.clock()
  return heartbeatChannel.parse(body)
    .mapErr(detail => linkFailure('body-malformed', `heartbeat: ${detail}`))
    .andThen(parsed => link.heartbeats.receive(parsed, now).andThen(writtenAt => {
      const result = context.dispatcher.read(from, parsed.attachments, writtenAt, now)
      // The first heartbeat is answered immediately, so that a new link has an echo within one round trip.
      if (link.heartbeats.received() === 1) sendHeartbeat(context, link)
      return result
    }))
}

function handlePayload (context: LinkContext, link: OpenLink, payload: Uint8Array): Result<void, LinkFailure> {
  const from: Peer = { vm: link.peer.vm.name, incarnation: link.peer.incarnation }
  if (!context.isCurrent(from)) return err(linkFailure('older-incarnation', link.peer.incarnation))
  return decode(payload).mapErr(detail => linkFailure('frame-malformed', detail)).andThen(message => {
    if (!Array.isArray(message) || message.length !== 2 || typeof message[0] !== 'string') {
      return err(linkFailure('frame-malformed', 'not a pair of kind and body'))
    }
    const [kind, body] = message as [string, unknown]
    return kind === heartbeatChannel.kind ? handleHeartbeat(context, link, from, body) : context.dispatcher.message(from, kind, body)
  })
}

/** Handles the peer's messages, starting with the payload received during the handshake, if any. */
const receiveMessages = (
  context: LinkContext, link: OpenLink, firstPayload: Uint8Array | undefined
): Effect.Effect<never, LinkFailure> => Effect.gen(function * () {
  if (firstPayload !== undefined) yield * fromResult(handlePayload(context, link, firstPayload))
  for (;;) {
    const payload = yield * fromResult(link.session.open(yield * link.connection.take))
    yield * fromResult(handlePayload(context, link, payload))
  }
})

/** Performs the dialler's side of the handshake. */
const handshakeAsDialler = (context: LinkContext, connection: Connection, expected: string): Effect.Effect<EstablishedSession, LinkFailure> => Effect.gen(function * () {
  yield * connection.awaitOpen
  const handshakeSentAt = context.clock()
  const handshake = createDiallerHandshake(context.key, context.self)
  connection.send(handshake.hello)
  const session = yield * fromResult(handshake.finish(yield * connection.take))
  const { name } = session.peer.vm
  if (name !== expected) return yield * Effect.fail(linkFailure('wrong-vm', `connected to ${name}, expected ${expected}`))
  return { session, handshakeSentAt, firstPayload: undefined }
})

/** Performs the handshake of the VM that was dialled. */
const handshakeAsListener = (context: LinkContext, connection: Connection): Effect.Effect<EstablishedSession, LinkFailure> => Effect.gen(function * () {
  const { welcome, session } = yield * fromResult(answerHello(context.key, context.self, yield * connection.take))
  const { name } = session.peer.vm
  if (name === context.self.vm.name) return yield * Effect.fail(linkFailure('wrong-vm', `the peer uses the name of this VM: ${name}`))
  const handshakeSentAt = context.clock()
  connection.send(welcome)
  const firstPayload = session.open(yield * connection.take).mapErr(({ detail }) => linkFailure('wrong-key', detail))
  return { session, handshakeSentAt, firstPayload: yield * fromResult(firstPayload) }
})

const withHandshakeTimeout = (handshake: Effect.Effect<EstablishedSession, LinkFailure>): Effect.Effect<EstablishedSession, LinkFailure> =>
  Effect.raceFirst(handshake, Effect.sleep(HANDSHAKE_TIMEOUT_MS).pipe(
    Effect.andThen(Effect.fail(linkFailure('handshake-timeout', `not finished within ${HANDSHAKE_TIMEOUT_MS} ms`)))
  ))

/** The side of the handshake: this VM dials, with the expected name and the number of dials that failed before, or it answers. */
export type Role = { readonly dial: string, readonly failures: number } | { readonly answer: true }

/**
 * Runs a connection until it closes: handshake, heartbeats and messages.
 *
 * The effect never fails. The close reason is logged and, if the link was
 * open, passed to `context.closed`.
 *
 * @returns whether the link was ever open
 */
export const runLink = (context: LinkContext, connection: Connection, role: Role, address: string): Effect.Effect<boolean> => {
  let link: OpenLink | undefined
  const lifetime = Effect.gen(function * () {
    const dialled = 'dial' in role
    const established = yield * withHandshakeTimeout(dialled ? handshakeAsDialler(context, connection, role.dial) : handshakeAsListener(context, connection))
    link = createLink(context, connection, established, dialled)
    context.log.info('link.opened', { peer: link.peer.vm.name, address, dialled, version: established.session.version })
    context.opened(link)
    return yield * Effect.raceFirst(receiveMessages(context, link, established.firstPayload), runHeartbeats(context, link))
  })
  const finish = (failure: LinkFailure): void => {
    const reported = link?.closeFailure() ?? failure
    const kind = errorKindOf(reported.reason)
    const peer = link?.peer.vm.name ?? ('dial' in role ? role.dial : undefined)
    const isRepeated = link === undefined && 'dial' in role && role.failures >= MAX_LOGGED_DIAL_FAILURES
    const fields = { peer, address, reason: reported.reason, detail: reported.detail, kind }
    if (kind !== undefined) context.log.warn('link.closed', fields)
    else if (!isRepeated) context.log.info('link.closed', fields)
    if (reported.reason === 'no-echo') connection.destroy()
    else connection.close(reported.reason)
    if (link !== undefined) context.closed(link, reported)
  }
  return lifetime.pipe(
    Effect.catch(failure => Effect.sync(() => finish(failure))),
    // A bug in this program closes the link instead of ending the process, and the link is still removed from the table.
    Effect.catchDefect(defect => Effect.sync(() => {
      context.log.error('link.failed', { peer: link?.peer.vm.name, detail: defect instanceof Error ? defect.stack : String(defect) })
      finish(linkFailure('internal-error'))
    })),
    Effect.onInterrupt(() => Effect.sync(() => finish(linkFailure('stopping')))),
    Effect.map(() => link !== undefined)
  )
}
