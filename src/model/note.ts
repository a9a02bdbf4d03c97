/** Release notes, with which operators change the configuration. */
import type { Route, Service, Target } from './configuration.js'

/** A target with the name of its service. */
export interface ServiceTarget {
  readonly service: string
  readonly target: Target
}

/** Entries that a note adds, or the new version of the entries that it changes. */
export interface Entries {
  readonly services: readonly Service[]
  readonly targets: readonly ServiceTarget[]
  readonly routes: readonly Route[]
}

/** Names of the entries that a note removes. */
export interface Withdrawn {
  readonly services: readonly string[]
  readonly targets: ReadonlyArray<{ readonly service: string, readonly id: string }>
  readonly routes: readonly string[]
}

/** A validated release note. */
export interface Note {
  /** Chosen by the operator; makes submission idempotent. */
  readonly id: string
  /** Revision on which the note is based. */
  readonly base: number
  readonly added: Entries
  readonly changed: Entries
  readonly withdrawn: Withdrawn
}

/** An accepted note with the revision that it created. */
export interface AcceptedNote {
  readonly revision: number
  readonly note: Note
  /** Wall-clock time of acceptance in ms since 1970, for display only. */
  readonly acceptedAt: number
  /** The VM that committed the note. */
  readonly acceptedBy: string
}
