/** VMs of the proxy fleet. */
import type { Place } from './configuration.js'

/** An IP address and a port. */
export interface Endpoint {
  readonly address: string
  readonly port: number
}

/** Identity and endpoints of a VM of the fleet. */
export interface VM {
  /** Unique name; a machine that replaces this one keeps it. */
  readonly name: string
  readonly place: Place
  readonly callers: Endpoint
  readonly peers: Endpoint
  /** Processor capacity in cores, for example 0.25; undefined if it is not known. */
  readonly cores?: number
}

/** A VM on the platform's list, which may be out of date. */
export interface ListedVM {
  readonly vm: VM
  readonly state: 'live' | 'leaving'
}
