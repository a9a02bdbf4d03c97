/** The catalog of one VM: the newest ruleset and the targets that may get work. */
import type { Log } from '../log/index.js'
import type { Batch, Change, Listing, Ruleset, Section } from './model.js'
import { createRuleTable, type RuleTable } from './rule-table.js'

/**
 * Entries that are missing within this time after an outage of the store may have lapsed although their
 * targets are alive; those register again within it. What disappears later is gone at once.
 */
const RETURN_GRACE_MS = 2000

/** The catalog of one VM. Times are in ms on the VM's steady clock. */
export interface Catalog {
  /**
   * Applies a batch; older versions of an entry are ignored. False when changes between what is known
   * and the batch are missing; the batch is not applied then.
   */
  readonly apply: (batch: Batch, now: number) => boolean
  /** Ends the grace of entries that disappeared in an outage of the store. */
  readonly sweep: (now: number) => void
  /** Records that the store is back after an outage. */
  readonly noteReturn: (now: number) => void
  readonly ruleset: () => Ruleset | undefined
  readonly rules: () => RuleTable
  /** Targets of a service that may get work. */
  readonly usable: (service: string) => readonly Listing[]
  readonly find: (id: string) => Listing | undefined
  /** All targets, those that leave included. */
  readonly listings: () => readonly Listing[]
  /** Version up to which a section is known; 0 before the first batch. */
  readonly upTo: (section: Section) => number
  /** All entries of a section, for a VM that follows this one. */
  readonly snapshot: (section: Section) => Batch
  /** Calls `listener` after each batch that changed something. */
  readonly onChange: (listener: (batch: Batch) => void) => void
}

interface State {
  ruleset: Change | undefined
  readonly listings: Map<string, Change>
  /** Entries that disappeared, with the time at which their target leaves use. */
  readonly lapsing: Map<string, number>
  readonly upTo: Record<Section, number>
  returnedAt: number
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
    lapsing: new Map(),
    upTo: { rulesets: 0, listings: 0 },
    returnedAt: -Infinity,
    rules: createRuleTable([]),
    byService: new Map()
  }
  const listeners: Array<(batch: Batch) => void> = []

  const takeRuleset = (change: Change): boolean => {
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
    state.lapsing.delete(id)
    log.info('target.gone', { target: id, reason })
  }

  /** A target whose entry may have lapsed in an outage stays for the rest of the grace, so that it can register again. */
  const withdraw = (id: string, now: number): boolean => {
    if (!state.listings.has(id)) return false
    if (now - state.returnedAt >= RETURN_GRACE_MS) {
      remove(id, 'its entry was removed')
      return true
    }
    state.lapsing.set(id, state.returnedAt + RETURN_GRACE_MS)
    return false
  }

  const takeListing = (change: Change, now: number): boolean => {
    const { entry, version } = change
    if (entry.kind === 'withdrawn') {
      const known = state.listings.get(entry.id)
      return known !== undefined && known.version < version && withdraw(entry.id, now)
    }
    if (entry.kind !== 'listing') return false
    const known = state.listings.get(entry.id)
    if (known !== undefined && known.version >= version) return false
    state.lapsing.delete(entry.id)
    state.listings.set(entry.id, change)
    const { service, draining, startedAt } = entry.listing
    log.info('target.listed', { target: entry.id, service, draining, startedAt, version })
    return true
  }

  const withdrawMissing = (batch: Batch, now: number): boolean => {
    const named = new Set(batch.changes.map(({ entry }) => entry.kind === 'ruleset' ? '' : entry.id))
    const missing = [...state.listings].filter(([id, { version }]) => !named.has(id) && version <= batch.upTo)
    return missing.map(([id]) => withdraw(id, now)).includes(true)
  }

  const apply = (batch: Batch, now: number): boolean => {
    if (batch.after !== undefined && batch.after > state.upTo[batch.section]) return false
    const isOld = batch.upTo < state.upTo[batch.section]
    const take = batch.section === 'rulesets' ? takeRuleset : takeListing
    const taken = batch.changes.map(change => take(change, now))
    // A batch that another VM read earlier says nothing of what is missing by now.
    const removed = batch.after === undefined && !isOld && batch.section === 'listings' && withdrawMissing(batch, now)
    state.upTo[batch.section] = Math.max(state.upTo[batch.section], batch.upTo)
    if (!removed && !taken.includes(true)) return true
    state.byService = indexByService(state)
    for (const listener of listeners) listener(batch)
    return true
  }

  const sweep = (now: number): void => {
    const due = [...state.lapsing].filter(([, until]) => until <= now)
    for (const [id] of due) remove(id, 'its entry lapsed and did not come back')
    if (due.length > 0) state.byService = indexByService(state)
  }

  const knownChanges = (section: Section): readonly Change[] => {
    if (section === 'rulesets') return state.ruleset === undefined ? [] : [state.ruleset]
    return [...state.listings].flatMap(([id, change]) => state.lapsing.has(id) ? [] : [change])
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
    noteReturn: now => { state.returnedAt = now },
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
