/** Keeps the catalog of this VM current: from the store, or from a VM of its zone that reads it. */
import { Effect } from 'effect'
import { SECTIONS, type Batch, type Catalog, type Section } from '../catalog/index.js'
import type { Log } from '../log/index.js'
import type { Clock, Peer, Place } from '../model/index.js'
import type { LinkMesh } from '../peer/index.js'
import type { Roster, Status } from '../roster/index.js'
import type { Store, StoreFailure } from '../store/index.js'
import { batchChannel, wantedChannel } from './messages.js'
import { isReader, TAKE_OVER_MS } from './readers.js'

/** Longest wait of one call for changes; a confirmation is due within `TAKE_OVER_MS`. */
const FEED_WAIT_MS = 1000
/** Changes that follow each other within this time come with one call. */
const MERGE_MS = 40
/** Time without a confirmation from anyone that shows an outage of the store: the last VM has taken over by then. */
const OUTAGE_MS = 2100
/** Time between two looks at whether this VM has to read. */
const IDLE_CHECK_MS = 200
/** Time between two requests for the same section. */
const ASK_INTERVAL_MS = 150
const FIRST_PAUSE_MS = 150
const LONGEST_PAUSE_MS = 2000

/** Follows the store. */
export interface Following {
  /** One task for each section; runs until interrupted. */
  readonly run: Effect.Effect<never>
  /** Time since this VM itself had contact with the store; undefined without. */
  readonly storeAgeMs: (now: number) => number | undefined
  /** Time since what this VM knows was confirmed, in ms. */
  readonly confirmedAgeMs: (now: number) => number
  /** Takes a peer's word about what it knows. */
  readonly heard: (from: Peer, status: Status, now: number) => void
  /** Calls to the store by section and outcome, for the metrics. */
  readonly calls: () => ReadonlyMap<string, number>
}

/** What following depends on. */
export interface FollowingOptions {
  readonly place: Place
  readonly store: Store
  readonly catalog: Catalog
  readonly mesh: LinkMesh
  readonly roster: () => Roster
  readonly random: () => number
  readonly log: Log
  readonly clock: Clock
}

/** What this VM did for one section. */
interface Track {
  readonly section: Section
  isReading: boolean
  /** Whether the next call has to answer at once, because nobody confirmed for long what is known. */
  isHasty: boolean
  /** Whether the section has to be read whole. */
  needsAll: boolean
  contactAt: number
  failures: number
  askedAt: number
}

/**
 * Creates the following of a VM that knows nothing.
 *
 * @example
 * const following = createFollowing({ place, store, catalog, mesh, roster: () => roster, random, log, clock })
 * Effect.runFork(following.run)
 */
