/** Context that the modules of one service's coordination share. */
import type { Log } from '../log/index.js'
import type { Channel, Demand, Peer, Service } from '../model/index.js'
import type { TryConnect } from './restart-detector.js'

/** Dependencies of the coordination of one service on one VM. */
export interface ServiceContext {
  /** This VM. */
  readonly self: Peer
  readonly service: () => Service
  /** Names of the VMs in the subset, in order of rank. */
  readonly members: () => readonly string[]
  readonly demand: Demand
  /** Sends a message to a member, which may be this VM itself. */
  readonly send: <Body>(vm: string, channel: Channel<Body>, body: Body) => void
  /** Whether the VM answered a heartbeat recently, so that messages get through both ways. */
  readonly hasContact: (vm: string, now: number) => boolean
  /** Connects to a draining target, to detect its restart. */
  readonly tryConnect: TryConnect
  readonly log: Log
}
