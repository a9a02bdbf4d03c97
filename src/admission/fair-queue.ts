/**
 * Fair queue of the requests for slots of one service.
 *
 * Requests of a higher priority are served first. Within a priority the callers are served round-robin, so a caller with
 * many requests delays each of the others by one request only.
 */

/** Properties of a queued request that determine its order. */
export interface QueueEntry {
  readonly caller: string
  /** Entries with a higher number are served first. */
  readonly priority: number
}

/** A queue in fair order. */
export interface FairQueue<Entry extends QueueEntry> {
  readonly size: () => number
  readonly entries: () => readonly Entry[]
  readonly add: (entry: Entry) => void
  /** Removes an entry that got no slot; returns false if it is not in the queue. */
  readonly remove: (entry: Entry) => boolean
  /** Removes an entry that got a slot, and ends the turn of its caller. */
  readonly dequeue: (entry: Entry) => void
  /** Entries in the order in which they are to be served. */
  readonly inServiceOrder: () => Generator<Entry, void>
  /** Returns the entry to evict from a full queue of `length`; undefined if the arriving one is to be refused. */
  readonly findEvictable: (arriving: QueueEntry, length: number) => Entry | undefined
}

/** A priority that was skipped this many times is served next, so that higher ones cannot starve it. */
const MAX_SKIPS = 7

/** Fraction of a full queue that is reserved for lower priorities, for the same reason. */
const RESERVED_FRACTION = 1 / 8

/** Maximum number of callers in one priority with turns of their own; the others share one turn. */
const MAX_CALLERS = 256
const SHARED_TURN = '\0other callers'

/** Entries of one priority. */
interface Level<Entry> {
  readonly priority: number
  /** Entries by caller, in round-robin order: the first caller is served next. */
  readonly turns: Map<string, Entry[]>
  count: number
  /** Entries of higher priorities that were served since an entry of this one. */
  skips: number
}

function turnOf<Entry extends QueueEntry> (level: Level<Entry>, caller: string): string {
  if (level.turns.has(caller) || level.turns.size < MAX_CALLERS) return caller
  return SHARED_TURN
}

/** Removes an entry; returns the key of its turn, or undefined if it is not in the level. */
function removeFromLevel<Entry extends QueueEntry> (level: Level<Entry>, entry: Entry): string | undefined {
  for (const turn of [entry.caller, SHARED_TURN]) {
    const entries = level.turns.get(turn)
    const index = entries?.indexOf(entry) ?? -1
    if (entries === undefined || index < 0) continue
    entries.splice(index, 1)
    if (entries.length === 0) level.turns.delete(turn)
    level.count -= 1
    return turn
  }
  return undefined
}

/** Entries of one level in round-robin order. */
function * roundRobin<Entry> (level: Level<Entry>): Generator<Entry, void> {
  const turns = [...level.turns.values()]
  const longest = Math.max(...turns.map(entries => entries.length))
  for (let round = 0; round < longest; round++) {
    for (const entries of turns) {
      const entry = entries[round]
      if (entry !== undefined) yield entry
    }
  }
}

/** Entries of the caller that has the most. */
function longestTurn<Entry> (levels: ReadonlyArray<Level<Entry>>): readonly Entry[] {
  const turns = levels.flatMap(level => [...level.turns.values()])
  return turns.reduce<readonly Entry[]>((longest, entries) => entries.length > longest.length ? entries : longest, [])
}

const countOf = <Entry>(levels: ReadonlyArray<Level<Entry>>): number => levels.reduce((sum, level) => sum + level.count, 0)

/**
 * Selects the entry to evict: the newest entry of the caller with the most entries, first in the lower priorities (down
 * to their reserved fraction), then in the priority of the arriving entry (if its caller has clearly fewer entries),
 * then in the higher priorities (if the fraction reserved for the arriving entry is not used up).
 */
function chooseEvictable<Entry extends QueueEntry> (levels: ReadonlyArray<Level<Entry>>, arriving: QueueEntry, length: number): Entry | undefined {
  const reserved = Math.max(1, Math.floor(length * RESERVED_FRACTION))
  const lower = levels.filter(level => level.priority < arriving.priority)
  if (countOf(lower) > reserved) return longestTurn(lower).at(-1)

  const same = levels.filter(level => level.priority === arriving.priority)
  const own = same[0]?.turns.get(arriving.caller)?.length ?? 0
  const longest = longestTurn(same)
  // Evicting an entry has to make the numbers of entries per caller more equal.
  if (longest.length > own + 1) return longest.at(-1)

  const higher = levels.filter(level => level.priority > arriving.priority)
  if (countOf(same) + countOf(lower) < reserved) return longestTurn(higher).at(-1)
  return undefined
}

/** Creates an empty queue. Its user enforces the length limit with `findEvictable`. */
export function createFairQueue<Entry extends QueueEntry> (): FairQueue<Entry> {
  /** By descending priority; a level without entries is removed. */
  let levels: ReadonlyArray<Level<Entry>> = []
  const levelOf = (priority: number): Level<Entry> | undefined => levels.find(level => level.priority === priority)
  const removeEmptyLevels = (): void => { levels = levels.filter(level => level.count > 0) }

  const addLevel = (priority: number): Level<Entry> => {
    const level: Level<Entry> = { priority, turns: new Map(), count: 0, skips: 0 }
    levels = [...levels, level].sort((a, b) => b.priority - a.priority)
    return level
  }
  const serviceOrder = (): ReadonlyArray<Level<Entry>> => {
    const starved = levels.filter(level => level.skips >= MAX_SKIPS)
    return [...starved.sort((a, b) => b.skips - a.skips), ...levels.filter(level => level.skips < MAX_SKIPS)]
  }
  return {
    size: () => countOf(levels),
    entries: () => levels.flatMap(level => [...level.turns.values()].flat()),
    add: entry => {
      const level = levelOf(entry.priority) ?? addLevel(entry.priority)
      const turn = turnOf(level, entry.caller)
      const entries = level.turns.get(turn)
      if (entries === undefined) level.turns.set(turn, [entry])
      else entries.push(entry)
      level.count += 1
    },
    remove: entry => {
      const level = levelOf(entry.priority)
      if (level === undefined || removeFromLevel(level, entry) === undefined) return false
      removeEmptyLevels()
      return true
    },
    dequeue: entry => {
      const level = levelOf(entry.priority)
      const turn = level === undefined ? undefined : removeFromLevel(level, entry)
      if (level === undefined || turn === undefined) return
      const remaining = level.turns.get(turn)
      // A Map keeps the order of insertion, so reinserting the caller moves it to the end.
      if (remaining !== undefined && level.turns.delete(turn)) level.turns.set(turn, remaining)
      level.skips = 0
      for (const other of levels) if (other.priority < level.priority) other.skips += 1
      removeEmptyLevels()
    },
    inServiceOrder: function * () {
      for (const level of serviceOrder()) yield * roundRobin(level)
    },
    findEvictable: (arriving, length) => chooseEvictable(levels, arriving, length)
  }
}
