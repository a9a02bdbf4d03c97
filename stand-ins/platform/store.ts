/** In-memory data of the platform: table, objects and VM list. */
import type { Commit, Condition, ListedVM, Row, Write } from '../../src/model/index.js'

/** Maximum lag of table reads and of the VM list, in ms; older versions are discarded. */
export const MAX_LAG_MS = 60_000

/** Data that platform stand-ins can share. Times are in ms on the caller's clock. */
export interface Store {
  /** Returns the rows as of `lagMs` before `now`; undefined for a row that did not exist then. */
  readonly read: (keys: readonly string[], now: number, lagMs?: number) => ReadonlyArray<Row | undefined>
  /** Applies all writes atomically, or none if any precondition fails. Preconditions are checked against the latest versions. */
  readonly transact: (writes: readonly Write[], now: number, conditions?: readonly Condition[]) => Commit
  readonly getObject: (key: string) => Uint8Array | undefined
  readonly putObject: (key: string, value: Uint8Array) => void
  readonly listVMs: (now: number, lagMs?: number) => readonly ListedVM[]
  readonly setVMs: (vms: readonly ListedVM[], now: number) => void
  /** Returns the sorted keys of the existing rows with the prefix, for assertions in tests. */
  readonly keys: (prefix: string) => readonly string[]
}

interface Versioned<Value> {
  readonly at: number
  readonly value: Value
}

/** Returns the value as of `at`, from versions sorted by time. */
function valueAt<Value> (history: ReadonlyArray<Versioned<Value>>, at: number): Value | undefined {
  return history.findLast(entry => entry.at <= at)?.value
}

/** Appends a version and discards those older than the maximum lag. */
function addVersion<Value> (history: ReadonlyArray<Versioned<Value>>, value: Value, now: number): ReadonlyArray<Versioned<Value>> {
  const oldestReachable = history.findLastIndex(entry => entry.at <= now - MAX_LAG_MS)
  return [...history.slice(Math.max(0, oldestReachable)), { at: now, value }]
}

/**
 * Creates an empty store.
 *
 * @example
 * const store = createStore()
 * store.transact([{ key: 'a', value: '1', expect: 'absent' }], 0) // 'committed'
 * store.transact([{ key: 'a', value: '2', expect: 'absent' }], 1) // 'conflict'
 */
export function createStore (): Store {
  const rows = new Map<string, ReadonlyArray<Versioned<Row | undefined>>>()
  const objects = new Map<string, Uint8Array>()
  let lists: ReadonlyArray<Versioned<readonly ListedVM[]>> = []
  // Shared by all rows, so that a row that is deleted and written again gets a higher version than before.
  let lastVersion = 0

  const latest = (key: string): Row | undefined => rows.get(key)?.at(-1)?.value

  const isPreconditionMet = ({ key, expect }: Pick<Write, 'key' | 'expect'>): boolean => {
    const row = latest(key)
    if (expect === 'any') return true
    return expect === 'absent' ? row === undefined : row?.version === expect
  }

  const apply = (write: Write, now: number): void => {
    lastVersion += 1
    const row = write.value === undefined ? undefined : { key: write.key, value: write.value, version: lastVersion }
    rows.set(write.key, addVersion(rows.get(write.key) ?? [], row, now))
  }

  return {
    read: (keys, now, lagMs = 0) => keys.map(key => lagMs === 0 ? latest(key) : valueAt(rows.get(key) ?? [], now - lagMs)),
    transact: (writes, now, conditions = []) => {
      if (![...writes, ...conditions].every(isPreconditionMet)) return 'conflict'
      for (const write of writes) apply(write, now)
      return 'committed'
    },
    getObject: key => objects.get(key),
    putObject: (key, value) => { objects.set(key, value) },
    listVMs: (now, lagMs = 0) => valueAt(lists, now - lagMs) ?? [],
    setVMs: (vms, now) => { lists = addVersion(lists, vms, now) },
    keys: prefix => [...rows.keys()].filter(key => key.startsWith(prefix) && latest(key) !== undefined).sort()
  }
}
