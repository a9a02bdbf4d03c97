/** Submission of a note: check, commit, and retries after lost acknowledgements and conflicts with other notes. */
import { isDeepStrictEqual } from 'node:util'
import { Effect } from 'effect'
import { refusal, type Refusal } from '../errors/index.js'
import type { AcceptedNote, Configuration, Note, Platform, PlatformFailure } from '../model/index.js'
import { applyNote, checkNote } from './check-note.js'
import type { Head, NoteReader } from './note-reader.js'
import { HEAD_KEY, encodeNote, encodeRevision, noteIdKey, noteKey } from './records.js'

/** Maximum number of attempts per submission. An attempt is repeated after a conflict, a lost acknowledgement or a stale read. */
const MAX_ATTEMPTS = 6
/** Backoff before the second attempt, doubled for each further one. The total of 1.55 s is acceptable to a waiting operator. */
const INITIAL_BACKOFF_MS = 50
/** Random fraction of each backoff, so that two VMs that conflicted do not conflict again. */
const JITTER_RATIO = 0.5
/** Maximum number of revisions between a note's base and the head. At 71,000 notes a day, the head advances by 2000 in about 40 min. */
const MAX_REVISIONS_BEHIND = 2000

/** An announced note that a majority of the VMs holds as undecided. */
export interface Announcement {
  /** Whether the transaction of the note may still start. */
  readonly isCurrent: () => boolean
  /** Notifies the VMs that the note was not accepted and never will be. */
  readonly abandon: () => void
}

/** Announces a note; the result is undefined if no majority acknowledged it. */
export type Announce = (accepted: AcceptedNote) => Effect.Effect<Announcement | undefined>

/** Dependencies of a submission, provided by the registry. */
export interface SubmissionContext {
  readonly platform: Platform
  readonly noteReader: NoteReader
  /** Returns the configuration that this VM has applied. */
  readonly current: () => Configuration
  /** Returns notes from this VM's memory; undefined if one of them is missing. */
  readonly notes: (from: number, to: number) => readonly AcceptedNote[] | undefined
  /** Applies a note and sends it to the peers. Called in the order of revisions. */
  readonly accept: (accepted: AcceptedNote) => void
  /** Writes a snapshot if one is due. */
  readonly writeSnapshot: (configuration: Configuration) => Effect.Effect<void>
  readonly announce: Announce
  readonly vm: string
  readonly wallClock: () => number
  readonly random: () => number
}

/** Result of an attempt that neither accepted nor refused the note. */
interface Inconclusive {
  /** The head that an unacknowledged write expects; undefined if no write can still take effect. */
  readonly pending: Head | undefined
  readonly detail: string
}

interface AttemptState {
  readonly context: SubmissionContext
  readonly note: Note
  /** The head that an unacknowledged write of an earlier attempt expects. */
  readonly pending: Head | undefined
}

type AttemptResult<Value> = Effect.Effect<Value, Refusal | Inconclusive>

/** Returns the refusal of a submission whose last attempt was inconclusive. */
function toRefusal ({ pending, detail }: Inconclusive): Refusal {
  return pending === undefined ? refusal('platform-unavailable', detail) : refusal('outcome-unknown', detail)
}

const isInconclusive = (value: Refusal | Inconclusive): value is Inconclusive => 'pending' in value

/**
 * Maps a failure of the platform to the result of an attempt. Without an earlier unacknowledged write,
 * nothing was changed and the submission is refused without a retry.
 */
function mapFailure (pending: Head | undefined): (failure: PlatformFailure) => Refusal | Inconclusive {
  return ({ detail }) => pending === undefined ? refusal('platform-unavailable', detail) : { pending, detail }
}

/** Returns the note that was accepted under the submitted id, or refuses the submission if it is another note. */
function resolveSameId (accepted: AcceptedNote, note: Note): AttemptResult<AcceptedNote> {
  if (isDeepStrictEqual(accepted.note, note)) return Effect.succeed(accepted)
  return Effect.fail(refusal('note-conflict', `another note was accepted under the id "${note.id}" as revision ${accepted.revision}`, {
    extra: { conflicts: [{ note: accepted.note.id, revision: accepted.revision, entries: [] }] }
  }))
}

/** Returns the notes of the revisions from this VM's memory, or from the platform. */
function readNotes ({ notes, noteReader }: SubmissionContext, from: number, to: number): Effect.Effect<readonly AcceptedNote[], PlatformFailure> {
  if (from > to) return Effect.succeed([])
  const heldNotes = notes(from, to)
  return heldNotes === undefined ? noteReader.readNotes(from, to) : Effect.succeed(heldNotes)
}

/** Applies an accepted note. The VM that committed it also writes the snapshot, in the background, so that the operator does not wait for it. */
function applyAccepted ({ accept, writeSnapshot, vm }: SubmissionContext, accepted: AcceptedNote, configuration: Configuration): Effect.Effect<void> {
  return Effect.suspend(() => {
    accept(accepted)
    return accepted.acceptedBy === vm ? Effect.asVoid(Effect.forkDetach(writeSnapshot(configuration))) : Effect.void
  })
}

/** Applies the notes that this VM has not applied yet; returns the configuration at the head. */
function catchUp ({ context, pending }: AttemptState, head: Head): AttemptResult<Configuration> {
  return Effect.gen(function * () {
    let configuration = context.current()
    if (head.revision < configuration.revision) {
      return yield * Effect.fail({ pending, detail: `the platform returned the older revision ${head.revision}` })
    }
    // A stale read can miss a note that the head includes, so a failure is retried.
    const missing = yield * context.noteReader.readNotes(configuration.revision + 1, head.revision).pipe(
      Effect.mapError(({ detail }): Inconclusive => ({ pending, detail })))
    for (const accepted of missing) {
      const applied = applyNote(configuration, accepted)
      if (applied.isErr()) return yield * Effect.fail(refusal('internal', `revision ${accepted.revision} cannot be applied: ${applied.error.detail}`))
      configuration = applied.value
      yield * applyAccepted(context, accepted, configuration)
    }
    return configuration
  })
}

