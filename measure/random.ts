/** Seeded random numbers, for reproducible runs. */

/** Returns uniformly distributed numbers in [0, 1). */
export type Random = () => number

/**
 * Creates a random number generator (mulberry32).
 *
 * @example
 * const random = createRandom(7)
 * random() // the same number for every generator with seed 7
 */
export function createRandom (seed: number): Random {
  let state = seed >>> 0
  return () => {
    state = (state + 0x6d2b79f5) >>> 0
    let mixed = Math.imul(state ^ (state >>> 15), state | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296
  }
}

/** Draws the time until the next event of a Poisson process, in ms. */
export function exponential (random: Random, ratePerSecond: number): number {
  return -Math.log(1 - random()) * 1000 / ratePerSecond
}

/** Draws a log-normally distributed value with the given median. */
export function logNormal (random: Random, median: number, sigma: number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
  return median * Math.exp(sigma * normal)
}
