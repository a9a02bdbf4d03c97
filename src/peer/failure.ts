/** Reasons for closing a link, as they are logged. */
import type { ErrorKind } from '../errors/index.js'

/** Error kind for each reason; undefined if the peer is not at fault. */
const errorKinds = {
  'connect-failed': undefined,
  'handshake-timeout': undefined,
  'handshake-malformed': 'peer-malformed',
  'too-many-handshakes': undefined,
  'wrong-key': 'peer-unauthenticated',
  'wrong-vm': 'peer-unauthenticated',
  'older-incarnation': undefined,
  'version-unsupported': 'peer-version',
  'frame-tampered': 'peer-unauthenticated',
  'frame-replayed': 'peer-unauthenticated',
  'frame-too-large': 'peer-malformed',
  'frame-malformed': 'peer-malformed',
  'kind-unknown': 'peer-malformed',
  'body-malformed': 'peer-malformed',
  'no-echo': undefined,
  'send-buffer-full': undefined,
  superseded: undefined,
  unwanted: undefined,
  stopping: undefined,
  'internal-error': undefined,
  'closed-by-peer': undefined
} as const satisfies Record<string, ErrorKind | undefined>

/** Reason for closing a link. */
export type CloseReason = keyof typeof errorKinds

/** Why a link or a connection attempt ended. */
export interface LinkFailure {
  readonly reason: CloseReason
  readonly detail: string
}

/** Creates a link failure. */
export function linkFailure (reason: CloseReason, detail = ''): LinkFailure {
  return { reason, detail }
}

/** Error kind of a reason; undefined if the peer is not at fault. */
export function errorKindOf (reason: CloseReason): ErrorKind | undefined {
  return errorKinds[reason]
}
