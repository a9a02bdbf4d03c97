import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { PassThrough, Readable } from 'node:stream'
import { Effect } from 'effect'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { refusal } from '../errors/index.js'
import { createLog } from '../log/index.js'
import { createOperatorAPI, type Endpoints } from '../operators/index.js'
import { createCli } from './cli.js'
import { formatValue } from './format.js'

const token = 't'.repeat(32)
const state = { revision: 3, members: [{ vm: 'entry-1', state: 'live' }, { vm: 'entry-10', state: 'gone' }] }
const endpoints: Endpoints = {
  state: () => Effect.succeed(state),
  configuration: () => Effect.succeed({}),
  listNotes: () => Effect.succeed([]),
  showNote: id => Effect.fail(refusal('not-found', id)),
  checkNote: () => Effect.fail(refusal('note-conflict', 'note "other" touches the same entries')),
  submitNote: () => Effect.fail(refusal('outcome-unknown', 'the acknowledgement was lost')),
  explainService: () => Effect.succeed({}),
  explainTarget: () => Effect.succeed({}),
  explainRequest: () => Effect.succeed({}),
  metrics: () => Effect.succeed('')
}

const folder = mkdtempSync(join(tmpdir(), 'camphorbay-cli-'))
const tokenFile = join(folder, 'token')
const noteFile = join(folder, 'note.json')
const goodNoteFile = join(folder, 'good-note.json')
const badSettings = join(folder, 'settings.json')
const logFile = join(folder, 'vm-1.log')
writeFileSync(tokenFile, `${token}\n`)
writeFileSync(noteFile, '{}')
writeFileSync(goodNoteFile, '{"id":"n-1","base":1,"withdrawn":{"routes":["r-1"]}}')
writeFileSync(badSettings, '{"vm":{}}')
const logLine = '{"time":"2026-01-01T00:00:00.000Z","event":"request.refused","vm":"vm-1","requestId":"a-1","kind":"no-target","detail":"the service has no target"}'
writeFileSync(logFile, `${logLine}\n`)

async function run (args: readonly string[], input = ''): Promise<{ code: number, out: string, err: string }> {
  const stdout = new PassThrough()
  const stderr = new PassThrough()
  const code = await createCli().run([...args], { env: {}, stdin: Readable.from([input]), stdout, stderr, colorDepth: 1 })
  return { code, out: String(stdout.read() ?? ''), err: String(stderr.read() ?? '') }
}

const operators = createOperatorAPI({ token, endpoints, log: createLog({}, () => {}) })
let access: readonly string[] = []

const cli = suite('cli')
cli.before(async () => {
  const { port } = await operators.listen({ address: '127.0.0.1', port: 0 })
  access = ['--vm', `http://127.0.0.1:${port}`, '--token-file', tokenFile]
})
cli.after(async () => {
  await operators.stop()
  rmSync(folder, { recursive: true })
})

interface Case {
  readonly name: string
  readonly args: readonly string[]
  readonly withAccess?: boolean
  /** Standard input of the command. */
  readonly input?: string
  readonly code: number
  readonly out?: RegExp
  readonly err?: RegExp
}

const cases: readonly Case[] = [
  { name: 'state prints a table', args: ['state'], code: 0, out: /vm {8}state\n {2}entry-1 {3}live/ },
  { name: 'state prints JSON', args: ['state', '--json'], code: 0, out: /"revision": 3/ },
  { name: 'a refused operation exits 1', args: ['note', 'show', 'x'], code: 1, err: /not-found/ },
  { name: 'a malformed note exits 2 and lists all errors', args: ['note', 'check', noteFile], withAccess: false, code: 2, err: /id: found nothing[^]*base: found nothing/ },
  { name: 'the format of a note is checked without a VM', args: ['note', 'check', goodNoteFile], withAccess: false, code: 0, out: /valid format/ },
  { name: 'a conflicting note exits 1', args: ['note', 'check', goodNoteFile], code: 1, err: /note-conflict/ },
  { name: 'an unknown outcome exits 4', args: ['note', 'submit', noteFile], code: 4, err: /outcome-unknown/ },
  { name: 'an error is printed as JSON', args: ['note', 'submit', noteFile, '--json'], code: 4, out: /"kind": "outcome-unknown"/ },
  { name: 'a file that does not exist exits 2', args: ['note', 'submit', `${noteFile}.none`], code: 2, err: /no such file/ },
  { name: 'an unreachable VM exits 3', args: ['state', '--vm', 'http://127.0.0.1:1', '--token-file', tokenFile], withAccess: false, code: 3, err: /not reachable/ },
  { name: 'a missing VM URL exits 2', args: ['state', '--token-file', tokenFile], withAccess: false, code: 2, err: /--vm/ },
  { name: 'a missing token exits 2', args: ['state', '--vm', 'http://127.0.0.1:1'], withAccess: false, code: 2, err: /token/ },
  { name: 'invalid settings exit 2', args: ['settings', 'check', badSettings], withAccess: false, code: 2, err: /vm\.name: found nothing/ },
  { name: 'a failed request is explained from a log file', args: ['explain', 'log', 'a-1', logFile], withAccess: false, code: 0, out: /no-target: the service has no target[^]*vm-1 {2}request\.refused/ },
  { name: 'a failed request is explained from standard input as JSON', args: ['explain', 'log', 'a-1', '--json'], withAccess: false, input: logLine, code: 0, out: /"cause": "no-target"/ },
  { name: 'a request id without a log line exits 1', args: ['explain', 'log', 'a-2', logFile], withAccess: false, code: 1, err: /no log line has the request id a-2/ },
  { name: 'a log file that does not exist exits 2', args: ['explain', 'log', 'a-1', `${logFile}.none`], withAccess: false, code: 2, err: /no such file/ },
  { name: 'the help output contains examples', args: ['note', 'submit', '--help'], withAccess: false, code: 0, out: /camphorbay note submit spring\.json/ }
]

for (const { name, args, withAccess = true, input, code, out, err } of cases) {
  cli(name, async () => {
    const result = await run(withAccess ? [...args, ...access] : args, input)
    assert.is(result.code, code, result.out + result.err)
    if (out !== undefined) assert.match(result.out, out)
    if (err !== undefined) assert.match(result.err, err)
  })
}
cli.run()

const format = suite('format')
for (const [value, text] of [
  [{ a: 1, b: 'x' }, 'a: 1\nb: x'],
  [{ list: ['a', 'b'], none: [] }, 'list: a, b\nnone: (none)'],
  [{ nested: { a: null } }, 'nested:\n  a: null'],
  [[{ a: 1 }, { b: 22 }], 'a  b\n1\n   22']
] as const) {
  format(`formats ${JSON.stringify(value)}`, () => assert.is(formatValue(value), text))
}
format.run()
