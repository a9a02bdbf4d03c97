/**
 * Program: plays the loads of heavy days on the placing of several VMs and prints what callers get.
 *
 * @example
 * npm run experiment -- burst full
 */
import { LOADS } from './loads.js'
import { playSeeds, type Load, type Played } from './model.js'

/** Runs of each load, with other random numbers. */
const SEEDS = 5

const all: Readonly<Record<string, Load>> = LOADS
const wanted = process.argv.slice(2)
const unknown = wanted.filter(name => !(name in all))
if (unknown.length > 0) {
  console.error(`unknown load ${unknown.join(', ')}; there are ${Object.keys(all).join(', ')}`)
  process.exit(2)
}

function rowOf (load: string, { byKind, inAimShare, queuedMs, lowestUse, bytesBetweenZones }: Played): Readonly<Record<string, string | number>> {
  const sum = (end: 'late' | 'refused' | 'failed'): number => Object.values(byKind).reduce((total, ends) => total + ends[end], 0)
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
for (const name of wanted.length > 0 ? wanted : Object.keys(all)) rows.push(rowOf(name, await playSeeds(all[name] as Load, SEEDS)))
console.table(rows)
