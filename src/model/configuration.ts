/**
 * The configuration that results from all accepted release notes.
 */

/** Name of an availability zone, for example `riga-a`. */
export type Place = string

/** A back end of a service. */
export interface Target {
  /** Unique within its service. */
  readonly id: string
  /** IP address. */
  readonly address: string
  readonly port: number
  readonly place: Place
  /** Requests that the target processes concurrently. */
  readonly slots: number
  /** Maximum number of connections that the target accepts from the whole fleet. */
  readonly connections: number
}

/** Class of requests with a common deadline, priority and idempotency. */
export interface Class {
  readonly name: string
  /** Whether a repeated request has the same effect as one. */
  readonly idempotent: boolean
  /** Time limit from the arrival of a request to the end of its response headers, in ms. */
  readonly deadlineMs: number
  /** Classes with a higher number are admitted first. */
  readonly priority: number
  /** Maximum number of targets to which one request is sent. Default: limited only by the retry budget. */
  readonly maxAttempts?: number
  /** Latency objective of the class, in ms. Default: the deadline. */
  readonly objectiveMs?: number
}

/** Maps requests to a service and one of its classes. */
export interface Route {
  /** Unique within the configuration. */
  readonly id: string
  readonly service: string
  readonly class: string
  /** Host name without port. Default: the route matches every host. */
  readonly host?: string
  /** Matched at segment boundaries; the longest matching prefix wins. */
  readonly pathPrefix: string
  /** Methods in upper case. Default: the route matches every method. */
  readonly methods?: readonly string[]
}

/** What failure detection optimises for a service: short detection time, or few false ejections. */
export type Preference = 'detection' | 'accuracy'

/** Limits on the admission queue of one service at one VM: its length, and the age of its requests in ms. */
export interface QueueLimit {
  readonly length: number
  readonly ageMs: number
}

/** A named group of targets. */
export interface Service {
  readonly name: string
  readonly targets: readonly Target[]
  readonly classes: readonly Class[]
  /** Minimum healthy capacity that ejections must leave, in slots. */
  readonly floor: number
  readonly preference: Preference
  /** Number of VMs that serve the service. Default: derived from the slots. */
  readonly subsetSize?: number
  readonly queue: QueueLimit
}

/** One revision of the configuration. */
export interface Configuration {
  /** Number of accepted notes; the empty configuration has revision 0. */
  readonly revision: number
  readonly services: readonly Service[]
  readonly routes: readonly Route[]
}
