/** The catalog of one VM: the newest ruleset and the registered targets. */
import type { Log } from '../log/index.js'
import { SECTIONS, type Batch, type Change, type Listing, type Ruleset, type Section } from './model.js'
import { isEarlierState } from './entry-order.js'
import { createRuleTable, type RuleTable } from './rule-table.js'
import { eraOf, rowVersionOf, type StoreVersion } from './store-version.js'

/**
 * Grace period after a store outage. An entry that disappears within it may have expired although its
 * target is alive, so the target is kept until the period ends and can register again. After the
 * period, targets whose entries disappear are removed at once.
 */
const REREGISTRATION_GRACE_MS = 2000

/**
 * Time after the store was restored from a copy in which targets and other writers write again what the copy lacks, in
 * ms: two heartbeats of a target, and the time for its write. Until then, newer entries that this VM knows are kept.
 */
const RESTORE_GRACE_MS = 4000
/** Time after the grace period at which the section is read again, in ms. Other VMs learn of the restore this much later. */
const RECONCILIATION_DELAY_MS = 1000
/** Time for which a removed target is remembered, in ms. A copy of the store is some seconds old. */
const REMOVED_RETENTION_MS = 60_000

/** The catalog of one VM. Times are in ms on the VM's monotonic clock. */
export interface Catalog {
  /**
   * Applies a batch; older versions of an entry are ignored. Returns false, without applying anything,
   * when changes between the known version and the batch are missing.
   */
  readonly apply: (batch: Batch, now: number) => boolean
  /** Removes targets whose entries disappeared in a store outage and whose grace period has ended. */
  readonly sweep: (now: number) => void
  /** Records that the store has recovered from an outage; starts the grace period for missing entries. */
  readonly recordStoreRecovery: (now: number) => void
  readonly ruleset: () => Ruleset | undefined
  readonly rules: () => RuleTable
  /** Targets of a service that can receive requests, which excludes draining ones. */
  readonly usable: (service: string) => readonly Listing[]
  readonly find: (id: string) => Listing | undefined
  /** All targets, including draining ones. */
  readonly listings: () => readonly Listing[]
  /** Store version up to which a section is known; 0 before the first batch. */
  readonly upTo: (section: Section) => StoreVersion
  /** The newest era of the store that is known. */
  readonly era: () => number
  /** Whether a complete batch is due because the store was restored from a copy and what it lacked should be back. */
  readonly needsReconciliation: (section: Section, now: number) => boolean
  /** All entries of a section, for a VM that replicates from this one. */
  readonly snapshot: (section: Section) => Batch
  /** Registers a listener, which is called after each batch that changed the catalog. */
  readonly onChange: (listener: (batch: Batch) => void) => void
}

interface State {
  ruleset: Change | undefined
  readonly listings: Map<string, Change>
  /** Ids of entries that disappeared, with the time at which their target is removed. */
  readonly expiring: Map<string, number>
  /** Targets that were removed lately, with the time of the removal. */
  readonly removed: Map<string, { readonly change: Change, readonly at: number }>
  readonly upTo: Record<Section, StoreVersion>
  /** When a complete batch of listings is due after a restore of the store; infinite if none is. */
  listingsDueAt: number
  storeRecoveredAt: number
  storeRestoredAt: number
  rules: RuleTable
  byService: Map<string, readonly Listing[]>
}

function indexByService (state: State): Map<string, readonly Listing[]> {
  const index = new Map<string, Listing[]>()
  for (const { entry } of state.listings.values()) {
    if (entry.kind !== 'listing' || entry.listing.draining) continue
    const known = index.get(entry.listing.service)
    if (known === undefined) index.set(entry.listing.service, [entry.listing])
    else known.push(entry.listing)
  }
  return index
}

/**
 * Creates an empty catalog.
 *
 * @example
 * const catalog = createCatalog(log)
 * catalog.apply({ section: 'listings', changes, after: undefined, upTo: 530 }, clock())
 * catalog.usable('search') // listings
 */
