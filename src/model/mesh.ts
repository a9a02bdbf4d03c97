/** Interface to the links between VMs. */
import type { Result as Outcome } from 'neverthrow'
import type { VM } from './vm.js'

/** A kind of message between VMs, with the validation of its body. */
export interface Channel<Body> {
  readonly kind: string
  /** Validates a decoded body; the error describes what is invalid. */
  readonly parse: (value: unknown) => Outcome<Body, string>
}

/** The authenticated sender of a message. */
export interface Peer {
  readonly vm: string
  /** Differs between a VM and its replacement under the same name. */
  readonly incarnation: string
}

/** A peer with an open link, and the time and round trip of the latest echo. */
export interface Contact extends Peer {
  /** When this VM sent the latest heartbeat that the peer echoed, in ms on this VM's clock. */
  readonly lastEchoAt: number
  readonly roundTripMs: number
}

/** Messaging over the links of this VM. */
export interface Mesh {
  /** Returns false when there is no open link to the VM; the message is dropped. */
  readonly send: <Body>(vm: string, channel: Channel<Body>, body: Body) => boolean
  /** Registers the only handler of a channel. */
  readonly subscribe: <Body>(channel: Channel<Body>, handler: (from: Peer, body: Body) => void) => void
  /** Peers with an open link. */
  readonly contacts: () => readonly Contact[]
}

/** Membership state of a VM as seen by this VM. */
export type MemberState = 'live' | 'suspect' | 'leaving' | 'gone'

/** A VM of the fleet, this VM included. */
export interface Member {
  readonly vm: VM
  readonly state: MemberState
  /** Undefined until a peer reports the VM. */
  readonly incarnation: string | undefined
}
