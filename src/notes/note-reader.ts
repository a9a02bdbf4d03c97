/** Reads accepted notes from the platform's table. */
import { Effect } from 'effect'
import type { AcceptedNote, Platform, PlatformFailure, Row } from '../model/index.js'
import { HEAD_KEY, decodeNote, decodeRevision, noteIdKey, noteKey } from './records.js'

/** Maximum number of notes per read; 50 notes of the maximum size are 6.4 MB. */
const MAX_NOTES_PER_READ = 50

/** Maximum number of reads of the head per confirmation. The next poll is due after 500 ms and tries again. */
const MAX_HEAD_READS = 3
/** Delay after a stale read. */
const STALE_READ_DELAY_MS = 100

/** The newest accepted revision, with the expected state of its row. */
export interface Head {
  /** 0 before the first note. */
  readonly revision: number
  /** Precondition on the row for a write that replaces this head. */
  readonly expect: number | 'absent'
}

/** The head, and the revision that was accepted under a note id, if any. */
export interface HeadAndId {
  readonly head: Head
  readonly revisionOfId: number | undefined
}

/** Reads of accepted notes. */
export interface NoteReader {
  readonly readHead: () => Effect.Effect<Head, PlatformFailure>
  /**
   * Returns the newest accepted revision. A transaction confirms it, so that a stale read cannot make it
   * too low. Fails with `unavailable` if the reads stay stale for too long.
   *
   * @param held revision that this VM has applied
   */
  readonly readCurrentRevision: (held: () => number) => Effect.Effect<number, PlatformFailure>
  readonly readHeadAndId: (id: string) => Effect.Effect<HeadAndId, PlatformFailure>
  /** Returns the notes of the revisions `from` to `to`, both included. */
  readonly readNotes: (from: number, to: number) => Effect.Effect<readonly AcceptedNote[], PlatformFailure>
}

const unreadableRow = (key: string): Effect.Effect<never, PlatformFailure> =>
  Effect.fail({ kind: 'unavailable', detail: `the row ${key} is missing or malformed` })

function decodeHead (row: Row | undefined): Effect.Effect<Head, PlatformFailure> {
  if (row === undefined) return Effect.succeed({ revision: 0, expect: 'absent' })
  const revision = decodeRevision(row.value)
  return revision === undefined ? unreadableRow(HEAD_KEY) : Effect.succeed({ revision, expect: row.version })
}

function decodeNoteRow (revision: number, row: Row | undefined): Effect.Effect<AcceptedNote, PlatformFailure> {
  const accepted = row === undefined ? undefined : decodeNote(row.value)
  return accepted?.revision === revision ? Effect.succeed(accepted) : unreadableRow(noteKey(revision))
}

/** Splits the revisions `from` to `to` into groups of one read each. */
function groupRevisions (from: number, to: number): ReadonlyArray<readonly number[]> {
  const groups = Math.max(0, Math.ceil((to - from + 1) / MAX_NOTES_PER_READ))
  return Array.from({ length: groups }, (_, i) => {
    const first = from + i * MAX_NOTES_PER_READ
    return Array.from({ length: Math.min(MAX_NOTES_PER_READ, to - first + 1) }, (_, j) => first + j)
  })
}

/**
 * Creates the reads of a platform's notes. A missing or malformed row is an `unavailable` failure, because
 * a stale read can miss a note that the head already includes.
 */
export function createNoteReader (platform: Platform): NoteReader {
  const readGroup = (revisions: readonly number[]): Effect.Effect<readonly AcceptedNote[], PlatformFailure> =>
    platform.readMany(revisions.map(noteKey)).pipe(
      Effect.flatMap(rows => Effect.forEach(revisions, (revision, i) => decodeNoteRow(revision, rows[i]))))
  const readHead = (): Effect.Effect<Head, PlatformFailure> => platform.read(HEAD_KEY).pipe(Effect.flatMap(decodeHead))
  const readCurrentRevision = (held: () => number, readsLeft = MAX_HEAD_READS): Effect.Effect<number, PlatformFailure> =>
    Effect.gen(function * () {
      const head = yield * readHead()
      // The VM may have received newer notes from peers than the read returns, and it applies accepted notes only.
      const revision = Math.max(head.revision, held())
      // Note and head are written in one transaction, and notes are never deleted, so a revision without a successor is the head.
      const outcome = yield * platform.transact([], [{ key: noteKey(revision + 1), expect: 'absent' }])
      if (outcome === 'committed') return revision
      if (readsLeft === 1) return yield * Effect.fail({ kind: 'unavailable' as const, detail: `reads of the platform lag behind revision ${revision + 1}` })
      yield * Effect.sleep(STALE_READ_DELAY_MS)
      return yield * readCurrentRevision(held, readsLeft - 1)
    })
  return {
    readHead,
    readCurrentRevision: held => readCurrentRevision(held),
    readHeadAndId: id => Effect.gen(function * () {
      const [headRow, idRow] = yield * platform.readMany([HEAD_KEY, noteIdKey(id)])
      const head = yield * decodeHead(headRow)
      if (idRow === undefined) return { head, revisionOfId: undefined }
      const revisionOfId = decodeRevision(idRow.value)
      return revisionOfId === undefined ? yield * unreadableRow(noteIdKey(id)) : { head, revisionOfId }
    }),
    readNotes: (from, to) => Effect.forEach(groupRevisions(from, to), readGroup).pipe(Effect.map(groups => groups.flat()))
  }
}
