/** Minimal VM with a note registry and an applied configuration, for tests of release notes. */
import { Effect } from 'effect'
import type { AcceptedNote, Clock, Configuration, Platform } from '../../src/model/index.js'
import { applyNote, createRegistry, EMPTY_CONFIGURATION, type Registry } from '../../src/notes/index.js'

/** A VM that applies accepted notes and has no connections to other VMs. */
export interface NoteHolder {
  readonly vm: string
  readonly registry: Registry
  /** The applied notes, in order. */
  readonly accepted: readonly AcceptedNote[]
  readonly current: () => Configuration
  /** Applies an accepted note as if it came from a peer. */
  readonly apply: (accepted: AcceptedNote) => void
  /** Number of announcements that the VM abandoned because the note was not accepted. */
  readonly abandoned: () => number
}

/** Options of {@link createNoteHolder}. */
export interface NoteHolderOptions {
  readonly platform: Platform
  /** Monotonic time in ms. */
  readonly clock: Clock
  /** Default: `entry-1`. */
  readonly vm?: string
  /** Whether a majority acknowledges an announcement at `now`, in ms. Default: always. */
  readonly canCommit?: (now: number) => boolean
  /** Whether an announcement is still current at `now`, in ms, so that its transaction may start. Default: always. */
  readonly isCurrent?: (now: number) => boolean
}

/**
 * Creates a VM with an empty configuration.
 *
 * @example
 * const holder = createNoteHolder({ platform: createMemoryPlatform(store, time.clock), clock: time.clock })
 * time.run(holder.registry.submit(note))
 */
export function createNoteHolder ({ platform, clock, vm = 'entry-1', canCommit = () => true, isCurrent = () => true }: NoteHolderOptions): NoteHolder {
  let configuration = EMPTY_CONFIGURATION
  const accepted: AcceptedNote[] = []
  let abandoned = 0
  const current = (): Configuration => configuration
  const applyAccepted = (note: AcceptedNote): void => {
    accepted.push(note)
    configuration = applyNote(configuration, note)._unsafeUnwrap()
  }
  const registry = createRegistry({
    platform,
    current,
    notes: (from, to) => to > accepted.length ? undefined : accepted.slice(from - 1, to),
    accept: applyAccepted,
    announce: () => Effect.sync(() => canCommit(clock()) ? { isCurrent: () => isCurrent(clock()), abandon: () => { abandoned++ } } : undefined),
    log: { info: () => {}, warn: () => {}, error: () => {} },
    vm,
    wallClock: clock,
    random: () => 0
  })
  return { vm, registry, accepted, current, apply: applyAccepted, abandoned: () => abandoned }
}
