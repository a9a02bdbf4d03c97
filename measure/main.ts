/**
 * Program: measures this product against the baseline and writes one JSON object per line.
 *
 * @example
 * npm run measure -- --out measure-out.jsonl --quick
 * npm run measure -- --out latency.jsonl --only addedLatency
 */
import { appendFileSync, writeFileSync } from 'node:fs'
import { parseArgs } from 'node:util'
import { missingMeasures, type Measurement, type Source } from './measurement.js'
import { sources } from './sources.js'
import { formatTable } from './table.js'

const QUICK_RUNS = 1
const RUNS = 5
const EXIT_USAGE = 2
const MS_PER_SECOND = 1000

const { values } = parseArgs({
  options: {
    /** File that receives the lines. Example: `measure-out.jsonl`. */
    out: { type: 'string' },
    /** Fewer seeds and shorter runs, within 45 s in total. Default: false. */
    quick: { type: 'boolean', default: false },
    /** Name of the only source to run. Default: all sources. Example: `addedLatency`. */
    only: { type: 'string' },
    /** Seed of the first run; each further run increments it. Default: 1. */
    seed: { type: 'string', default: '1' }
  }
})

function fail (message: string): never {
  console.error(message)
  process.exit(EXIT_USAGE)
}

function chooseSources (only: string | undefined): readonly Source[] {
  const chosen = sources.filter(({ name }) => only === undefined || name === only)
  return chosen.length > 0 ? chosen : fail(`--only: expected one of ${sources.map(({ name }) => name).join(', ')}`)
}

const out = values.out ?? fail('usage: npm run measure -- --out FILE [--quick] [--only NAME] [--seed N]')
const firstSeed = Number(values.seed)
if (!Number.isSafeInteger(firstSeed)) fail('--seed: expected an integer')
const chosen = chooseSources(values.only)
const seeds = Array.from({ length: values.quick ? QUICK_RUNS : RUNS }, (_, i) => firstSeed + i)
const lines: Measurement[] = []

async function runSource (source: Source, path: string): Promise<void> {
  const startedAt = performance.now()
  const sourceLines: Measurement[] = []
  for await (const line of source.run({ seeds, quick: values.quick })) {
    sourceLines.push(line)
    // Written immediately, so that earlier lines survive a later failure.
    appendFileSync(path, JSON.stringify(line) + '\n')
  }
  lines.push(...sourceLines)
  const missing = missingMeasures(source, sourceLines)
  if (missing.length > 0) {
    console.error(`${source.name}: no line for ${missing.join(', ')}`)
    process.exitCode = 1
  }
  console.error(`${source.name}: ${((performance.now() - startedAt) / MS_PER_SECOND).toFixed(1)} s`)
}

writeFileSync(out, '')
const background: Array<Promise<void>> = []
for (const source of chosen) {
  if (source.isSensitive === true) await Promise.all(background)
  const run = runSource(source, out)
  if (values.quick && source.isInBackground === true) background.push(run)
  else await run
}
await Promise.all(background)
console.log(formatTable(lines))
