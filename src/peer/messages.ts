/** Messages of the link protocol itself: handshake and heartbeats. */
import { err, ok } from 'neverthrow'
import type { Channel, VM } from '../model/index.js'
import { bytes, integer, isRecord, text, tuple, type Check, type Checked } from './check.js'

const MAX_NAME_LENGTH = 128
const MAX_ADDRESS_LENGTH = 64
const MAX_PORT = 65_535
const NONCE_BYTES = 16
const PROOF_BYTES = 32

/** A VM as an array: name, place, callers' address and port, peers' address and port. */
export const checkVM = tuple(
  text(MAX_NAME_LENGTH, 1), text(MAX_NAME_LENGTH),
  text(MAX_ADDRESS_LENGTH), integer(0, MAX_PORT),
  text(MAX_ADDRESS_LENGTH), integer(0, MAX_PORT)
)

/** A VM as the array that `checkVM` accepts. */
export type PackedVM = Checked<typeof checkVM>

/** Converts a VM to an array for a message. */
export function packVM (vm: VM): PackedVM {
  return [vm.name, vm.place, vm.callers.address, vm.callers.port, vm.peers.address, vm.peers.port]
}

/** Converts the array of `packVM` back to a VM. */
export function unpackVM ([name, place, callersAddress, callersPort, peersAddress, peersPort]: PackedVM): VM {
  return {
    name,
    place,
    callers: { address: callersAddress, port: callersPort },
    peers: { address: peersAddress, port: peersPort }
  }
}

/** An incarnation: start time in ms and 48 random bits, both hexadecimal. */
export const checkIncarnation = text(64, 1)

/** First message of the dialler: oldest and newest version, its VM, incarnation, nonce. */
export const checkHello = tuple(integer(0, 255), integer(0, 255), checkVM, checkIncarnation, bytes(NONCE_BYTES, NONCE_BYTES))

/** Response to hello: chosen version, its VM, incarnation, nonce, proof that it has the shared key. */
export const checkWelcome = tuple(
  integer(0, 255), checkVM, checkIncarnation, bytes(NONCE_BYTES, NONCE_BYTES), bytes(PROOF_BYTES, PROOF_BYTES)
)

/** The dialler's first message. */
export type Hello = Checked<typeof checkHello>

/** The response of the VM that was dialled. */
export type Welcome = Checked<typeof checkWelcome>

/**
 * Sent on each link every 500 ms, in both directions. It contains its sequence
 * number, the latest sequence number received from the peer (the echo; -1
 * before the first), the time in ms between receiving that one and writing
 * this heartbeat, and the attachments of other modules by kind.
 */
export interface Heartbeat {
  readonly sequence: number
  readonly echo: number
  readonly heldMs: number
  readonly attachments: Readonly<Record<string, unknown>>
}

const checkHeartbeatHeader = tuple(integer(), integer(-1), integer())

const parseHeartbeat: Check<Heartbeat> = value => {
  if (!Array.isArray(value) || value.length !== 4) return err('not an array of 4 elements')
  const attachments: unknown = value[3]
  if (!isRecord(attachments)) return err('[3]: not a map')
  return checkHeartbeatHeader(value.slice(0, 3)).andThen(([sequence, echo, heldMs]) => ok({ sequence, echo, heldMs, attachments }))
}

/** Channel of the heartbeats. */
export const heartbeatChannel: Channel<Heartbeat> = { kind: 'heartbeat', parse: parseHeartbeat }

/** Converts a heartbeat to the array that is sent. */
export function packHeartbeat (body: Heartbeat): unknown {
  return [body.sequence, body.echo, body.heldMs, body.attachments]
}
