/** Load shapes of heavy days. */
import type { Kind, Load } from './model.js'

const KINDS: readonly Kind[] = [
  { name: 'read', idempotent: true, priority: 2, perSecond: 63, workMs: 210, objectiveMs: 800, deadlineMs: 2000 },
  { name: 'hold', idempotent: false, priority: 1, perSecond: 169, workMs: 280, objectiveMs: 800, deadlineMs: 2500 },
  { name: 'archive', idempotent: false, priority: 0, perSecond: 23, workMs: 130, objectiveMs: 500, deadlineMs: 1500 }
]

const BASE = { targets: { a: 9, b: 7, c: 9 }, slots: 4, vmsPerZone: 2, kinds: KINDS, durationMs: 12_000, rateAt: () => 1, seed: 5 } as const

/** Requests that take little more time than a message between two VMs takes to be sent. */
const SHORT_KINDS: readonly Kind[] = [
  { name: 'read', idempotent: true, priority: 2, perSecond: 71, workMs: 95, objectiveMs: 400, deadlineMs: 1200 },
  { name: 'visit', idempotent: false, priority: 1, perSecond: 174, workMs: 115, objectiveMs: 400, deadlineMs: 800 },
  { name: 'certificate', idempotent: false, priority: 0, perSecond: 34, workMs: 55, objectiveMs: 200, deadlineMs: 800 }
]
const SHORT = { targets: { a: 8, b: 9, c: 7, d: 7 }, slots: 2, vmsPerZone: 2, kinds: SHORT_KINDS, durationMs: 12_000, seed: 5 } as const

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
  'short runs': { ...SHORT, name: 'short runs', rateAt: () => 1.3 },
  'slow short runs': { ...SHORT, name: 'slow short runs', kinds: SHORT_KINDS.map(kind => ({ ...kind, workMs: 2 * kind.workMs })), rateAt: () => 1 },
  'short and failing': { ...SHORT, name: 'short and failing', rateAt: () => 1, isFailing: isInEpisode },
  'full and failing': { ...BASE, name: 'full and failing', isFailing: isInEpisode },
  'overload and failing': { ...BASE, name: 'overload and failing', rateAt: () => 1.3, isFailing: isInEpisode },
  'failing targets': { ...BASE, name: 'failing targets', rateAt: () => 0.65, isFailing: isInEpisode }
} as const satisfies Readonly<Record<string, Load>>
