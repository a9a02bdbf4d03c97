/** Tracks targets that announced a drain. */
import type { Service, Target } from '../model/index.js'

/**
 * Lifetime of an announcement, in ms, unless a restart of the target is detected earlier. It equals the
 * default limit of the duration of a request, after which a draining target has stopped. A test
 * request cannot show whether the target still drains, because a draining target must get no requests.
 */
export const DRAIN_TTL_MS = 600_000

/** Draining targets of one service, in the view of one VM. */
export interface Drains {
  /** Records an announcement. Returns true if the target was not known to be draining. */
  readonly add: (target: string, ageMs: number, now: number) => boolean
  /** Ends the drain of a target that restarted `ageMs` ago. Announcements from before the restart are ignored. */
  readonly end: (target: string, ageMs: number, now: number) => void
  /** Removes expired announcements, and those of targets that the configuration replaced or removed. */
  readonly update: (service: Service, now: number) => void
  readonly current: () => ReadonlySet<string>
  /** Draining targets, with the ages of their announcements. */
  readonly records: (now: number) => readonly TargetAge[]
  /** Targets that restarted, with the times since then. */
  readonly restarted: (now: number) => readonly TargetAge[]
}

/** A target, and the age of an event at it, in ms. */
export type TargetAge = readonly [target: string, ageMs: number]

function isReplaced (before: Target, after: Target | undefined): boolean {
  return before.address !== after?.address || before.port !== after.port
}

/** Creates a tracker without draining targets. */
export function createDrains (): Drains {
  const announcedAt = new Map<string, number>()
  /** Times of replacements. VMs on an older revision still send the announcement of a replaced target. */
  const replacedAt = new Map<string, number>()
  const restartedAt = new Map<string, number>()
  const endedAt = (target: string): number => Math.max(replacedAt.get(target) ?? -Infinity, restartedAt.get(target) ?? -Infinity)
  let targets = new Map<string, Target>()
  let latest: Service | undefined
  return {
    add: (target, ageMs, now) => {
      if (ageMs >= DRAIN_TTL_MS || now - ageMs <= endedAt(target)) return false
      const previous = announcedAt.get(target)
      announcedAt.set(target, Math.max(previous ?? -Infinity, now - ageMs))
      return previous === undefined
    },
    end: (target, ageMs, now) => {
      if (ageMs >= DRAIN_TTL_MS) return
      const at = now - ageMs
      restartedAt.set(target, Math.max(at, restartedAt.get(target) ?? -Infinity))
      if ((announcedAt.get(target) ?? Infinity) <= at) announcedAt.delete(target)
    },
    update: (service, now) => {
      for (const [target, at] of announcedAt) if (now - at >= DRAIN_TTL_MS) announcedAt.delete(target)
      for (const [target, at] of restartedAt) if (now - at >= DRAIN_TTL_MS) restartedAt.delete(target)
      if (service === latest) return
      const next = new Map(service.targets.map(target => [target.id, target]))
      for (const [target, at] of replacedAt) if (now - at >= DRAIN_TTL_MS) replacedAt.delete(target)
      for (const [target, entry] of targets) {
        if (!isReplaced(entry, next.get(target))) continue
        announcedAt.delete(target)
        replacedAt.set(target, now)
      }
      targets = next
      latest = service
    },
    current: () => new Set(announcedAt.keys()),
    records: now => [...announcedAt].map(([target, at]) => [target, now - at] as const),
    restarted: now => [...restartedAt].map(([target, at]) => [target, now - at] as const)
  }
}
