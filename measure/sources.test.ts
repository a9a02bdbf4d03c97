import { existsSync } from 'node:fs'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { missingMeasures, type Measurement } from './measurement.js'
import { measureRequests, REQUEST_MEASURES } from './requests/requests.js'
import { sources } from './sources.js'

const measures = suite('measures')

/** Required measures by module. */
const REQUIRED: Readonly<Record<string, readonly string[]>> = {
  'overload.ts': ['retryAmplification', 'answeredShare'],
  'claims.ts': ['claimWrites', 'claimLatency'],
  'requests/requests.ts': ['doubleRuns', 'wrongAnswers', 'untruthfulRefusals', 'answeredShare'],
  'requests/added-latency.ts': ['addedLatency'],
  'detection.ts': ['detection', 'falseEjections', 'floorBreaches', 'overSlots'],
  'control.ts': ['controlBytesPerSecond', 'controlCpuShare', 'controlMemory', 'noteInForce']
}

for (const [file, required] of Object.entries(REQUIRED)) {
  if (!existsSync(new URL(file, import.meta.url))) continue
  // Guards against a module that is missing from `sources`.
  measures(`${file} is a source of its measures`, () => {
    const offered = new Set(sources.flatMap(({ measures }) => measures))
    assert.equal(required.filter(measure => !offered.has(measure)), [])
  })
}

for (const name of ['overload', 'claims']) {
  // Guards against a source whose output lacks a declared measure. Real requests are covered by a separate test below.
  measures(`${name} reports every declared measure`, async () => {
    const source = sources.find(candidate => candidate.name === name)
    assert.ok(source)
    const lines: Measurement[] = []
    for await (const line of source.run({ seeds: [1], quick: true })) lines.push(line)
    assert.equal(missingMeasures(source, lines), [])
    assert.equal(missingMeasures(source, []), [...source.measures])
  })
}

measures('names for --only are unique', () => {
  // Guards against a module that --only cannot select.
  assert.is(new Set(sources.map(({ name }) => name)).size, sources.length)
})

measures('real requests report every measure with two finite values, and the design has no violations', async () => {
  // Guards against a scenario without output, and against duplicate executions, wrong responses and refusals that do not match what ran.
  const lines = []
  for await (const line of measureRequests({ seed: 1, durationMs: 600, concurrency: 1, scenarioNames: ['lost-acknowledgement'] })) lines.push(line)
  assert.equal(lines.map(({ measure }) => measure), [...REQUEST_MEASURES])
  for (const { measure, design, baseline } of lines) {
    assert.ok(Number.isFinite(design) && Number.isFinite(baseline), measure)
    if (measure !== 'answeredShare') assert.is(design, 0, measure)
  }
})

measures.run()
