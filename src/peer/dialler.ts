/** Decides which VMs to dial and when, with backoff and jitter. */
import type { VM } from '../model/index.js'
import { INITIAL_BACKOFF_MS, MAX_BACKOFF_MS, STABLE_LINK_MS, SECOND_DIALLER_DELAY_MS } from './constants.js'

/** Schedules dials to the wanted peers. */
export interface Dialler {
  /** Returns the VMs to dial now. Each counts as being dialled until `ended` is called for it. */
  readonly due: (wanted: readonly VM[], isLinked: (vm: string) => boolean, now: number) => readonly VM[]
  /** Number of consecutive failed dials to a VM. */
  readonly failures: (vm: string) => number
  /** Records the end of a dial. `openMs` is the time for which its link was open, in ms; 0 if it did not open. */
  readonly ended: (vm: string, openMs: number, now: number) => void
}

interface DialState {
  readonly failures: number
  readonly dueAt: number
  readonly isDialling: boolean
}

/**
 * Creates a dialler without any recorded dials.
 *
 * The VM with the lower name dials at once. The other one dials only after
 * `secondDialDelayMs` without a link, so that two VMs rarely dial each other at the same time.
 *
 * @param random returns numbers from 0 to below 1; the jitter keeps VMs that lost
 *   their links at the same time from dialling at the same time
 */
export function createDialler (self: string, random: () => number, secondDialDelayMs = SECOND_DIALLER_DELAY_MS): Dialler {
  const states = new Map<string, DialState>()

  const initialState = (vm: string, now: number): DialState =>
    ({ failures: 0, isDialling: false, dueAt: self < vm ? now : now + secondDialDelayMs })

  const backoffMs = (failures: number): number => {
    const limit = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (failures - 1))
    return limit * (0.5 + random() / 2)
  }
  const removeUnwanted = (wanted: readonly VM[]): void => {
    const names = new Set(wanted.map(vm => vm.name))
    for (const [vm, state] of states) if (!names.has(vm) && !state.isDialling) states.delete(vm)
  }
  const isDue = (vm: string, isLinked: boolean, now: number): boolean => {
    const state = states.get(vm)
    if (state?.isDialling === true) return false
    if (isLinked) {
      states.delete(vm)
      return false
    }
    const known = state ?? initialState(vm, now)
    states.set(vm, known)
    return now >= known.dueAt
  }

  return {
    due: (wanted, isLinked, now) => {
      removeUnwanted(wanted)
      const due = wanted.filter(vm => vm.name !== self && isDue(vm.name, isLinked(vm.name), now))
      for (const { name } of due) states.set(name, { ...initialState(name, now), ...states.get(name), isDialling: true })
      return due
    },
    failures: vm => states.get(vm)?.failures ?? 0,
    ended: (vm, openMs, now) => {
      // A link that closes soon after it opened counts as a failure, since it would otherwise be dialled without backoff.
      const failures = openMs >= STABLE_LINK_MS ? 1 : (states.get(vm)?.failures ?? 0) + 1
      states.set(vm, { failures, dueAt: now + backoffMs(failures), isDialling: false })
    }
  }
}
