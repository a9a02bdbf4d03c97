/** Demand of the callers of one zone, measured at the VMs that serve them. */

/** Highest recent demand. */
export interface ZoneDemand {
  /** Records the processor time that the serving VMs use, in cores. */
  readonly record: (usedCores: number, now: number) => void
  /** Highest value of the last seconds, in cores; 0 without one. */
  readonly peakCores: (now: number) => number
}

/** Time for which a peak counts, in ms. Callers keep address lists for seconds, so the selection follows a decrease slowly. */
const PEAK_HOLD_MS = 6000
/** Width of the intervals in which the peaks are kept, in ms. */
const INTERVAL_MS = 500

interface Peak {
  readonly interval: number
  readonly cores: number
}

/**
 * Creates a demand of 0.
 *
 * @example
 * const demand = createZoneDemand()
 * demand.record(0.4, now)
 * demand.peakCores(now + 1000) // 0.4
 */
export function createZoneDemand (): ZoneDemand {
  let peaks: readonly Peak[] = []
  const recent = (now: number): readonly Peak[] => peaks.filter(({ interval }) => now - interval * INTERVAL_MS <= PEAK_HOLD_MS)
  return {
    record: (cores, now) => {
      const interval = Math.floor(now / INTERVAL_MS)
      const current = peaks.find(peak => peak.interval === interval)
      if (current !== undefined && current.cores >= cores) return
      peaks = [...recent(now).filter(peak => peak !== current), { interval, cores }]
    },
    peakCores: now => Math.max(0, ...recent(now).map(({ cores }) => cores))
  }
}
