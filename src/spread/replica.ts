/** This VM's copy of the configuration: how it spreads, is confirmed and when it may be used. */
import { Effect } from 'effect'
import type { Result } from 'neverthrow'
import { refusal, type Refusal } from '../errors/index.js'
import type { Log } from '../log/index.js'
import type { Membership } from '../membership/index.js'
import type { AcceptedNote, Clock, Configuration, Peer, PlatformFailure } from '../model/index.js'
import type { LinkMesh } from '../peer/index.js'
import { ACKNOWLEDGE_LIMIT_MS, createAnnouncer, type Done } from './announcer.js'
import type { Usable } from './common.js'
import { CONFIRMED_LIMIT_MS, createConfirmation, TICK_MS } from './confirmation.js'
import { createHeadPoll } from './head-poll.js'
import { createHistory, type Apply } from './history.js'
import { checkAcceptedNote, noteChannel, report, snapshot, wantNotes } from './messages.js'
import { createPossible } from './possible.js'
import { createUndecided, OUTCOME_LIMIT_MS } from './undecided.js'

/** Notes in the answer to one `wantNotes`; a VM that is further behind asks again. */
const NOTES_PER_ANSWER = 64

/** Time between two requests for missing notes. */
const WANT_INTERVAL_MS = 500

/** A VM that heard of no majority for this time reads the head itself; half of the time for which a confirmation holds. */
const ALONE_AFTER_MS = CONFIRMED_LIMIT_MS / 2

/** A VM that is further behind than this reads the platform's snapshot first. */
const SNAPSHOT_DISTANCE = 100

/** The configuration as this VM holds it. */
export interface Replica {
  readonly current: () => Configuration
  /**
   * What requests may use. While this VM is confirmed, the held configuration; otherwise what it has in
   * common with the configuration after each undecided note.
   */
  readonly usable: (now: number) => Usable
  /** The announced notes of which this VM does not know whether they were accepted. */
  readonly undecided: () => readonly AcceptedNote[]
  /**
   * Announces a note that this VM is about to commit. `done` is called once: with an id when a majority
   * of the VMs keeps the note as undecided, with undefined when the note must not be committed.
   */
  readonly announce: (note: AcceptedNote, done: Done) => void
  /** Tells all VMs that an announced note was not accepted and never will be. */
  readonly abandon: (id: string) => void
  /** The accepted notes held, in order. They start after the latest snapshot that was needed. */
  readonly notes: () => readonly AcceptedNote[]
  /** Takes a note that this VM committed, and sends it to its peers. */
  readonly accept: (note: AcceptedNote, now: number) => void
  /** Time at which the held revision was last known to be current, -Infinity if never. */
  readonly confirmedAt: (now: number) => number
  /** The refusal for requests, or undefined when this VM may serve. */
  readonly serving: (now: number) => Refusal | undefined
  /** Whether it is worth announcing a note: this VM has contact with a strict majority and was not paused. */
  readonly canCommit: (now: number) => boolean
  /** Highest revision that this VM heard of. */
  readonly heardRevision: () => number
  /** Does what is due; `start` calls it every 250 ms. */
  readonly tick: (now: number) => void
  /** Runs until interrupted. */
  readonly start: () => Effect.Effect<never>
}

/** Settings of a replica. */
export interface ReplicaOptions {
  /** Name of this VM. */
  readonly self: string
  readonly initial: Configuration
  readonly apply: Apply
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
  /** Checks a note from a peer. Default: its outer form. */
  readonly parseNote?: (value: unknown) => Result<AcceptedNote, string>
  /** Called after the configuration changed. */
  readonly changed?: (configuration: Configuration) => void
  /** Called when a pause of the process was detected. */
  readonly paused?: (now: number) => void
  readonly log: Log
  readonly clock: Clock
  /** Runs something after a time. Default: `setTimeout`. */
  readonly after?: (ms: number, run: () => void) => void
  /** Numbers from 0 to below 1, for jitter. Default: `Math.random`. */
  readonly random?: () => number
}

