/**
 * Mutual challenge-response authentication with the shared key.
 *
 * The dialler sends hello with a nonce. The other VM responds with welcome, which
 * contains its own nonce and an HMAC over both messages. The session keys depend on both
 * nonces, so the dialler's first frame proves that it has the key as well.
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import type { VM } from '../model/index.js'
import type { Check } from './check.js'
import { decode, encode } from './codec.js'
import { HANDSHAKE_LIMIT_BYTES, OLDEST_PROTOCOL_VERSION, PROTOCOL_VERSION } from './constants.js'
import { linkFailure, type LinkFailure } from './failure.js'
import { createOpen, createSeal, type Open, type Seal } from './frame.js'
import { checkHello, checkWelcome, packVM, unpackVM, type Hello, type Welcome } from './messages.js'

const NONCE_BYTES = 16

/** A VM and its incarnation, as sent in the handshake. */
export interface Identity {
  readonly vm: VM
  readonly incarnation: string
}

/** Range of protocol versions that a VM accepts, both ends included. */
export interface VersionRange {
  readonly oldest: number
  readonly newest: number
}

/** Protocol versions that this program accepts. */
export const supportedVersions: VersionRange = { oldest: OLDEST_PROTOCOL_VERSION, newest: PROTOCOL_VERSION }

/** Result of a successful handshake. */
export interface Session {
  readonly peer: Identity
  readonly version: number
  readonly seal: Seal
  readonly open: Open
}

function labelledHmac (key: Uint8Array, label: string, ...parts: readonly Uint8Array[]): Buffer {
  const hmac = createHmac('sha256', key).update(label)
  for (const part of parts) hmac.update(part)
  return hmac.digest()
}

function parseHandshakeMessage<T> (data: Uint8Array, check: Check<T>): Result<T, LinkFailure> {
  if (data.length > HANDSHAKE_LIMIT_BYTES) return err(linkFailure('handshake-malformed', `${data.length} bytes`))
  return decode(data).andThen(check).mapErr(detail => linkFailure('handshake-malformed', detail))
}

function deriveSession (key: Uint8Array, transcript: Uint8Array, peer: Identity, version: number, isDialler: boolean): Session {
  const session = labelledHmac(key, 'camphorbay session', transcript)
  const fromDialler = labelledHmac(session, 'from dialler')
  const toDialler = labelledHmac(session, 'to dialler')
  return {
    peer,
    version,
    seal: createSeal(isDialler ? fromDialler : toDialler),
    open: createOpen(isDialler ? toDialler : fromDialler)
  }
}

/** The handshake messages, without the proof, that the proof and the session keys cover. */
function transcriptOf (hello: Uint8Array, welcome: readonly [number, ...unknown[]]): Uint8Array {
  return Buffer.concat([hello, encode(welcome)])
}

/** The dialler's side of a handshake: `hello` is sent, and `finish` verifies the welcome. */
export interface DiallerHandshake {
  readonly hello: Uint8Array
  /** Errors: `handshake-malformed`, `version-unsupported`, `wrong-key`. */
  readonly finish: (welcome: Uint8Array) => Result<Session, LinkFailure>
}

/** Starts a handshake as the dialler. */
export function createDiallerHandshake (key: Uint8Array, self: Identity, accepted: VersionRange = supportedVersions): DiallerHandshake {
  const message: Hello = [accepted.oldest, accepted.newest, packVM(self.vm), self.incarnation, randomBytes(NONCE_BYTES)]
  const hello = encode(message)
  return {
    hello,
    finish: data => parseHandshakeMessage(data, checkWelcome).andThen(([version, vm, incarnation, nonce, proof]) => {
      if (version < accepted.oldest || version > accepted.newest) {
        return err(linkFailure('version-unsupported', `version ${version}`))
      }
      const transcript = transcriptOf(hello, [version, vm, incarnation, nonce])
      if (!timingSafeEqual(labelledHmac(key, 'camphorbay welcome', transcript), proof)) {
        return err(linkFailure('wrong-key', 'the proof in the welcome is invalid'))
      }
      return ok(deriveSession(key, transcript, { vm: unpackVM(vm), incarnation }, version, true))
    })
  }
}

/** The welcome that answers a hello, and the resulting session. */
export interface HandshakeAnswer {
  readonly welcome: Uint8Array
  readonly session: Session
}

/**
 * Answers a hello. The peer is authenticated only once the first frame
 * received in the session has been verified.
 *
 * Errors: `handshake-malformed`, `version-unsupported`.
 */
export function answerHello (
  key: Uint8Array, self: Identity, hello: Uint8Array, accepted: VersionRange = supportedVersions
): Result<HandshakeAnswer, LinkFailure> {
  return parseHandshakeMessage(hello, checkHello).andThen(([oldest, newest, vm, incarnation]) => {
    const version = Math.min(newest, accepted.newest)
    if (version < oldest || version < accepted.oldest) {
      return err(linkFailure('version-unsupported', `versions ${oldest} to ${newest}`))
    }
    const head = [version, packVM(self.vm), self.incarnation, randomBytes(NONCE_BYTES)] as const
    const transcript = transcriptOf(hello, [...head])
    const welcome: Welcome = [...head, labelledHmac(key, 'camphorbay welcome', transcript)]
    return ok({
      welcome: encode(welcome),
      session: deriveSession(key, transcript, { vm: unpackVM(vm), incarnation }, version, false)
    })
  })
}
