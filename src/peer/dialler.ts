/** Decides which VM to dial and when. */
import type { VM } from '../model/index.js'
import { BACKOFF_FIRST_MS, BACKOFF_LIMIT_MS, STABLE_LINK_MS, SECOND_DIALLER_DELAY_MS } from './constants.js'

/** Times of the dials to the wanted peers. */
export interface Dialler {
  /** VMs to dial now. They count as being dialled until `ended` is called. */
  readonly due: (wanted: readonly VM[], isLinked: (vm: string) => boolean, now: number) => readonly VM[]
  /** Dials to a VM that failed in a row. */
  readonly failures: (vm: string) => number
  /** Records the end of a dial and how long the link was open that it opened, if any, in ms. */
  readonly ended: (vm: string, openMs: number, now: number) => void
}

interface Attempt {
  readonly failures: number
  readonly dueAt: number
  readonly active: boolean
}

/**
 * Creates a dialler without attempts.
 *
 * The VM with the lower name dials at once, and the other one only when there
 * was no link for `secondDialDelayMs`, so that two VMs rarely dial each other at the same time.
 *
 * @param random yields numbers from 0 to below 1; the jitter keeps VMs that lost
 *   their links together from dialling together
 */
export function createDialler (self: string, random: () => number, secondDialDelayMs = SECOND_DIALLER_DELAY_MS): Dialler {
  const attempts = new Map<string, Attempt>()

  const first = (vm: string, now: number): Attempt =>
    ({ failures: 0, active: false, dueAt: self < vm ? now : now + secondDialDelayMs })

  const backoffMs = (failures: number): number => {
    const limit = Math.min(BACKOFF_LIMIT_MS, BACKOFF_FIRST_MS * 2 ** (failures - 1))
    return limit * (0.5 + random() / 2)
  }
  const forgetUnwanted = (wanted: readonly VM[]): void => {
    const names = new Set(wanted.map(vm => vm.name))
    for (const [vm, attempt] of attempts) if (!names.has(vm) && !attempt.active) attempts.delete(vm)
  }
  const isDue = (vm: string, linked: boolean, now: number): boolean => {
    const attempt = attempts.get(vm)
    if (attempt?.active === true) return false
    if (linked) {
      attempts.delete(vm)
      return false
    }
    const known = attempt ?? first(vm, now)
    attempts.set(vm, known)
    return now >= known.dueAt
  }

  return {
    due: (wanted, isLinked, now) => {
      forgetUnwanted(wanted)
      const due = wanted.filter(vm => vm.name !== self && isDue(vm.name, isLinked(vm.name), now))
      for (const { name } of due) attempts.set(name, { ...first(name, now), ...attempts.get(name), active: true })
      return due
    },
    failures: vm => attempts.get(vm)?.failures ?? 0,
    ended: (vm, openMs, now) => {
      // A link that closes soon after it opened counts as a failure, or it would be dialled without pause.
      const failures = openMs >= STABLE_LINK_MS ? 1 : (attempts.get(vm)?.failures ?? 0) + 1
      attempts.set(vm, { failures, dueAt: now + backoffMs(failures), active: false })
    }
  }
}
