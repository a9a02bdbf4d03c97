/** Load shapes of heavy days. */
import type { Kind, Load } from './model.js'

const KINDS: readonly Kind[] = [
  { name: 'read', idempotent: true, priority: 2, perSecond: 63, workMs: 210, objectiveMs: 800, deadlineMs: 2000 },
  { name: 'hold', idempotent: false, priority: 1, perSecond: 169, workMs: 280, objectiveMs: 800, deadlineMs: 2500 },
  { name: 'archive', idempotent: false, priority: 0, perSecond: 23, workMs: 130, objectiveMs: 500, deadlineMs: 1500 }
]

const BASE = { targets: { a: 9, b: 7, c: 9 }, slots: 4, vmsPerZone: 2, kinds: KINDS, durationMs: 12_000, rateAt: () => 1, seed: 5 } as const

/** Time for which a failing target fails, and part of the targets that do at any time. */
const EPISODE_MS = 9000
const FAILING_PART = 0.3

/** Whether a target is in an episode; episodes of different targets begin at different times. */
function isInEpisode (target: number, now: number): boolean {
  const cycleMs = EPISODE_MS / FAILING_PART
  return (now + target * cycleMs * 0.618) % cycleMs < EPISODE_MS
}

/** The loads that are played. */
export const LOADS = {
  usual: { ...BASE, name: 'usual', rateAt: () => 0.6 },
  full: { ...BASE, name: 'full', rateAt: () => 1.4 },
  overload: { ...BASE, name: 'overload', rateAt: () => 1.8 },
  burst: { ...BASE, name: 'burst', rateAt: now => now >= 3000 && now < 6000 ? 1.8 : 0.8 },
  'lopsided zones': { ...BASE, name: 'lopsided zones', targets: { a: 15, b: 3, c: 7 }, rateAt: () => 0.9 },
  'full and failing': { ...BASE, name: 'full and failing', isFailing: isInEpisode },
  'failing targets': { ...BASE, name: 'failing targets', rateAt: () => 0.65, isFailing: isInEpisode }
} as const satisfies Readonly<Record<string, Load>>
