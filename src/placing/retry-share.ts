/**
 * The part of a retry allowance of the whole fleet that one VM may use.
 *
 * The VMs do not coordinate their retries, so the parts must add up to at most the allowance in every window,
 * also while VMs start, stop and see different VMs serving. A VM therefore gets its whole part only after it has
 * served for a whole window without interruption. All VMs that used their whole part within a window then served
 * together at its start, and each of them divides by at least their number. Until then, a VM gets a small fraction.
 */

/** The serving VMs in the view of one VM. */
export interface ServingCount {
  /** Whether this VM is one of them. */
  readonly isServing: boolean
  /** Number of serving VMs in all zones. */
  readonly vms: number
}

/** Part of the allowance of one VM. */
export interface RetryShare {
  /** Records the view at `now`, and returns the part, from 0 to 1. Has to be called at least every second. */
  readonly at: (serving: ServingCount, now: number) => number
}

interface CountSample {
  readonly at: number
  readonly vms: number
}

/** Fraction of its part that a VM gets in its first window; the budget's margin covers what the VMs before it used. */
const STARTUP_FRACTION = 0.1
/** Samples that are closer to each other are combined, in ms. */
const SAMPLE_INTERVAL_MS = 250

/**
 * Creates the share of a VM that does not serve yet.
 *
 * @param windowMs length of the allowance's window, in ms
 *
 * @example
 * const share = createRetryShare(() => 10_000)
 * share.at({ isServing: true, vms: 6 }, 0) // 0.1 / 6
 * share.at({ isServing: true, vms: 6 }, 10_000) // 1 / 6
 */
export function createRetryShare (windowMs: () => number): RetryShare {
  let servingSince: number | undefined
  let samples: readonly CountSample[] = []

  const record = (vms: number, now: number): void => {
    const last = samples.at(-1)
    const isCombined = last !== undefined && now - last.at < SAMPLE_INTERVAL_MS
    if (isCombined && vms <= last.vms) return
    const recent = samples.filter(sample => now - sample.at <= windowMs() + SAMPLE_INTERVAL_MS && !(isCombined && sample === last))
    samples = [...recent, { at: isCombined ? last.at : now, vms }]
  }

  return {
    at: ({ isServing, vms }, now) => {
      record(vms, now)
      if (!isServing) {
        servingSince = undefined
        return 0
      }
      servingSince ??= now
      const fraction = now - servingSince < windowMs() ? STARTUP_FRACTION : 1
      return fraction / Math.max(1, ...samples.map(sample => sample.vms))
    }
  }
}