export function createFollowing (options: FollowingOptions): Following {
  const { store, catalog, mesh, log, clock, place } = options
  const calls = new Map<string, number>()
  const createTrack = (section: Section): Track =>
    ({ section, isReading: false, isHasty: false, needsAll: true, contactAt: -Infinity, failures: 0, askedAt: -Infinity })
  const tracks: Readonly<Record<Section, Track>> = { rulesets: createTrack('rulesets'), listings: createTrack('listings') }
  /** When each section was last confirmed, by the store or a peer. */
  const confirmedAt: Record<Section, number> = { rulesets: -Infinity, listings: -Infinity }

  const nearPeers = (): ReadonlyArray<{ readonly precedes: boolean, readonly storeAgeMs: number }> => {
    const now = clock()
    return options.roster().linked().flatMap(({ vm, status, heardAt }) => vm.place === place && status?.storeAgeMs !== undefined
      ? [{ precedes: options.roster().precedes(vm), storeAgeMs: status.storeAgeMs + now - heardAt }]
      : [])
  }

  const passOn = (batch: Batch): void => {
    for (const { vm } of options.roster().linked()) if (vm.place === place) mesh.send(vm.name, batchChannel, batch)
  }

  const confirm = (section: Section, at: number): void => { confirmedAt[section] = Math.max(confirmedAt[section], at) }

  /** Without any confirmation for longer than the next VM needs to take over, the store was away. */
  const noteReturn = (section: Section, now: number): void => {
    const ageMs = now - confirmedAt[section]
    if (ageMs < OUTAGE_MS || !Number.isFinite(ageMs)) return
    log.info('store.returned', { section, ageMs: Math.round(ageMs) })
    catalog.recordStoreRecovery(now)
  }

  const count = (section: Section, outcome: string): void => {
    const key = `${section} ${outcome}`
    calls.set(key, (calls.get(key) ?? 0) + 1)
  }

  const take = (track: Track, batch: Batch): void => {
    const now = clock()
    const { section } = track
    count(section, 'answered')
    if (track.failures > 0) log.info('store.regained', { section, failures: track.failures })
    track.failures = 0
    track.isHasty = false
    track.contactAt = now
    noteReturn(section, now)
    track.needsAll = !catalog.apply(batch, now)
    confirm(section, now)
    if (batch.changes.length > 0 || batch.after === undefined) passOn(batch)
    options.roster().announce(now)
  }

  const fail = (track: Track, { kind, detail }: StoreFailure): Effect.Effect<void> => Effect.suspend(() => {
    count(track.section, kind)
    track.needsAll ||= kind === 'history-lost'
    if (kind === 'history-lost') {
      log.warn('store.history-lost', { section: track.section, upTo: catalog.upTo(track.section) })
      return Effect.void
    }
    track.failures++
    track.isHasty = true
    if (track.failures === 1) log.warn('store.lost', { section: track.section, detail })
    const pauseMs = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** Math.min(track.failures - 1, 4))
    return Effect.sleep(pauseMs * (0.5 + options.random()))
  })

  const readOnce = (track: Track): Effect.Effect<void> => {
    const { section } = track
    const batch = track.needsAll ? store.read(section) : store.changes(section, catalog.upTo(section), track.isHasty ? 0 : FEED_WAIT_MS)
    return batch.pipe(
      Effect.tap(found => Effect.sync(() => take(track, found))),
      Effect.flatMap(found => found.changes.length > 0 && found.after !== undefined ? Effect.sleep(MERGE_MS) : Effect.void),
      Effect.catch(failure => fail(track, failure)))
  }

  const isReading = (track: Track): boolean => {
    const now = clock()
    const rank = options.roster().rank()
    const reads = isReader({
      rank,
      confirmedAgeMs: now - confirmedAt[track.section],
      isReading: track.isReading,
      isRelieved: nearPeers().some(peer => peer.precedes && peer.storeAgeMs < TAKE_OVER_MS)
    })
    if (reads !== track.isReading) log.info(reads ? 'reader.started' : 'reader.ended', { section: track.section, rank })
    // What a peer passed on meanwhile is as good as an own read.
    if (reads && !track.isReading) {
      track.needsAll = catalog.upTo(track.section) === 0
      track.isHasty = true
    }
    track.isReading = reads
    return reads
  }

  const follow = (track: Track): Effect.Effect<never> => Effect.forever(Effect.suspend(() =>
    isReading(track) ? readOnce(track) : Effect.sleep(IDLE_CHECK_MS)))

  const ask = (peer: string, section: Section, now: number): void => {
    const track = tracks[section]
    if (now - track.askedAt < ASK_INTERVAL_MS) return
    track.askedAt = now
    mesh.send(peer, wantedChannel, section)
  }

  mesh.subscribe(batchChannel, (from, batch) => {
    const now = clock()
    noteReturn(batch.section, now)
    if (!catalog.apply(batch, now)) ask(from.vm, batch.section, now)
  })
  mesh.subscribe(wantedChannel, (from, section) => { mesh.send(from.vm, batchChannel, catalog.snapshot(section)) })

  const isNear = (name: string): boolean => options.roster().linked().some(({ vm }) => vm.name === name && vm.place === place)
  const age = (now: number): number => now - Math.min(...SECTIONS.map(section => confirmedAt[section]))

  return {
    run: Effect.all(SECTIONS.map(section => follow(tracks[section])), { concurrency: 'unbounded' }).pipe(Effect.andThen(Effect.never)),
    storeAgeMs: now => {
      const ageMs = now - Math.min(...SECTIONS.map(section => tracks[section].contactAt))
      return Number.isFinite(ageMs) ? ageMs : undefined
    },
    confirmedAgeMs: age,
    heard: (from, status, now) => {
      for (const section of SECTIONS) {
        const upTo = section === 'rulesets' ? status.rulesetsUpTo : status.listingsUpTo
        const isBehind = catalog.upTo(section) < upTo
        // Catalogs come from VMs of the zone; from others only while nobody in the zone is current.
        if (isBehind && (isNear(from.vm) || now - confirmedAt[section] > TAKE_OVER_MS)) ask(from.vm, section, now)
        if (!isBehind && status.storeAgeMs !== undefined) confirm(section, now - status.storeAgeMs)
      }
    },
    calls: () => calls
  }
}
