/**
 * The configuration that accepted release notes add up to.
 */

/** A named location of machines, for example the availability zone `riga-a`. */
export type Place = string

/** A back end of a service. */
export interface Target {
  /** Unique within its service. */
  readonly id: string
  /** IP number. */
  readonly address: string
  readonly port: number
  readonly place: Place
  /** Requests that the target runs at the same time. */
  readonly slots: number
  /** Connections that the target accepts from the whole fleet. */
  readonly connections: number
}

/** Requests that share a deadline, a priority and whether they are idempotent. */
export interface Class {
  readonly name: string
  /** Whether a repeated request has the same effect as one. */
  readonly idempotent: boolean
  /** Time from the arrival of a request to the end of its answer's headers, in ms. */
  readonly deadlineMs: number
  /** Classes with a higher number are admitted first. */
  readonly priority: number
  /** Targets to which one request may be sent. Default: no limit but the retry budget. */
  readonly maxAttempts?: number
  /** Time within which an answer is of full use, in ms. Default: the deadline. */
  readonly objectiveMs?: number
}

/** Maps requests to a service and one of its classes. */
export interface Route {
  /** Unique within the configuration. */
  readonly id: string
  readonly service: string
  readonly class: string
  /** Host name without port. Without it, the route holds for every host. */
  readonly host?: string
  /** Matched at segment boundaries; the longest matching prefix wins. */
  readonly pathPrefix: string
  /** Methods in capitals. Without it, the route holds for every method. */
  readonly methods?: readonly string[]
}

/** What a service weighs more: short detection time, or few false ejections. */
export type Preference = 'detection' | 'accuracy'

/** Bounds on the requests of one service that wait at one VM. */
export interface QueueLimit {
  readonly length: number
  readonly ageMs: number
}

/** A named group of targets. */
export interface Service {
  readonly name: string
  readonly targets: readonly Target[]
  readonly classes: readonly Class[]
  /** Least healthy capacity that ejections leave, in slots. */
  readonly floor: number
  readonly preference: Preference
  /** Number of VMs that serve the service. Without it, it follows from the slots. */
  readonly subsetSize?: number
  readonly queue: QueueLimit
}

/** Everything that a revision of the configuration says. */
export interface Configuration {
  /** Number of accepted notes; the empty configuration has revision 0. */
  readonly revision: number
  readonly services: readonly Service[]
  readonly routes: readonly Route[]
}
