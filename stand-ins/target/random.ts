import type { ServiceTime } from './spec.js'

const DEFAULT_SIGMA = 0.5

/** Creates a deterministic generator of uniform numbers in [0, 1) from a seed (mulberry32). */
export function createRandom (seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (state + 0x6d2b79f5) >>> 0
    let mixed = Math.imul(state ^ (state >>> 15), state | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32
  }
}

function standardNormal (random: () => number): number {
  // Box-Muller transform. `1 - random()` is in (0, 1], because the logarithm of zero is infinite.
  return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
}

/** Draws a service time in ms. */
export function drawServiceTime ({ distribution, meanMs, sigma = DEFAULT_SIGMA }: ServiceTime, random: () => number): number {
  if (distribution === 'fixed') return meanMs
  if (distribution === 'exponential') return -meanMs * Math.log(1 - random())
  // The mean of a lognormal is exp(mu + sigma² / 2).
  return meanMs * Math.exp(sigma * standardNormal(random) - sigma ** 2 / 2)
}
