/** Why a link closed, as it is logged. */
import type { ErrorKind } from '../errors/index.js'

/** Entry of the error table for each reason; undefined where the peer did nothing wrong. */
const kinds = {
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
export type CloseReason = keyof typeof kinds

/** Why a link ended. */
export interface LinkFailure {
  readonly reason: CloseReason
  readonly detail: string
}

/** Creates a failure of a link. */
export function linkFailure (reason: CloseReason, detail = ''): LinkFailure {
  return { reason, detail }
}

/** Entry of the error table that belongs to a reason, when the peer is at fault. */
export function kindOf (reason: CloseReason): ErrorKind | undefined {
  return kinds[reason]
}
