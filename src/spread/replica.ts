/** Replica of the configuration on this VM: its replication, its confirmation, and when it may be used. */
import { Effect } from 'effect'
import type { Result } from 'neverthrow'
import { refusal, type Refusal } from '../errors/index.js'
import type { Log } from '../log/index.js'
import type { Membership } from '../membership/index.js'
import type { AcceptedNote, Clock, Configuration, Peer, PlatformFailure } from '../model/index.js'
import type { LinkMesh } from '../peer/index.js'
import { ACKNOWLEDGEMENT_TIMEOUT_MS, createAnnouncer, type AnnounceCallback } from './announcer.js'
import type { UsableConfiguration } from './configuration-intersection.js'
import { CONFIRMATION_TTL_MS, createConfirmation, TICK_INTERVAL_MS } from './confirmation.js'
import { createHeadPoll } from './head-poll.js'
import { createHistory, type ApplyNote } from './history.js'
import { checkAcceptedNote, createNoteChannel, revisionReportChannel, snapshotChannel, notesRequestChannel } from './messages.js'
import { createPossibleConfigurations } from './possible-configurations.js'
import { createUndecidedNotes, OUTCOME_TIMEOUT_MS } from './undecided-notes.js'

/** Maximum number of notes in the response to one request. A VM that is further behind sends another request. */
const NOTES_PER_RESPONSE = 64

/** Minimum interval between requests for missing notes. */
const NOTES_REQUEST_INTERVAL_MS = 500

/** A VM without contact with a majority for this time reads the head itself. Half of the time for which a confirmation is valid. */
const ISOLATION_TIMEOUT_MS = CONFIRMATION_TTL_MS / 2

/** A VM that is behind by more revisions than this reads the platform's snapshot first. */
const SNAPSHOT_THRESHOLD = 100

/** The configuration as this VM holds it. */
export interface Replica {
  readonly current: () => Configuration
  /**
   * The configuration that requests may use: the held one while this VM is confirmed, otherwise its
   * intersection with the results of applying each undecided note.
   */
  readonly usable: (now: number) => UsableConfiguration
  /** The announced notes whose outcome is not known to this VM. */
  readonly undecided: () => readonly AcceptedNote[]
  /**
   * Announces a note that this VM is about to commit. `done` is called once: with an id when a majority
   * of the VMs stores the note as undecided, or with undefined when the note must not be committed.
   */
  readonly announce: (note: AcceptedNote, done: AnnounceCallback) => void
  /** Notifies all VMs that an announced note was not accepted and never will be. */
  readonly abandon: (id: string) => void
  /** The accepted notes held, in order. They start after the latest restored snapshot. */
  readonly notes: () => readonly AcceptedNote[]
  /** Applies a note that this VM committed, and sends it to its peers. */
  readonly accept: (note: AcceptedNote, now: number) => void
  /** Time at which the held revision was last known to be current; -Infinity if never. */
  readonly confirmedAt: (now: number) => number
  /** The refusal for requests; undefined if this VM may serve. */
  readonly servingRefusal: (now: number) => Refusal | undefined
  /** Whether an announcement can succeed: this VM has contact with a strict majority and was not paused. */
  readonly canCommit: (now: number) => boolean
  /** Highest revision that is known to exist. */
  readonly knownRevision: () => number
  /** Performs the work that is due; `start` calls it every 250 ms. */
  readonly tick: (now: number) => void
  /** Runs until interrupted. */
  readonly start: () => Effect.Effect<never>
}

/** Settings of a replica. */
export interface ReplicaOptions {
  /** Name of this VM. */
  readonly self: string
  readonly initial: Configuration
  readonly apply: ApplyNote
  readonly mesh: LinkMesh
  readonly membership: Pick<
    Membership,
    'members' | 'hasMajorityContact' | 'isMajority' | 'fleetSize' | 'contactCount' | 'establishedContactCount' | 'markEstablished'
  >
  /** Reads the head revision; 0 when no note was accepted yet. */
  readonly readHead: () => Effect.Effect<number, PlatformFailure>
  /** Reads the notes of the revisions `from` to `to`, both included. */
  readonly readNotes: (from: number, to: number) => Effect.Effect<readonly AcceptedNote[], PlatformFailure>
  /** Reads the latest snapshot; undefined when there is none. */
  readonly readSnapshot: () => Effect.Effect<Configuration | undefined, PlatformFailure>
  /** Checks a note from a peer. Default: checks its structure. */
  readonly parseNote?: (value: unknown) => Result<AcceptedNote, string>
  /** Called after a change of the configuration. */
  readonly changed?: (configuration: Configuration) => void
  /** Called when a pause of the process is detected. */
  readonly paused?: (now: number) => void
  readonly log: Log
  readonly clock: Clock
  /** Runs a function after a time in ms. Default: `setTimeout`. */
  readonly after?: (ms: number, run: () => void) => void
  /** Returns numbers from 0 to below 1, for jitter. Default: `Math.random`. */
  readonly random?: () => number
}

