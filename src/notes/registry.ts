import { Effect, Fiber, Semaphore } from 'effect'
import type { Refusal } from '../errors/index.js'
import type { Log } from '../log/index.js'
import type { AcceptedNote, Configuration, Note, Platform, PlatformFailure } from '../model/index.js'
import { EMPTY_CONFIGURATION, applyNote } from './check-note.js'
import { createNoteReader, type NoteReader } from './note-reader.js'
import { createSnapshots, type Snapshots } from './snapshots.js'
import { submit, type Announce, type SubmissionContext } from './submission.js'

/** The configuration at the head, and the notes after the snapshot from which it was built. */
export interface LoadedConfiguration {
  readonly configuration: Configuration
  readonly notes: readonly AcceptedNote[]
}

/** Access of this VM to the accepted notes. */
export interface Registry extends Snapshots, Pick<NoteReader, 'readHead' | 'readNotes'> {
  /** Returns the newest accepted revision, even while reads are stale; see {@link NoteReader.readCurrentRevision}. */
  readonly readCurrentRevision: () => Effect.Effect<number, PlatformFailure>
  /**
   * Submits a validated note. Repeating a submission with the same id returns the accepted note.
   *
   * @returns fails with `note-conflict`, `fleet-split`, `platform-unavailable` (nothing was changed) or
   * `outcome-unknown` (a write may still take effect)
   */
  readonly submit: (note: Note) => Effect.Effect<AcceptedNote, Refusal>
  /** Reads the newest configuration from a snapshot and the notes after it. */
  readonly load: () => Effect.Effect<LoadedConfiguration, PlatformFailure>
}

/** Options of {@link createRegistry}. */
export interface RegistryOptions {
  readonly platform: Platform
  /** Returns the configuration that this VM has applied. */
  readonly current: () => Configuration
  /** Returns the accepted notes `from` to `to`, both included, from this VM's memory; undefined if one of them is missing. */
  readonly notes: (from: number, to: number) => readonly AcceptedNote[] | undefined
  /**
   * Applies an accepted note and sends it to the peers. Called in the order of revisions, before the
   * response to the operator, and also for notes of other VMs that a submission reads. Afterwards,
   * `current` must return the new configuration.
   */
  readonly accept: (accepted: AcceptedNote) => void
  /**
   * Announces a note before its transaction. Returns undefined if no strict majority of the VMs
   * acknowledged it as undecided; the note is then not committed.
   */
  readonly announce: Announce
  readonly log: Log
  /** Name of this VM. Example: `'entry-7'`. */
  readonly vm: string
  /** Time in ms since 1970, for display. Default: `Date.now`. */
  readonly wallClock?: () => number
  /** Uniform random number in [0, 1), for jitter. Default: `Math.random`. */
  readonly random?: () => number
}

function createSubmissionContext (options: RegistryOptions, noteReader: NoteReader, snapshots: Snapshots): SubmissionContext {
  const { platform, current, notes, announce, log, vm } = options
  const accept = (accepted: AcceptedNote): void => {
    if (accepted.revision <= current().revision) return
    options.accept(accepted)
    log.info('note.accepted', { note: accepted.note.id, revision: accepted.revision, acceptedBy: accepted.acceptedBy })
  }
  const { wallClock = Date.now, random = Math.random } = options
  return { platform, noteReader, current, notes, accept, writeSnapshot: snapshots.writeSnapshot, announce, vm, wallClock, random }
}

/** Applies notes to a configuration. A note that does not fit means that the stored data is corrupt. */
function applyAll (configuration: Configuration, notes: readonly AcceptedNote[]): Effect.Effect<Configuration, PlatformFailure> {
  let applied = configuration
  for (const accepted of notes) {
    const next = applyNote(applied, accepted)
    if (next.isErr()) return Effect.fail({ kind: 'unavailable', detail: `revision ${accepted.revision}: ${next.error.detail}` })
    applied = next.value
  }
  return Effect.succeed(applied)
}

/**
 * Creates the access of a VM to the accepted notes.
 *
 * @example
 * const registry = createRegistry({ platform, current, notes, accept, announce, log, vm: 'entry-7' })
 * const accepted = await Effect.runPromise(registry.submit(note))
 */
export function createRegistry (options: RegistryOptions): Registry {
  const { platform, log } = options
  const noteReader = createNoteReader(platform)
  const snapshots = createSnapshots(platform, log)
  const context = createSubmissionContext(options, noteReader, snapshots)
  // Submissions are serialised, because concurrent ones at the same VM would only conflict with each other.
  const submissionLock = Semaphore.makeUnsafe(1)

  const submitSerially = (note: Note): Effect.Effect<AcceptedNote, Refusal> => Effect.suspend(() => {
    const loggedSubmission = submit(context, note).pipe(Effect.tapError(refused => Effect.sync(() => {
      log.warn('note.refused', { note: note.id, kind: refused.kind, detail: refused.detail })
    })))
    // The submission is detached, so that an operator who disconnects cannot interrupt it between commit and propagation.
    return Effect.forkDetach(submissionLock.withPermit(loggedSubmission)).pipe(Effect.flatMap(Fiber.join))
  })

  return {
    ...snapshots,
    readHead: noteReader.readHead,
    readCurrentRevision: () => noteReader.readCurrentRevision(() => options.current().revision),
    readNotes: noteReader.readNotes,
    submit: submitSerially,
    load: () => Effect.gen(function * () {
      const head = yield * noteReader.readHead()
      const snapshot = yield * snapshots.readSnapshot(head.revision)
      const base = snapshot ?? EMPTY_CONFIGURATION
      const notes = yield * noteReader.readNotes(base.revision + 1, head.revision)
      return { configuration: yield * applyAll(base, notes), notes }
    })
  }
}
