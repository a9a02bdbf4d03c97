/** The configuration that this VM holds, and the notes that led to it. */
import type { Result } from 'neverthrow'
import type { Refusal } from '../errors/index.js'
import type { Log } from '../log/index.js'
import type { AcceptedNote, Configuration } from '../model/index.js'
import { digestOf } from './digest.js'

/** Maximum number of notes held for peers that are behind. A VM that is further behind gets a snapshot. */
const MAX_HELD_NOTES = 1000

/** Outcome of offering a note. */
export type OfferResult =
  | 'applied'
  | 'known'    // already held, or older than the held notes
  | 'ahead'    // notes between it and the held revision are missing
  | 'conflict' // a different note is held under its revision
  | 'refused'  // it cannot be applied to the held configuration

/** Applies a note to the configuration of the previous revision. */
export type ApplyNote = (configuration: Configuration, note: AcceptedNote) => Result<Configuration, Refusal>

/** The held configuration. Its revision never decreases. */
export interface History {
  readonly current: () => Configuration
  readonly notes: () => readonly AcceptedNote[]
  readonly offer: (note: AcceptedNote) => OfferResult
  /** Replaces the configuration with a later one; false if it is not later. */
  readonly restore: (configuration: Configuration) => boolean
  /** Returns the notes from a revision on; undefined if not all of them are held. */
  readonly notesFrom: (revision: number, limit: number) => readonly AcceptedNote[] | undefined
}

/** Creates the history with an initial configuration. */
export function createHistory (initial: Configuration, apply: ApplyNote, log: Log): History {
  let current = initial
  let notes: readonly AcceptedNote[] = []
  const digests = new Map<number, string>()

  const compareWithHeld = (note: AcceptedNote): OfferResult => {
    const held = digests.get(note.revision)
    if (held === undefined || held === digestOf(note)) return 'known'
    log.error('note.conflict', { revision: note.revision, id: note.note.id, acceptedBy: note.acceptedBy })
    return 'conflict'
  }
  const append = (note: AcceptedNote): void => {
    notes = [...notes, note].slice(-MAX_HELD_NOTES)
    digests.set(note.revision, digestOf(note))
    digests.delete(note.revision - MAX_HELD_NOTES)
  }

  return {
    current: () => current,
    notes: () => notes,
    offer: note => {
      if (note.revision <= current.revision) return compareWithHeld(note)
      if (note.revision > current.revision + 1) return 'ahead'
      const applied = apply(current, note)
      if (applied.isErr()) {
        log.error('note.not-applied', { revision: note.revision, id: note.note.id, kind: applied.error.kind, detail: applied.error.detail })
        return 'refused'
      }
      if (applied.value.revision !== note.revision) throw new Error(`applying a note created revision ${applied.value.revision} instead of ${note.revision}`)
      current = applied.value
      append(note)
      log.info('note.applied', { revision: note.revision, id: note.note.id })
      return 'applied'
    },
    restore: configuration => {
      if (configuration.revision <= current.revision) return false
      current = configuration
      // Notes are missing between the held ones and the snapshot, so the held ones cannot be sent to peers.
      notes = []
      digests.clear()
      log.info('snapshot.restored', { revision: configuration.revision })
      return true
    },
    notesFrom: (revision, limit) => {
      const first = notes[0]
      if (first === undefined || first.revision > revision) return undefined
      return notes.slice(revision - first.revision, revision - first.revision + limit)
    }
  }
}
