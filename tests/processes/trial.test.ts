import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { startProgram } from '../../trial/process.js'

const REQUIRED = [
  'answered', 'refused', 'lost', 'wrongAnswers', 'doubleRuns', 'floorBreaches', 'detectionMs', 'falseEjections', 'noteInForceMs'
] as const

const trial = suite('trial')

// Guards against a trial that fails with its default options, or whose last line is not machine-readable.
trial('ends with exit code 0 and one JSON object as its last line', async () => {
  const program = startProgram('trial', 'dist/trial/main.js', [])
  assert.is(await program.ended, 0, program.lines.slice(-5).map(line => JSON.stringify(line)).join('\n'))
  const summary = program.lines.at(-1) as unknown as Record<string, number>
  for (const name of REQUIRED) assert.type(summary[name], 'number', name)
  for (const name of ['lost', 'wrongAnswers', 'doubleRuns', 'untruthfulRefusals', 'floorBreaches', 'falseEjections']) assert.is(summary[name], 0, name)
  assert.ok((summary['answered'] ?? 0) > 3100, `answered ${summary['answered']}`)
})

trial.run()