/**
 * Creates the replica at its initial configuration.
 *
 * @example
 * const replica = createReplica({ self, initial, apply: applyNote, mesh, membership, … })
 * const refused = replica.serving(clock())
 */
export function createReplica (options: ReplicaOptions): Replica {
  const { mesh, membership, log, clock } = options
  const history = createHistory(options.initial, options.apply, log)
  const held = (): number => history.current().revision
  const startedAt = clock()
  const confirmation = createConfirmation(held, startedAt)
  const undecided = createUndecided()
  const poll = createHeadPoll(options.self, options.random ?? Math.random)
  const parseNote = options.parseNote ?? checkAcceptedNote
  const note = noteChannel(parseNote)
  const announcer = createAnnouncer({
    self: options.self,
    mesh,
    undecided,
    parseNote,
    held,
    hear: confirmation.hear,
    isMajority: membership.isMajority,
    clock,
    after: options.after ?? ((ms, run) => { setTimeout(run, ms) })
  })
  const possible = createPossible(history, undecided, options.apply)
  let isEstablished = false
  let wantedAt = -Infinity

  const establish = (): void => {
    if (isEstablished) return
    isEstablished = true
    membership.markEstablished()
    log.info('configuration.established', { revision: held() })
  }
  const claim = (revision: number, at: number, receivedFrom: number): void => {
    confirmation.claim(revision, at, receivedFrom)
    undecided.claimed(revision, at)
  }
  const advanced = (): void => {
    confirmation.advanced()
    undecided.advanced(held())
    announcer.advanced()
    options.changed?.(history.current())
  }
  const take = (accepted: AcceptedNote, from: string | undefined): void => {
    confirmation.hear(accepted.revision)
    if (history.offer(accepted) !== 'applied') return
    advanced()
    for (const { vm } of mesh.contacts()) if (vm !== from) mesh.send(vm, note, accepted)
  }
  const restore = (configuration: Configuration): void => {
    confirmation.hear(configuration.revision)
    if (history.restore(configuration)) advanced()
  }

  const answerWant = (from: Peer, first: number): void => {
    if (first > held()) return
    const notes = history.since(first, NOTES_PER_ANSWER)
    if (notes === undefined) mesh.send(from.vm, snapshot, history.current())
    for (const accepted of notes ?? []) mesh.send(from.vm, note, accepted)
  }
  const want = (from: Peer, now: number): void => {
    if (now - wantedAt < WANT_INTERVAL_MS) return
    wantedAt = now
    mesh.send(from.vm, wantNotes, held() + 1)
  }

  mesh.subscribe(note, (from, body) => take(body, from.vm))
  mesh.subscribe(wantNotes, answerWant)
  mesh.subscribe(snapshot, (_from, body) => restore(body))
  mesh.attach({
    channel: report,
    write: (_vm, now) => {
      const age = now - confirmation.confirmedAt()
      return [held(), confirmation.heard(), Number.isFinite(age) ? Math.ceil(age) : null, undecided.list()] as const
    },
    read: (from, [revision, heard, ageMs, announced], writtenAt, now) => {
      confirmation.hear(Math.max(revision, heard))
      if (writtenAt !== undefined) {
        confirmation.echo(writtenAt)
        if (ageMs !== null) claim(revision, writtenAt - ageMs, writtenAt)
      }
      announcer.heard(from, announced, now)
      if (revision > held()) want(from, now)
    }
  })

  /** Reads what is missing up to a revision; peers usually delivered it before. */
  const fetch = (head: number): Effect.Effect<void, PlatformFailure> => Effect.gen(function * () {
    if (head - held() > SNAPSHOT_DISTANCE) {
      const configuration = yield * options.readSnapshot()
      if (configuration !== undefined) restore(configuration)
    }
    if (head <= held()) return
    for (const accepted of yield * options.readNotes(held() + 1, head)) take(accepted, undefined)
  })
  const readHead = (startedAt: number): Effect.Effect<void> => Effect.gen(function * () {
    const heldBefore = held()
    const head = yield * options.readHead()
    if (head < heldBefore) log.error('head.behind', { revision: heldBefore, head })
    claim(head, startedAt, startedAt)
    yield * fetch(head)
  }).pipe(
    Effect.catch(failure => Effect.sync(() => log.info('head.unavailable', { detail: failure.detail }))),
    Effect.catchDefect(defect => Effect.sync(() => log.error('head.failed', { detail: String(defect) }))),
    Effect.ensuring(Effect.sync(poll.ended))
  )

  /** A VM that starts counts only what it heard after every VM that acknowledged to its predecessor had the note. */
  const learnedFrom = startedAt + ACKNOWLEDGE_LIMIT_MS
  /** Whether enough VMs that know what was decided and announced are in contact. */
  const hasFoundation = (now: number): boolean => isEstablished
    ? 2 * (1 + membership.establishedContactCount(now)) > membership.fleetSize(now)
    : 2 * membership.establishedContactCount(now, learnedFrom) >= membership.fleetSize(now)
  /**
   * Whether this VM knows all that its predecessor may have acknowledged: it learned it from those who did, it was
   * confirmed when the outcome was settled, or, in a fleet that starts, it heard from every VM.
   */
  const mayEstablish = (now: number): boolean => hasFoundation(now) || (confirmation.isConfirmed(now) && (
    confirmation.confirmedAt() > startedAt + OUTCOME_LIMIT_MS ||
    (now >= learnedFrom && membership.contactCount(now, learnedFrom) === membership.fleetSize(now) - 1)))

  const stale = (detail: string): Refusal => refusal('configuration-stale', detail)
  const serving = (now: number): Refusal | undefined => {
    if (confirmation.isPaused(now)) return stale('the process was paused')
    if (confirmation.isConfirmed(now)) return undefined
    if (!membership.hasMajorityContact(now)) return stale('no confirmation for 3 s and no contact with a majority of the VMs')
    if (confirmation.heard() > held()) return stale(`revision ${confirmation.heard()} exists, ${held()} is held`)
    if (!confirmation.hasEcho() && membership.fleetSize(now) > 1) return stale('no echo since a pause')
    if (!hasFoundation(now)) return stale('too few VMs in contact know what was announced before they started')
    if (undecided.isIncomplete()) return stale('the content of an announced note is not known')
    if (possible.common() === undefined) return stale('an announced note does not fit the held configuration')
    return undefined
  }
  /** VMs that were heard of lately, this one included. */
  const inContact = (now: number): number => 1 + membership.contactCount(now, now - ALONE_AFTER_MS)
  /**
   * Whether a read of the head can wait. A VM that is cut off from the majority gets no more confirmations from
   * others, so it reads before the last one ends.
   */
  const canWait = (now: number): boolean => {
    if (!confirmation.isConfirmed(now)) return false
    return now - confirmation.confirmedAt() <= ALONE_AFTER_MS || 2 * inContact(now) > membership.fleetSize(now)
  }
  const tick = (now: number): void => {
    if (confirmation.tick(now)) {
      log.warn('process.paused')
      options.paused?.(now)
    }
    if (!isEstablished && serving(now) === undefined && mayEstablish(now)) establish()
    announcer.tick(now)
    if (!poll.isDue({ members: membership.members(now), inContact: inContact(now), isConfirmed: canWait(now) }, now)) return
    poll.started(now)
    Effect.runFork(readHead(now))
  }

  return {
    current: history.current,
    usable: now => confirmation.isConfirmed(now) ? possible.held() : possible.common() ?? possible.held(),
    undecided: undecided.notes,
    announce: (accepted, done) => {
      if (confirmation.isPaused(clock())) done(undefined)
      else announcer.announce(accepted, done)
    },
    abandon: announcer.abandon,
    notes: history.notes,
    accept: accepted => take(accepted, undefined),
    confirmedAt: confirmation.confirmedAt,
    serving,
    canCommit: now => !confirmation.isPaused(now) && membership.hasMajorityContact(now),
    heardRevision: confirmation.heard,
    tick,
    start: () => Effect.gen(function * () {
      for (;;) {
        tick(clock())
        yield * Effect.sleep(TICK_MS)
      }
    })
  }
}