/**
 * Creates the replica with its initial configuration.
 *
 * @example
 * const replica = createReplica({ self, initial, apply: applyNote, mesh, membership, … })
 * const refused = replica.servingRefusal(clock())
 */
export function createReplica (options: ReplicaOptions): Replica {
  const { mesh, membership, log, clock } = options
  const history = createHistory(options.initial, options.apply, log)
  const heldRevision = (): number => history.current().revision
  const startedAt = clock()
  const confirmation = createConfirmation(heldRevision, startedAt)
  const undecidedNotes = createUndecidedNotes()
  const headPoll = createHeadPoll(options.self, options.random ?? Math.random)
  const parseNote = options.parseNote ?? checkAcceptedNote
  const noteChannel = createNoteChannel(parseNote)
  const announcer = createAnnouncer({
    self: options.self,
    mesh,
    undecidedNotes,
    parseNote,
    heldRevision,
    recordRevision: confirmation.recordRevision,
    isMajority: membership.isMajority,
    clock,
    after: options.after ?? ((ms, run) => { setTimeout(run, ms) })
  })
  const possibleConfigurations = createPossibleConfigurations(history, undecidedNotes, options.apply)
  let isEstablished = false
  let notesRequestedAt = -Infinity

  const establish = (): void => {
    if (isEstablished) return
    isEstablished = true
    membership.markEstablished()
    log.info('configuration.established', { revision: heldRevision() })
  }
  const recordHead = (revision: number, at: number, writtenAt: number): void => {
    confirmation.recordHead(revision, at, writtenAt)
    undecidedNotes.recordHead(revision, at)
  }
  const handleAdvance = (): void => {
    confirmation.handleAdvance()
    undecidedNotes.removeDecided(heldRevision())
    announcer.abandonSuperseded()
    options.changed?.(history.current())
  }
  const applyNote = (accepted: AcceptedNote, from: string | undefined): void => {
    confirmation.recordRevision(accepted.revision)
    if (history.offer(accepted) !== 'applied') return
    handleAdvance()
    for (const { vm } of mesh.contacts()) if (vm !== from) mesh.send(vm, noteChannel, accepted)
  }
  const restoreSnapshot = (configuration: Configuration): void => {
    confirmation.recordRevision(configuration.revision)
    if (history.restore(configuration)) handleAdvance()
  }

  const sendNotes = (from: Peer, first: number): void => {
    if (first > heldRevision()) return
    const notes = history.notesFrom(first, NOTES_PER_RESPONSE)
    if (notes === undefined) mesh.send(from.vm, snapshotChannel, history.current())
    for (const accepted of notes ?? []) mesh.send(from.vm, noteChannel, accepted)
  }
  const requestNotes = (from: Peer, now: number): void => {
    if (now - notesRequestedAt < NOTES_REQUEST_INTERVAL_MS) return
    notesRequestedAt = now
    mesh.send(from.vm, notesRequestChannel, heldRevision() + 1)
  }

  mesh.subscribe(noteChannel, (from, body) => applyNote(body, from.vm))
  mesh.subscribe(notesRequestChannel, sendNotes)
  mesh.subscribe(snapshotChannel, (_from, body) => restoreSnapshot(body))
  mesh.attach({
    channel: revisionReportChannel,
    write: (_vm, now) => {
      const age = now - confirmation.confirmedAt()
      return [heldRevision(), confirmation.knownRevision(), Number.isFinite(age) ? Math.ceil(age) : null, undecidedNotes.announcements()] as const
    },
    read: (from, [revision, knownRevision, ageMs, announced], writtenAt, now) => {
      confirmation.recordRevision(Math.max(revision, knownRevision))
      if (writtenAt !== undefined) {
        confirmation.recordEcho(writtenAt)
        if (ageMs !== null) recordHead(revision, writtenAt - ageMs, writtenAt)
      }
      announcer.handleReport(from, announced, now)
      if (revision > heldRevision()) requestNotes(from, now)
    }
  })

  /** Reads the missing notes up to a revision. Usually, peers have already sent them. */
  const readMissingNotes = (head: number): Effect.Effect<void, PlatformFailure> => Effect.gen(function * () {
    if (head - heldRevision() > SNAPSHOT_THRESHOLD) {
      const configuration = yield * options.readSnapshot()
      if (configuration !== undefined) restoreSnapshot(configuration)
    }
    if (head <= heldRevision()) return
    for (const accepted of yield * options.readNotes(heldRevision() + 1, head)) applyNote(accepted, undefined)
  })
  const readHead = (startedAt: number): Effect.Effect<void> => Effect.gen(function * () {
    const heldBefore = heldRevision()
    const head = yield * options.readHead()
    if (head < heldBefore) log.error('head.behind', { revision: heldBefore, head })
    recordHead(head, startedAt, startedAt)
    yield * readMissingNotes(head)
  }).pipe(
    Effect.catch(failure => Effect.sync(() => log.info('head.unavailable', { detail: failure.detail }))),
    Effect.catchDefect(defect => Effect.sync(() => log.error('head.failed', { detail: String(defect) }))),
    Effect.ensuring(Effect.sync(headPoll.ended))
  )

  /**
   * A VM that starts counts contact only from this time on. By then, every VM that acknowledged an announcement
   * to its previous incarnation has the note.
   */
  const contactsCountFrom = startedAt + ACKNOWLEDGEMENT_TIMEOUT_MS
  /** Whether enough established VMs, which know what was decided and announced, are in contact. */
  const hasEstablishedQuorum = (now: number): boolean => isEstablished
    ? 2 * (1 + membership.establishedContactCount(now)) > membership.fleetSize(now)
    : 2 * membership.establishedContactCount(now, contactsCountFrom) >= membership.fleetSize(now)
  /**
   * Whether this VM knows every note that its previous incarnation may have acknowledged: it learned them from VMs
   * that also acknowledged them, it was confirmed after their outcome was decided, or, in a fleet that starts, it was
   * in contact with every VM.
   */
  const canEstablish = (now: number): boolean => hasEstablishedQuorum(now) || (confirmation.isConfirmed(now) && (
    confirmation.confirmedAt() > startedAt + OUTCOME_TIMEOUT_MS ||
    (now >= contactsCountFrom && membership.contactCount(now, contactsCountFrom) === membership.fleetSize(now) - 1)))

  const staleRefusal = (detail: string): Refusal => refusal('configuration-stale', detail)
  const servingRefusal = (now: number): Refusal | undefined => {
    if (confirmation.isPaused(now)) return staleRefusal('the process was paused')
    if (confirmation.isConfirmed(now)) return undefined
    if (!membership.hasMajorityContact(now)) return staleRefusal('no confirmation for 3 s and no contact with a majority of the VMs')
    if (confirmation.knownRevision() > heldRevision()) return staleRefusal(`revision ${confirmation.knownRevision()} exists, ${heldRevision()} is held`)
    if (!confirmation.hasEcho() && membership.fleetSize(now) > 1) return staleRefusal('no peer has answered a heartbeat since the process was paused')
    if (!hasEstablishedQuorum(now)) return staleRefusal('too few VMs in contact know what was announced before they started')
    if (undecidedNotes.hasMissingContent()) return staleRefusal('the content of an announced note is not known')
    if (possibleConfigurations.intersection() === undefined) return staleRefusal('an announced note cannot be applied to the held configuration')
    return undefined
  }
  /** Number of VMs with recent contact, this one included. */
  const recentContactCount = (now: number): number => 1 + membership.contactCount(now, now - ISOLATION_TIMEOUT_MS)
  /**
   * Whether a read of the head can wait. A VM that is cut off from the majority gets no more confirmations from
   * others, so it reads the head before the last one expires.
   */
  const canDeferRead = (now: number): boolean => {
    if (!confirmation.isConfirmed(now)) return false
    return now - confirmation.confirmedAt() <= ISOLATION_TIMEOUT_MS || 2 * recentContactCount(now) > membership.fleetSize(now)
  }
  const tick = (now: number): void => {
    if (confirmation.tick(now)) {
      log.warn('process.paused')
      options.paused?.(now)
    }
    if (!isEstablished && servingRefusal(now) === undefined && canEstablish(now)) establish()
    announcer.tick(now)
    if (!headPoll.isDue({ members: membership.members(now), contactCount: recentContactCount(now), isConfirmed: canDeferRead(now) }, now)) return
    headPoll.started(now)
    Effect.runFork(readHead(now))
  }

  return {
    current: history.current,
    usable: now => confirmation.isConfirmed(now) ? possibleConfigurations.held() : possibleConfigurations.intersection() ?? possibleConfigurations.held(),
    undecided: undecidedNotes.notes,
    announce: (accepted, done) => {
      if (confirmation.isPaused(clock())) done(undefined)
      else announcer.announce(accepted, done)
    },
    abandon: announcer.abandon,
    notes: history.notes,
    accept: accepted => applyNote(accepted, undefined),
    confirmedAt: confirmation.confirmedAt,
    servingRefusal,
    canCommit: now => !confirmation.isPaused(now) && membership.hasMajorityContact(now),
    knownRevision: confirmation.knownRevision,
    tick,
    start: () => Effect.gen(function * () {
      for (;;) {
        tick(clock())
        yield * Effect.sleep(TICK_INTERVAL_MS)
      }
    })
  }
}
