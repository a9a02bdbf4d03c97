/** Announced notes whose outcome is not known to this VM. */
import type { AcceptedNote } from '../model/index.js'

/**
 * Time after the announcement within which a transaction takes effect, or never: it starts within
 * `COMMIT_START_LIMIT_MS`, it times out in the platform client after 1.5 s, and the rest is for a
 * request that the network or the platform delivers late.
 */
export const OUTCOME_TIMEOUT_MS = 10_000

/** Maximum number of notes stored with their content. Each is compared with the configuration, and few operators submit concurrently. */
const MAX_STORED_NOTES = 16

/** Maximum number of recorded announcements. At the maximum, the content of some counts as missing. */
export const MAX_ANNOUNCEMENTS = 256

/** Maximum number of recorded ids of notes without effect. They prevent a peer that still reports such a note from adding it again. */
const MAX_SETTLED_IDS = 1024

/** Id of an announcement, and the revision that its note would create. */
export type AnnouncedRevision = readonly [id: string, revision: number]

interface Entry {
  readonly revision: number
  /** When this VM learned of the announcement, which is not before it was made. */
  readonly firstSeenAt: number
  readonly note: AcceptedNote | undefined
}

/** The undecided notes. */
export interface UndecidedNotes {
  /** Stores a note; false if it is known to have no effect, or if too many are stored. */
  readonly store: (id: string, note: AcceptedNote, now: number) => boolean
  /**
   * Records an announcement that a peer reported. `settled`: its note is known to have no effect; `missing`: the
   * content of the note is not stored; `kept`: it is stored.
   */
  readonly recordAnnouncement: (announced: AnnouncedRevision, now: number) => 'settled' | 'missing' | 'kept'
  /** Records that a note was not accepted and never will be; false if that was known. */
  readonly settle: (id: string) => boolean
  readonly isSettled: (id: string) => boolean
  readonly noteOf: (id: string) => AcceptedNote | undefined
  /** Removes the notes whose outcome the held revision decides. */
  readonly removeDecided: (heldRevision: number) => void
  /** Settles notes by an observation of the head: no revision above `revision` was accepted at the time `at`. */
  readonly recordHead: (revision: number, at: number) => void
  readonly announcements: () => readonly AnnouncedRevision[]
  /** The notes whose content is known. */
  readonly notes: () => readonly AcceptedNote[]
  /** Whether the content of an announced note is missing. */
  readonly hasMissingContent: () => boolean
  /** Increases with each change of the notes. */
  readonly version: () => number
}

/** Creates an empty set. */
export function createUndecidedNotes (): UndecidedNotes {
  const entries = new Map<string, Entry>()
  const settled = new Set<string>()
  let version = 0

  const notes = (): readonly AcceptedNote[] => [...entries.values()].flatMap(({ note }) => note ?? [])
  const put = (id: string, entry: Entry): void => {
    entries.set(id, entry)
    version++
  }
  const remove = (id: string): void => {
    if (entries.delete(id)) version++
  }
  const settle = (id: string): boolean => {
    remove(id)
    if (settled.has(id)) return false
    settled.add(id)
    for (const oldest of settled) {
      if (settled.size <= MAX_SETTLED_IDS) break
      settled.delete(oldest)
    }
    return true
  }
  const recordAnnouncement: UndecidedNotes['recordAnnouncement'] = ([id, revision], now) => {
    if (settled.has(id)) return 'settled'
    const known = entries.get(id)
    if (known === undefined && entries.size < MAX_ANNOUNCEMENTS) put(id, { revision, firstSeenAt: now, note: undefined })
    return known?.note === undefined ? 'missing' : 'kept'
  }

  return {
    store: (id, note, now) => {
      const state = recordAnnouncement([id, note.revision], now)
      if (state !== 'missing') return state === 'kept'
      const entry = entries.get(id)
      if (entry === undefined || notes().length >= MAX_STORED_NOTES) return false
      put(id, { ...entry, note })
      return true
    },
    recordAnnouncement,
    settle,
    isSettled: id => settled.has(id),
    noteOf: id => entries.get(id)?.note,
    removeDecided: heldRevision => {
      for (const [id, { revision }] of entries) if (revision <= heldRevision) remove(id)
    },
    recordHead: (head, at) => {
      for (const [id, { revision, firstSeenAt }] of entries) {
        if (revision > head && at > firstSeenAt + OUTCOME_TIMEOUT_MS) settle(id)
      }
    },
    announcements: () => [...entries].map(([id, { revision }]) => [id, revision] as const),
    notes,
    hasMissingContent: () => entries.size >= MAX_ANNOUNCEMENTS || [...entries.values()].some(({ note }) => note === undefined),
    version: () => version
  }
}