/** Returns the notes that were accepted since the base of the submitted note. */
function readSinceBase ({ context, note, pending }: AttemptState, revision: number): AttemptResult<readonly AcceptedNote[]> {
  if (revision - note.base > MAX_REVISIONS_BEHIND) {
    return Effect.fail(refusal('note-conflict', `base ${note.base} is more than ${MAX_REVISIONS_BEHIND} revisions old`, { extra: { revision } }))
  }
  return readNotes(context, note.base + 1, revision).pipe(Effect.mapError(mapFailure(pending)))
}

/**
 * Writes the note. The preconditions ensure that it takes effect only as the successor of `head`.
 *
 * The note is announced first, so that VMs that lose the platform during the transaction know that it may
 * be accepted. The announcement stays undecided only if the outcome of the transaction is unknown.
 */
function commit ({ context, note, pending }: AttemptState, head: Head, configuration: Configuration): AttemptResult<AcceptedNote> {
  const { platform, announce, current, vm, wallClock } = context
  const lostRace: Inconclusive = { pending, detail: 'other notes were accepted at the same time' }
  return Effect.gen(function * () {
    const accepted: AcceptedNote = { revision: configuration.revision, note, acceptedAt: wallClock(), acceptedBy: vm }
    const announcement = yield * announce(accepted)
    if (announcement === undefined) {
      // VMs that hold a note of this revision do not acknowledge another one.
      if (current().revision >= accepted.revision) return yield * Effect.fail(lostRace)
      const detail = 'no majority of the VMs acknowledged the note'
      return yield * Effect.fail(pending === undefined ? refusal('fleet-split', detail) : { pending, detail })
    }
    if (!announcement.isCurrent()) {
      announcement.abandon()
      return yield * Effect.fail({ pending, detail: 'the transaction could not start in time after the announcement' })
    }
    const outcome = yield * platform.transact([
      { key: noteKey(accepted.revision), value: encodeNote(accepted), expect: 'absent' },
      { key: noteIdKey(note.id), value: encodeRevision(accepted.revision), expect: 'absent' },
      { key: HEAD_KEY, value: encodeRevision(accepted.revision), expect: head.expect }
    ]).pipe(Effect.mapError(failure => {
      if (failure.kind === 'unavailable') announcement.abandon()
      return mapFailure(failure.kind === 'unknown' ? head : pending)(failure)
    }))
    if (outcome === 'conflict') {
      announcement.abandon()
      return yield * Effect.fail(lostRace)
    }
    yield * applyAccepted(context, accepted, configuration)
    return accepted
  })
}

/** One attempt: read, catch up, check, announce, commit. The read also verifies that the platform responds to this VM. */
function attempt (state: AttemptState): AttemptResult<AcceptedNote> {
  const { context, note } = state
  return Effect.gen(function * () {
    const { head, revisionOfId } = yield * context.noteReader.readHeadAndId(note.id).pipe(Effect.mapError(mapFailure(state.pending)))
    const configuration = yield * catchUp(state, head)
    if (revisionOfId !== undefined) {
      const [accepted] = yield * readNotes(context, revisionOfId, revisionOfId).pipe(
        // The id was accepted before, so `platform-unavailable` ("nothing was changed") would be wrong.
        Effect.mapError(({ detail }): Inconclusive => ({ pending: state.pending ?? head, detail })))
      if (accepted !== undefined) return yield * resolveSameId(accepted, note)
    }
    const notesSinceBase = yield * readSinceBase(state, configuration.revision)
    const acceptedWithSameId = notesSinceBase.find(accepted => accepted.note.id === note.id)
    if (acceptedWithSameId !== undefined) return yield * resolveSameId(acceptedWithSameId, note)
    // A write that expects an older head can no longer take effect, and the note is not among the accepted ones.
    const pending = state.pending?.expect === head.expect ? state.pending : undefined
    const checked = checkNote(configuration, notesSinceBase, note)
    if (checked.isErr()) return yield * Effect.fail(pending === undefined ? checked.error : { pending, detail: checked.error.detail })
    return yield * commit({ context, note, pending }, head, checked.value)
  })
}

/**
 * Submits a note, with retries until it is accepted or refused or the attempts are used up.
 *
 * The refusal is `outcome-unknown` if and only if a write of this submission may still take effect.
 */
export function submit (context: SubmissionContext, note: Note): Effect.Effect<AcceptedNote, Refusal> {
  const attemptFrom = (attemptNumber: number, pending: Head | undefined): Effect.Effect<AcceptedNote, Refusal> =>
    attempt({ context, note, pending }).pipe(Effect.catch(failure => {
      if (!isInconclusive(failure)) return Effect.fail(failure)
      if (attemptNumber >= MAX_ATTEMPTS) return Effect.fail(toRefusal(failure))
      const backoffMs = INITIAL_BACKOFF_MS * 2 ** (attemptNumber - 1) * (1 - JITTER_RATIO * context.random())
      return Effect.sleep(backoffMs).pipe(Effect.andThen(Effect.suspend(() => attemptFrom(attemptNumber + 1, failure.pending))))
    }))
  return attemptFrom(1, undefined)
}
