/** Dispatches received messages and heartbeat attachments to the modules registered for their kind. */
import { err, ok, type Result } from 'neverthrow'
import type { Log } from '../log/index.js'
import type { Channel, Mesh, Peer } from '../model/index.js'
import { linkFailure, type LinkFailure } from './failure.js'

/** A value that is sent in every heartbeat instead of in a separate message. */
export interface Attachment<Body> {
  readonly channel: Channel<Body>
  /** Returns the value for the next heartbeat to a VM. */
  readonly write: (vm: string, now: number) => Body
  /**
   * Handles the value from a peer's heartbeat.
   *
   * @param writtenAt earliest time, on this VM's clock, at which the peer can have
   *   written the value; undefined before the first echo on the link
   */
  readonly read: (from: Peer, body: Body, writtenAt: number | undefined, now: number) => void
}

/** Routes received bodies to the registered handlers. */
export interface Dispatcher {
  readonly subscribe: Mesh['subscribe']
  readonly attach: <Body>(attachment: Attachment<Body>) => void
  /** Errors: `kind-unknown`, `body-malformed`. */
  readonly message: (from: Peer, kind: string, body: unknown) => Result<void, LinkFailure>
  /** Returns the attachments for the next heartbeat to a VM. */
  readonly write: (vm: string, now: number) => Readonly<Record<string, unknown>>
  /** Errors: `kind-unknown`, `body-malformed`. */
  readonly read: (
    from: Peer, attachments: Readonly<Record<string, unknown>>, writtenAt: number | undefined, now: number
  ) => Result<void, LinkFailure>
}

interface Handler<Extra extends readonly unknown[]> {
  readonly channel: Channel<unknown>
  readonly handle: (from: Peer, body: unknown, ...extra: Extra) => void
}

/**
 * Creates a dispatcher without handlers.
 *
 * An exception in a handler is a bug in this program, not a fault of the peer:
 * it is logged, and the link stays open.
 */
export function createDispatcher (log: Log): Dispatcher {
  const handlers = new Map<string, Handler<readonly []>>()
  const attachments = new Map<string, Attachment<unknown>>()

  const runCatching = (kind: string, run: () => void): void => {
    try {
      run()
    } catch (error) {
      log.error('peer.handler-failed', { kind, detail: error instanceof Error ? error.stack : String(error) })
    }
  }
  const parseBody = (channel: Channel<unknown> | undefined, kind: string, body: unknown): Result<unknown, LinkFailure> => {
    if (channel === undefined) return err(linkFailure('kind-unknown', JSON.stringify(kind.slice(0, 64))))
    return channel.parse(body).mapErr(detail => linkFailure('body-malformed', `${kind}: ${detail}`))
  }

  return {
    subscribe: (channel, handler) => {
      if (handlers.has(channel.kind)) throw new Error(`channel "${channel.kind}" already has a handler`)
      handlers.set(channel.kind, { channel, handle: handler as Handler<readonly []>['handle'] })
    },
    attach: attachment => {
      const kind = attachment.channel.kind
      if (attachments.has(kind)) throw new Error(`attachment "${kind}" is already registered`)
      attachments.set(kind, attachment as Attachment<unknown>)
    },
    message: (from, kind, body) => {
      const handler = handlers.get(kind)
      return parseBody(handler?.channel, kind, body).map(checked => runCatching(kind, () => handler?.handle(from, checked)))
    },
    write: (vm, now) => Object.fromEntries(
      [...attachments].map(([kind, attachment]) => [kind, attachment.write(vm, now)])
    ),
    read: (from, bodies, writtenAt, now) => {
      for (const [kind, body] of Object.entries(bodies)) {
        const attachment = attachments.get(kind)
        const result = parseBody(attachment?.channel, kind, body)
          .map(checked => runCatching(kind, () => attachment?.read(from, checked, writtenAt, now)))
        if (result.isErr()) return err(result.error)
      }
      return ok(undefined)
    }
  }
}
