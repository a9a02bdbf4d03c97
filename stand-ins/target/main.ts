/**
 * Program that hosts target stand-ins: `node dist/stand-ins/target/main.js --spec FILE`.
 *
 * Prints one JSON line with the ports once all targets listen, and stops on
 * SIGTERM or SIGINT.
 */
import { readFileSync } from 'node:fs'
import { parseArgs } from 'node:util'
import { createTargets } from './targets.js'
import { parseTargetsSpec } from './spec.js'

const { values } = parseArgs({ options: { spec: { type: 'string' } } })
if (values.spec === undefined) {
  console.error('usage: main.js --spec FILE')
  process.exit(2)
}
const parsed = parseTargetsSpec(readFileSync(values.spec, 'utf8'))
if (parsed.isErr()) {
  console.error(`${values.spec}: ${parsed.error}`)
  process.exit(2)
}
const hosted = await createTargets(parsed.value)
const targets = hosted.targets.map(({ spec, port }) => ({ id: spec.id, address: spec.address, port }))
console.log(JSON.stringify({ event: 'targets.listening', control: hosted.control, targets }))
for (const signal of ['SIGTERM', 'SIGINT'] as const) process.once(signal, () => { hosted.close().then(() => process.exit(0), () => process.exit(1)) })
