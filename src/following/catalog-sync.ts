/** Keeps the catalog of this VM up to date, from the store or from a VM of its zone that reads the store. */
import { Effect } from 'effect'
import { SECTIONS, type Batch, type Catalog, type Section } from '../catalog/index.js'
import type { Log } from '../log/index.js'
import type { Clock, Peer, Place } from '../model/index.js'
import type { PeerMesh } from '../peer/index.js'
import type { Roster, Status } from '../roster/index.js'
import type { Store, StoreFailure } from '../store/index.js'
import { createBatchExchange } from './batch-exchange.js'
import { snapshotRequestChannel } from './messages.js'
import { isReader, readsFirstCatalog, takeoverMs, TAKEOVER_MS } from './reader-election.js'

/** Period in which the long polls for changes end, in ms. With `LONG_POLL_MIN_MS` shorter than `TAKEOVER_MS`, within which a confirmation is due. */
const LONG_POLL_MS = 1000
/** A long poll that would end sooner waits for the next period too, in ms. */
const LONG_POLL_MIN_MS = 100
/** Pause after a batch of changes, in ms, so that changes in quick succession arrive with one call. Entries of targets that warm up change with each of their heartbeats. */
const COALESCING_MS: Readonly<Record<Section, number>> = { rulesets: 40, listings: 200 }
/** Time without any confirmation after which a failed call indicates an outage of the store, in ms: every VM has tried to read it by then. */
const OUTAGE_MS = 2100
/** Bounds on the interval at which a VM that does not read evaluates the reader election, in ms; it can only change when a confirmation is overdue. */
const ELECTION_INTERVAL_MIN_MS = 100
const ELECTION_INTERVAL_MAX_MS = 1000
/** The same while the VM has no catalog, in ms. */
const FIRST_CATALOG_INTERVAL_MS = 50
/** Delay before the status is announced after a response of the store, in ms, so that responses for both sections are announced together. */
const ANNOUNCEMENT_DELAY_MS = 10
/** Shortest time between two snapshot requests for a section, in ms. */
const SNAPSHOT_REQUEST_INTERVAL_MS = 150
/** After a restore of the store: time from when a complete batch is due until a reader reads it, which the other VMs of the zone then get, in ms. */
const RECONCILIATION_READ_DELAY_MS = 500
/** The same until another VM that did not get it requests it from a peer, and the interval of its requests, in ms. */
const RECONCILIATION_REQUEST_DELAY_MS = 2000
const BACKOFF_MIN_MS = 150
const BACKOFF_MAX_MS = 2000

/** Wait of a long poll that starts now. The polls of both sections end together, so that a VM wakes its peers once for both. */
function longPollMs (now: number): number {
  const remainingMs = LONG_POLL_MS - Math.floor(now) % LONG_POLL_MS
  return remainingMs < LONG_POLL_MIN_MS ? remainingMs + LONG_POLL_MS : remainingMs
}

/** Synchronises the catalog with the store. */
export interface CatalogSync {
  /** Runs one task per section until interrupted. */
  readonly run: Effect.Effect<never>
  /** Time since this VM had direct contact with the store, in ms; undefined if it never had for some section. */
  readonly storeAgeMs: (now: number) => number | undefined
  /** Time since the catalog was last confirmed, in ms; the older one of its sections counts. */
  readonly confirmedAgeMs: (now: number) => number
  /** Uses the status of a peer to confirm the catalog, or to request what it is missing. */
  readonly handleStatus: (from: Peer, status: Status, now: number) => void
  /** Number of calls to the store by section and outcome, for the metrics. */
  readonly calls: () => ReadonlyMap<string, number>
}

/** Dependencies of the synchronisation. */
export interface CatalogSyncOptions {
  readonly place: Place
  /** Whether all VMs start for the first time, before any caller: the first catalog then comes from a few readers. */
  readonly isFirstStart: boolean
  readonly store: Store
  readonly catalog: Catalog
  readonly mesh: Pick<PeerMesh, 'send' | 'subscribe' | 'protocolVersion'>
  readonly roster: () => Roster
  readonly random: () => number
  readonly log: Log
  readonly clock: Clock
}

/** Synchronisation state of one section. */
interface SectionState {
  readonly section: Section
  isReading: boolean
  /** Whether the next call is not a long poll, because the section was not confirmed recently. */
  isImmediate: boolean
  /** Whether the whole section has to be read. */
  needsSnapshot: boolean
  lastContactAt: number
  failures: number
  lastRequestAt: number
}

