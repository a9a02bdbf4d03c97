/**
 * Program: simulates peak loads on the load balancers of several VMs and prints the outcomes of the requests.
 *
 * @example
 * npm run experiment -- burst full
 */
import { LOADS } from './loads.js'
import { simulateSeeds, type Load, type LoadResult } from './model.js'

/** Runs of each load, with a different seed each. */
const SEEDS = 5

const all: Readonly<Record<string, Load>> = LOADS
const requested = process.argv.slice(2)
const unknown = requested.filter(name => !(name in all))
if (unknown.length > 0) {
  console.error(`unknown load ${unknown.join(', ')}; known loads: ${Object.keys(all).join(', ')}`)
  process.exit(2)
}

function rowOf (load: string, { byClass, inAimShare, queuedMs, lowestUse, bytesBetweenZones }: LoadResult): Readonly<Record<string, string | number>> {
  const sum = (outcome: 'late' | 'refused' | 'failed'): number => Object.values(byClass).reduce((total, counts) => total + counts[outcome], 0)
  return {
    load,
    'in aim': inAimShare.toFixed(3),
    late: sum('late'),
    refused: sum('refused'),
    failed: sum('failed'),
    'queued ms': `${queuedMs.mean.toFixed(0)} (p95 ${queuedMs.p95.toFixed(0)})`,
    'lowest use': lowestUse.toFixed(2),
    'KB between zones': Math.round(bytesBetweenZones / 1000)
  }
}

const rows = []
for (const name of requested.length > 0 ? requested : Object.keys(all)) rows.push(rowOf(name, await simulateSeeds(all[name] as Load, SEEDS)))
console.table(rows)
