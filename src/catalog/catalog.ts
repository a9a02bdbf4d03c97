/** The catalog of one VM: the newest ruleset and the registered targets. */
import type { Log } from '../log/index.js'
import type { Batch, Change, Listing, Ruleset, Section } from './model.js'
import { createRuleTable, type RuleTable } from './rule-table.js'

/**
 * Grace period after a store outage. An entry that disappears within it may have expired although its
 * target is alive, so the target is kept until the period ends and can register again. After the
 * period, targets whose entries disappear are removed at once.
 */
const REREGISTRATION_GRACE_MS = 2000

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
  readonly upTo: (section: Section) => number
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
  readonly upTo: Record<Section, number>
  storeRecoveredAt: number
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
    upTo: { rulesets: 0, listings: 0 },
    storeRecoveredAt: -Infinity,
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

  const remove = (id: string, reason: string): void => {
    state.listings.delete(id)
    state.expiring.delete(id)
    log.info('target.gone', { target: id, reason })
  }

  /** Removes a target, or schedules its removal if its entry may have expired in a store outage. Returns whether it was removed. */
  const withdraw = (id: string, now: number): boolean => {
    if (!state.listings.has(id)) return false
    if (now - state.storeRecoveredAt >= REREGISTRATION_GRACE_MS) {
      remove(id, 'its entry was removed')
      return true
    }
    state.expiring.set(id, state.storeRecoveredAt + REREGISTRATION_GRACE_MS)
    return false
  }

  const applyListing = (change: Change, now: number): boolean => {
    const { entry, version } = change
    if (entry.kind === 'withdrawn') {
      const known = state.listings.get(entry.id)
      return known !== undefined && known.version < version && withdraw(entry.id, now)
    }
    if (entry.kind !== 'listing') return false
    const known = state.listings.get(entry.id)
    if (known !== undefined && known.version >= version) return false
    state.expiring.delete(entry.id)
    state.listings.set(entry.id, change)
    const { service, draining, startedAt } = entry.listing
    log.info('target.listed', { target: entry.id, service, draining, startedAt, version })
    return true
  }

  const withdrawMissing = (batch: Batch, now: number): boolean => {
    const includedIds = new Set(batch.changes.map(({ entry }) => entry.kind === 'ruleset' ? '' : entry.id))
    const missing = [...state.listings].filter(([id, { version }]) => !includedIds.has(id) && version <= batch.upTo)
    return missing.map(([id]) => withdraw(id, now)).includes(true)
  }

  const apply = (batch: Batch, now: number): boolean => {
    if (batch.after !== undefined && batch.after > state.upTo[batch.section]) return false
    const isStale = batch.upTo < state.upTo[batch.section]
    const applyChange = batch.section === 'rulesets' ? applyRuleset : applyListing
    // An older change is known, or its entry was removed since; only a current snapshot can correct what is known.
    const isKnown = ({ version }: Change): boolean => version <= state.upTo[batch.section] && (isStale || batch.after !== undefined)
    const applied = batch.changes.filter(change => !isKnown(change)).map(change => applyChange(change, now))
    // Entries that a stale batch lacks, such as one that another VM read earlier, may have been added since.
    const removed = batch.after === undefined && !isStale && batch.section === 'listings' && withdrawMissing(batch, now)
    state.upTo[batch.section] = Math.max(state.upTo[batch.section], batch.upTo)
    if (!removed && !applied.includes(true)) return true
    state.byService = indexByService(state)
    for (const listener of listeners) listener(batch)
    return true
  }

  const sweep = (now: number): void => {
    const expired = [...state.expiring].filter(([, expiresAt]) => expiresAt <= now)
    for (const [id] of expired) remove(id, 'its entry expired and was not registered again')
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
    upTo: state.upTo[section]
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
    snapshot,
    onChange: listener => { listeners.push(listener) }
  }
}
