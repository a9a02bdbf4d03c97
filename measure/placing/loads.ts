/** Load profiles of peak days. */
import type { RequestClass, Load } from './model.js'

const CLASSES: readonly RequestClass[] = [
  { name: 'read', idempotent: true, priority: 2, perSecond: 63, serviceTimeMs: 210, objectiveMs: 800, deadlineMs: 2000 },
  { name: 'hold', idempotent: false, priority: 1, perSecond: 169, serviceTimeMs: 280, objectiveMs: 800, deadlineMs: 2500 },
  { name: 'archive', idempotent: false, priority: 0, perSecond: 23, serviceTimeMs: 130, objectiveMs: 500, deadlineMs: 1500 }
]

const BASE = { targets: { a: 9, b: 7, c: 9 }, slots: 4, vmsPerZone: 2, classes: CLASSES, durationMs: 12_000, rateFactorAt: () => 1, seed: 5 } as const

/** Requests whose service time is little longer than the time that a message takes to be sent between two VMs. */
const SHORT_CLASSES: readonly RequestClass[] = [
  { name: 'read', idempotent: true, priority: 2, perSecond: 71, serviceTimeMs: 95, objectiveMs: 400, deadlineMs: 1200 },
  { name: 'visit', idempotent: false, priority: 1, perSecond: 174, serviceTimeMs: 115, objectiveMs: 400, deadlineMs: 800 },
  { name: 'certificate', idempotent: false, priority: 0, perSecond: 34, serviceTimeMs: 55, objectiveMs: 200, deadlineMs: 800 }
]
const SHORT = { targets: { a: 8, b: 9, c: 7, d: 7 }, slots: 2, vmsPerZone: 2, classes: SHORT_CLASSES, durationMs: 12_000, seed: 5 } as const

/** Duration of a failure episode, and the fraction of the targets that are in one at any time. */
const EPISODE_MS = 9000
const FAILING_FRACTION = 0.3

/** Returns true while a target is in a failure episode. The episodes of different targets are staggered. */
function isInEpisode (target: number, now: number): boolean {
  const cycleMs = EPISODE_MS / FAILING_FRACTION
  return (now + target * cycleMs * 0.618) % cycleMs < EPISODE_MS
}

/** Simulated loads by name. */
export const LOADS = {
  usual: { ...BASE, name: 'usual', rateFactorAt: () => 0.6 },
  full: { ...BASE, name: 'full', rateFactorAt: () => 1.4 },
  overload: { ...BASE, name: 'overload', rateFactorAt: () => 1.8 },
  burst: { ...BASE, name: 'burst', rateFactorAt: now => now >= 3000 && now < 6000 ? 1.8 : 0.8 },
  'lopsided zones': { ...BASE, name: 'lopsided zones', targets: { a: 15, b: 3, c: 7 }, rateFactorAt: () => 0.9 },
  'short runs': { ...SHORT, name: 'short runs', rateFactorAt: () => 1.3 },
  'slow short runs': { ...SHORT, name: 'slow short runs', classes: SHORT_CLASSES.map(requestClass => ({ ...requestClass, serviceTimeMs: 2 * requestClass.serviceTimeMs })), rateFactorAt: () => 1 },
  'short and failing': { ...SHORT, name: 'short and failing', rateFactorAt: () => 1, isFailing: isInEpisode },
  'full and failing': { ...BASE, name: 'full and failing', isFailing: isInEpisode },
  'overload and failing': { ...BASE, name: 'overload and failing', rateFactorAt: () => 1.3, isFailing: isInEpisode },
  'failing targets': { ...BASE, name: 'failing targets', rateFactorAt: () => 0.65, isFailing: isInEpisode }
} as const satisfies Readonly<Record<string, Load>>
