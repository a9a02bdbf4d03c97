/** The times of a planned stop, from the settings. */

/** A planned stop. Times are in ms, and the limit counts from the signal. */
export interface StopTimes {
  /** Time during which a stopping VM still accepts connections, so that callers can refresh their addresses. */
  readonly drainDelayMs: number
  /** Time at which the remaining connections are cut off. */
  readonly limitMs: number
}

/** Longest fraction of the grace period that the drain delay takes. */
const DRAIN_DELAY_FRACTION = 0.45
/** Some callers ignore the TTL of an address list and cache it for up to three times as long. */
const ADDRESS_CACHE_FACTOR = 3
/** Longest drain delay, in ms. Later, only requests that are sure to be answered are forwarded, which the entry checks. */
const MAX_DRAIN_DELAY_MS = 2900
/** Time reserved at the end of the grace period for the process to exit, in ms. */
const EXIT_MARGIN_MS = 250
/** The same for a short grace period, as a fraction of it. Below a sixth, because requests may be cut off in the last sixth only. */
const EXIT_MARGIN_FRACTION = 1 / 8

/**
 * Returns the times of a planned stop.
 *
 * @param graceMs maximum time from the signal to the exit of the process
 * @param addressTtlMs how long callers may cache an address list
 *
 * @example
 * stopTimes(6000, 1000) // { drainDelayMs: 2700, limitMs: 5750 }
 */
export function stopTimes (graceMs: number, addressTtlMs: number): StopTimes {
  return {
    drainDelayMs: Math.min(graceMs * DRAIN_DELAY_FRACTION, addressTtlMs * ADDRESS_CACHE_FACTOR, MAX_DRAIN_DELAY_MS),
    limitMs: graceMs - Math.min(EXIT_MARGIN_MS, graceMs * EXIT_MARGIN_FRACTION)
  }
}