/**
 * Creates the synchronisation of an empty catalog.
 *
 * @example
 * const sync = createCatalogSync({ place, store, catalog, mesh, roster: () => roster, random, log, clock })
 * Effect.runFork(sync.run)
 */
export function createCatalogSync (options: CatalogSyncOptions): CatalogSync {
  const { store, catalog, mesh, log, clock, place } = options
  const calls = new Map<string, number>()
  const createSectionState = (section: Section): SectionState =>
    ({ section, isReading: false, isImmediate: false, needsSnapshot: true, lastContactAt: -Infinity, failures: 0, lastRequestAt: -Infinity })
  const states: Readonly<Record<Section, SectionState>> = { rulesets: createSectionState('rulesets'), listings: createSectionState('listings') }
  /** When each section was last confirmed by the store or a peer. */
  const confirmedAt: Record<Section, number> = { rulesets: -Infinity, listings: -Infinity }

  const zonePeers = (): ReadonlyArray<{ readonly precedes: boolean, readonly storeAgeMs: number }> => {
    const now = clock()
    return options.roster().linked().flatMap(({ vm, status, receivedAt }) => vm.place === place && status?.storeAgeMs !== undefined
      ? [{ precedes: options.roster().precedes(vm), storeAgeMs: status.storeAgeMs + now - receivedAt }]
      : [])
  }

  const forward = (batch: Batch): void => {
    const zoneVMs = options.roster().linked().filter(({ vm }) => vm.place === place)
    exchange.send(zoneVMs.map(({ vm }) => vm.name), batch)
  }

  const markConfirmed = (section: Section, at: number): void => { confirmedAt[section] = Math.max(confirmedAt[section], at) }

  /** When a call last failed that tells of the store itself, and not of a connection that had died. */
  let unavailableAt = -Infinity

  /**
   * Starts the grace period of the catalog if the store was down while the section was not confirmed. The time alone
   * does not show that: connections to a working store can go silent, and a paused VM confirms nothing.
   */
  const detectOutageEnd = (section: Section, now: number): void => {
    const ageMs = now - confirmedAt[section]
    if (ageMs < OUTAGE_MS || !Number.isFinite(ageMs) || unavailableAt < confirmedAt[section]) return
    log.info('store.returned', { section, ageMs: Math.round(ageMs) })
    catalog.recordStoreRecovery(now)
  }

  const countCall = (section: Section, outcome: string): void => {
    const key = `${section} ${outcome}`
    calls.set(key, (calls.get(key) ?? 0) + 1)
  }

  let isAnnouncementDue = false
  const announceSoon = (): void => {
    if (isAnnouncementDue) return
    isAnnouncementDue = true
    setTimeout(() => {
      isAnnouncementDue = false
      options.roster().announce(clock())
    }, ANNOUNCEMENT_DELAY_MS)
  }

  const applyBatch = (state: SectionState, batch: Batch): void => {
    const now = clock()
    const { section } = state
    countCall(section, 'answered')
    if (state.failures > 0) log.info('store.regained', { section, failures: state.failures })
    state.failures = 0
    state.isImmediate = false
    state.lastContactAt = now
    detectOutageEnd(section, now)
    state.needsSnapshot = !catalog.apply(batch, now)
    markConfirmed(section, now)
    if (batch.changes.length > 0 || batch.after === undefined) forward(batch)
    announceSoon()
  }

  const handleFailure = (state: SectionState, { kind, detail }: StoreFailure): Effect.Effect<void> => Effect.suspend(() => {
    countCall(state.section, kind)
    state.needsSnapshot ||= kind === 'history-lost'
    if (kind === 'history-lost') {
      log.warn('store.history-lost', { section: state.section, upTo: catalog.upTo(state.section) })
      return Effect.void
    }
    state.failures++
    state.isImmediate = true
    if (state.failures === 1) log.warn('store.lost', { section: state.section, kind, detail })
    if (kind === 'unavailable') unavailableAt = clock()
    // The next call uses a new connection, so it shows at once whether the store works.
    else if (state.failures === 1) return Effect.void
    const backoffMs = Math.min(BACKOFF_MAX_MS, BACKOFF_MIN_MS * 2 ** Math.min(state.failures - 1, 4))
    return Effect.sleep(backoffMs * (0.5 + options.random()))
  })

  const readOnce = (state: SectionState): Effect.Effect<void> => {
    const { section } = state
    const isComplete = state.needsSnapshot || catalog.needsReconciliation(section, clock() - RECONCILIATION_READ_DELAY_MS)
    const read = isComplete ? store.read(section) : store.changes(section, catalog.upTo(section), state.isImmediate ? 0 : longPollMs(clock()))
    return read.pipe(
      Effect.tap(batch => Effect.sync(() => applyBatch(state, batch))),
      Effect.flatMap(batch => batch.changes.length > 0 && batch.after !== undefined ? Effect.sleep(COALESCING_MS[section]) : Effect.void),
      Effect.catch(failure => handleFailure(state, failure)))
  }

  const createdAt = clock()

  const updateRole = (state: SectionState): boolean => {
    const now = clock()
    const rank = options.roster().rank()
    const mayRead = catalog.upTo(state.section) > 0 || !options.isFirstStart || readsFirstCatalog(options.roster().listedRank(), now - createdAt)
    const shouldRead = mayRead && isReader({
      rank,
      confirmedAgeMs: now - confirmedAt[state.section],
      isReading: state.isReading,
      hasActivePredecessor: zonePeers().some(peer => peer.precedes && peer.storeAgeMs < TAKEOVER_MS)
    })
    if (shouldRead !== state.isReading) log.info(shouldRead ? 'reader.started' : 'reader.ended', { section: state.section, rank })
    // A catalog that a peer forwarded in the meantime is as current as one that this VM read, so only changes are read.
    if (shouldRead && !state.isReading) {
      state.needsSnapshot = catalog.upTo(state.section) === 0
      state.isImmediate = true
    }
    state.isReading = shouldRead
    return shouldRead
  }

  const electionIntervalMs = ({ section }: SectionState, now: number): number => {
    if (catalog.upTo(section) === 0 && options.isFirstStart) return FIRST_CATALOG_INTERVAL_MS
    const overdueInMs = takeoverMs(options.roster().rank()) - (now - confirmedAt[section])
    return Math.min(ELECTION_INTERVAL_MAX_MS, Math.max(ELECTION_INTERVAL_MIN_MS, overdueInMs))
  }

  const syncSection = (state: SectionState): Effect.Effect<never> => Effect.forever(Effect.suspend(() =>
    updateRole(state) ? readOnce(state) : Effect.sleep(electionIntervalMs(state, clock()))))

  const requestSnapshot = (peer: string, section: Section, now: number): void => {
    const state = states[section]
    if (now - state.lastRequestAt < SNAPSHOT_REQUEST_INTERVAL_MS || exchange.isReceiving(section)) return
    state.lastRequestAt = now
    mesh.send(peer, snapshotRequestChannel, section)
  }

  const onBatch = (from: Peer, batch: Batch): void => {
    const now = clock()
    detectOutageEnd(batch.section, now)
    if (!catalog.apply(batch, now)) requestSnapshot(from.vm, batch.section, now)
  }
  const exchange = createBatchExchange({ mesh, upTo: catalog.upTo, onBatch, log, clock })
  mesh.subscribe(snapshotRequestChannel, (from, section) => exchange.send([from.vm], catalog.snapshot(section)))

  const isInZone = (name: string): boolean => options.roster().linked().some(({ vm }) => vm.name === name && vm.place === place)
  const confirmedAgeMs = (now: number): number => now - Math.min(...SECTIONS.map(section => confirmedAt[section]))

  return {
    run: Effect.all(SECTIONS.map(section => syncSection(states[section])), { concurrency: 'unbounded' }).pipe(Effect.andThen(Effect.never)),
    storeAgeMs: now => {
      const ageMs = now - Math.min(...SECTIONS.map(section => states[section].lastContactAt))
      return Number.isFinite(ageMs) ? ageMs : undefined
    },
    confirmedAgeMs,
    handleStatus: (from, status, now) => {
      exchange.sweep(now)
      for (const section of SECTIONS) {
        const upTo = section === 'rulesets' ? status.rulesetsUpTo : status.listingsUpTo
        const isBehind = catalog.upTo(section) < upTo
        const mayRequest = now - states[section].lastRequestAt >= RECONCILIATION_REQUEST_DELAY_MS
        // Only a reader surely knows what was written again.
        const isReaderStatus = (status.storeAgeMs ?? Infinity) < TAKEOVER_MS
        const isIncomplete = mayRequest && isReaderStatus && catalog.upTo(section) === upTo && catalog.needsReconciliation(section, now - RECONCILIATION_REQUEST_DELAY_MS)
        // Snapshots come from VMs of the zone. Other zones are asked only while no VM of the zone confirms the section.
        if ((isBehind || isIncomplete) && (isInZone(from.vm) || now - confirmedAt[section] > TAKEOVER_MS)) requestSnapshot(from.vm, section, now)
        if (!isBehind && status.storeAgeMs !== undefined) markConfirmed(section, now - status.storeAgeMs)
      }
    },
    calls: () => calls
  }
}
