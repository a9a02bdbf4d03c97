/**
 * Tracks requests whose connection was lost and identifies those that probably crash targets.
 *
 * When a target crashes, all requests that run there are lost, and most of
 * them are victims. A victim that is lost again at a second target by chance
 * must not be mistaken for the cause. Two losses are therefore enough only if
 * no other request was lost in either crash.
 */
import type { Observation } from '../model/index.js'

/** An attempt that ended because the connection was reset or went silent. */
export interface Loss {
  readonly fingerprint: string
  readonly service: string
  readonly target: string
  readonly result: 'reset' | 'silent'
  readonly startedAt: number
  readonly endedAt: number
  /** Undefined if another VM reported the loss. */
  readonly observation: Observation | undefined
}

/** The losses of the last minute, by fingerprint. */
export interface LossHistory {
  readonly add: (loss: Loss) => void
  readonly has: (fingerprint: string) => boolean
  readonly fingerprints: () => readonly string[]
  readonly get: (fingerprint: string) => readonly Loss[]
  /** All losses that belong to the same crash as the given one, which is included. */
  readonly inSameCrash: (loss: Loss) => readonly Loss[]
  /** Drops the losses of a request that is not the cause. They still count as other losses of their crashes. */
  readonly clear: (fingerprint: string) => void
  /** Whether the request was lost at enough different targets to be considered the cause. */
  readonly isCause: (fingerprint: string, now: number) => boolean
  readonly prune: (now: number) => void
}

/** Only losses within this time of each other suggest a common cause. */
const LOSS_WINDOW_MS = 60_000

/** Number of different targets that makes a request the cause if it was the only one lost at each of them. */
const MIN_SOLE_LOSS_TARGETS = 2

/** Number of different targets that makes a request the cause whatever else was lost: three within a minute are unlikely to be chance. */
const MIN_LOSS_TARGETS = 3

/** The resets of one crash arrive at all VMs within this time. */
const CRASH_TOLERANCE_MS = 250

/** Other VMs' reports of the same crash arrive within this time, so the other victims are known only after it. */
const REPORT_DELAY_MS = 100

/** Bounds memory when a whole service loses its connections. When it is reached, the oldest half is dropped. */
const MAX_LOSSES = 1024

/** A silent connection shows no exact time of failure, so the whole duration of the attempt is compared. */
function isSameCrash (a: Loss, b: Loss): boolean {
  if (a.service !== b.service || a.target !== b.target) return false
  if (a.result === 'reset' && b.result === 'reset') return Math.abs(a.endedAt - b.endedAt) <= CRASH_TOLERANCE_MS
  return a.startedAt <= b.endedAt + CRASH_TOLERANCE_MS && b.startedAt <= a.endedAt + CRASH_TOLERANCE_MS
}

const countDistinctTargets = (losses: readonly Loss[]): number => new Set(losses.map(({ target }) => target)).size

/** Creates an empty history. */
export function createLossHistory (): LossHistory {
  let chronological: Loss[] = []
  const byFingerprint = new Map<string, Loss[]>()
  /** Losses of cleared requests. They are kept in `chronological` to show that other requests of the crash were not the only ones lost. */
  const cleared = new WeakSet<Loss>()

  const addToIndex = (loss: Loss): void => {
    const losses = byFingerprint.get(loss.fingerprint)
    if (losses === undefined) byFingerprint.set(loss.fingerprint, [loss])
    else losses.push(loss)
  }
  const rebuild = (losses: Loss[]): void => {
    chronological = losses
    byFingerprint.clear()
    for (const loss of losses) if (!cleared.has(loss)) addToIndex(loss)
  }
  const get = (fingerprint: string): readonly Loss[] => byFingerprint.get(fingerprint) ?? []
  const inSameCrash = (loss: Loss): readonly Loss[] => chronological.filter(other => isSameCrash(loss, other))
  const isSoleLoss = (loss: Loss): boolean => inSameCrash(loss).every(({ fingerprint }) => fingerprint === loss.fingerprint)
  return {
    fingerprints: () => [...byFingerprint.keys()],
    has: fingerprint => byFingerprint.has(fingerprint),
    get,
    inSameCrash,
    add: loss => {
      if (chronological.length >= MAX_LOSSES) rebuild(chronological.slice(MAX_LOSSES / 2))
      chronological.push(loss)
      addToIndex(loss)
    },
    clear: fingerprint => {
      for (const loss of get(fingerprint)) cleared.add(loss)
      byFingerprint.delete(fingerprint)
    },
    isCause: (fingerprint, now) => {
      const recent = get(fingerprint).filter(({ endedAt }) => now - endedAt < LOSS_WINDOW_MS)
      const targets = countDistinctTargets(recent)
      if (targets < MIN_SOLE_LOSS_TARGETS || targets >= MIN_LOSS_TARGETS) return targets >= MIN_LOSS_TARGETS
      return countDistinctTargets(recent.filter(loss => now - loss.endedAt >= REPORT_DELAY_MS && isSoleLoss(loss))) >= MIN_SOLE_LOSS_TARGETS
    },
    prune: now => {
      const recent = chronological.filter(({ endedAt }) => now - endedAt < LOSS_WINDOW_MS)
      if (recent.length < chronological.length) rebuild(recent)
    }
  }
}