export function createCatalog (log: Log): Catalog {
  const state: State = {
    ruleset: undefined,
    listings: new Map(),
    expiring: new Map(),
    removed: new Map(),
    upTo: { rulesets: 0, listings: 0 },
    listingsDueAt: Infinity,
    storeRecoveredAt: -Infinity,
    storeRestoredAt: -Infinity,
    rules: createRuleTable([]),
    byService: new Map()
  }
  const listeners: Array<(batch: Batch) => void> = []

  const applyRuleset = (change: Change): boolean => {
    if (change.entry.kind !== 'ruleset') return false
    const { ruleset } = change.entry
    const known = state.ruleset?.entry
    if (known?.kind === 'ruleset' && known.ruleset.version >= ruleset.version) return false
    state.ruleset = change
    state.rules = createRuleTable(ruleset.rules)
    log.info('ruleset.taken', { version: ruleset.version, rules: ruleset.rules.length })
    return true
  }

  const remove = (id: string, reason: string, now: number): void => {
    const change = state.listings.get(id)
    if (change !== undefined) state.removed.set(id, { change, at: now })
    state.listings.delete(id)
    state.expiring.delete(id)
    log.info('target.gone', { target: id, reason })
  }

  const outageGraceEndsAt = (): number => state.storeRecoveredAt + REREGISTRATION_GRACE_MS
  const restoreGraceEndsAt = (): number => state.storeRestoredAt + RESTORE_GRACE_MS

  /** Removes a target, or schedules its removal for the end of a grace period. Returns whether it was removed. */
  const withdraw = (id: string, graceEndsAt: number, now: number): boolean => {
    if (!state.listings.has(id)) return false
    if (now >= graceEndsAt) {
      remove(id, 'its entry was removed', now)
      return true
    }
    state.expiring.set(id, graceEndsAt)
    return false
  }

  /**
   * Whether an entry of a complete batch comes out of the copy that the store was restored from, while this VM knows a
   * newer one of an earlier era.
   */
  const isFromCopy = (id: string, { version, entry }: Change, now: number): boolean => {
    if (now >= restoreGraceEndsAt() || entry.kind !== 'listing') return false
    const known = state.listings.get(id)
    const newest = known ?? state.removed.get(id)?.change
    if (newest?.entry.kind !== 'listing' || eraOf(newest.version) >= eraOf(version)) return false
    return isEarlierState(entry.listing, newest.entry.listing, known === undefined)
  }

  const applyListing = (change: Change, now: number): boolean => {
    const { entry, version } = change
    if (entry.kind === 'withdrawn') {
      const known = state.listings.get(entry.id)
      return known !== undefined && known.version < version && withdraw(entry.id, outageGraceEndsAt(), now)
    }
    if (entry.kind !== 'listing') return false
    const known = state.listings.get(entry.id)
    if (known !== undefined && known.version >= version) return false
    state.expiring.delete(entry.id)
    state.removed.delete(entry.id)
    state.listings.set(entry.id, change)
    const { service, draining, startedAt } = entry.listing
    log.info('target.listed', { target: entry.id, service, draining, startedAt, version })
    return true
  }

  const withdrawMissing = (batch: Batch, now: number): boolean => {
    const includedIds = new Set(batch.changes.map(({ entry }) => entry.kind === 'ruleset' ? '' : entry.id))
    const missing = [...state.listings].filter(([id, { version }]) => !includedIds.has(id) && version <= batch.upTo)
    const graceEndsAt = Math.max(outageGraceEndsAt(), restoreGraceEndsAt())
    return missing.map(([id]) => withdraw(id, graceEndsAt, now)).includes(true)
  }

  /** Begins the grace period if a batch is the first one of a later era. Returns whether it is. */
  const detectRestore = ({ section, upTo }: Batch, now: number): boolean => {
    const known = state.upTo[section]
    if (known === 0 || eraOf(upTo) <= eraOf(known)) return false
    state.storeRestoredAt = now
    // A ruleset states its own version, so that an older one is never taken, and a newer one always is.
    if (section === 'listings') state.listingsDueAt = now + RESTORE_GRACE_MS + RECONCILIATION_DELAY_MS
    return true
  }

  /** Decides when the next complete batch of listings is due after one was applied. */
  const scheduleListings = ({ isProvisional = false }: Batch, isRestore: boolean, now: number): void => {
    const isDue = now >= state.listingsDueAt
    if (isProvisional && state.listingsDueAt === Infinity) state.listingsDueAt = now + RESTORE_GRACE_MS + RECONCILIATION_DELAY_MS
    else if (isDue && !isProvisional && !isRestore) state.listingsDueAt = Infinity
  }

  const logRestore = (before: StoreVersion, { section, changes, upTo }: Batch, fromCopy: number): void => log.warn('store.restored', {
    section,
    fromEra: eraOf(before),
    era: eraOf(upTo),
    fromVersion: rowVersionOf(before),
    version: rowVersionOf(upTo),
    read: changes.length,
    // Entries that this VM keeps although the copy has older ones or none.
    keptNewer: fromCopy,
    keptMissing: section === 'listings' ? state.expiring.size : 0
  })

  const apply = (batch: Batch, now: number): boolean => {
    if (batch.after !== undefined && batch.after > state.upTo[batch.section]) return false
    const before = state.upTo[batch.section]
    const isStale = batch.upTo < before
    const isRestore = detectRestore(batch, now)
    const isComplete = batch.after === undefined && !isStale
    if (isComplete && batch.section === 'listings') scheduleListings(batch, isRestore, now)
    const applyChange = batch.section === 'rulesets' ? applyRuleset : applyListing
    // An older change is known, or its entry was removed since; only a current snapshot can correct what is known.
    const isKnown = ({ version }: Change): boolean => version <= before && (isStale || batch.after !== undefined)
    const fromCopy = new Set(batch.after === undefined ? batch.changes.filter(change => change.entry.kind === 'listing' && isFromCopy(change.entry.id, change, now)) : [])
    const applied = batch.changes.filter(change => !isKnown(change) && !fromCopy.has(change)).map(change => applyChange(change, now))
    // Entries that a stale batch lacks, such as one that another VM read earlier, may have been added since.
    const removed = isComplete && batch.section === 'listings' && withdrawMissing(batch, now)
    state.upTo[batch.section] = Math.max(before, batch.upTo)
    if (isRestore) logRestore(before, batch, fromCopy.size)
    if (!removed && !applied.includes(true)) return true
    state.byService = indexByService(state)
    for (const listener of listeners) listener(batch)
    return true
  }

  const sweep = (now: number): void => {
    const expired = [...state.expiring].filter(([, expiresAt]) => expiresAt <= now)
    for (const [id] of expired) remove(id, 'its entry expired and was not registered again', now)
    for (const [id, { at }] of state.removed) if (now - at >= REMOVED_RETENTION_MS) state.removed.delete(id)
    if (expired.length > 0) state.byService = indexByService(state)
  }

  const knownChanges = (section: Section): readonly Change[] => {
    if (section === 'rulesets') return state.ruleset === undefined ? [] : [state.ruleset]
    return [...state.listings].flatMap(([id, change]) => state.expiring.has(id) ? [] : [change])
  }

  const snapshot = (section: Section): Batch => ({
    section,
    changes: knownChanges(section),
    after: undefined,
    upTo: state.upTo[section],
    ...(section === 'listings' && state.listingsDueAt !== Infinity ? { isProvisional: true } : {})
  })

  return {
    apply,
    sweep,
    recordStoreRecovery: now => { state.storeRecoveredAt = now },
    ruleset: () => state.ruleset?.entry.kind === 'ruleset' ? state.ruleset.entry.ruleset : undefined,
    rules: () => state.rules,
    usable: service => state.byService.get(service) ?? [],
    find: id => {
      const entry = state.listings.get(id)?.entry
      return entry?.kind === 'listing' ? entry.listing : undefined
    },
    listings: () => [...state.listings.values()].flatMap(({ entry }) => entry.kind === 'listing' ? [entry.listing] : []),
    upTo: section => state.upTo[section],
    era: () => Math.max(...SECTIONS.map(section => eraOf(state.upTo[section]))),
    needsReconciliation: (section, now) => section === 'listings' && now >= state.listingsDueAt,
    snapshot,
    onChange: listener => { listeners.push(listener) }
  }
}
