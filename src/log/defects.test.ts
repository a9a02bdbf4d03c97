/** Guards against a program that ends, with all requests in flight, because of one unexpected error. */
import { spawn } from 'node:child_process'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'

const test = suite('defects')

const MODULE = new URL('defects.ts', import.meta.url).href
const ENTRY_POINTS = ['../../platform/main.ts', '../cli/run.ts'] as const

/** Runs a program that logs defects and then fails in the given way; returns its lines and exit code. */
function run (failure: string): Promise<{ readonly output: string, readonly code: number | null }> {
  const program = `
    import { logDefects } from ${JSON.stringify(MODULE)}
    logDefects({ error: (event, fields) => console.log(event, fields.detail.split('\\n')[0]) })
    setTimeout(() => console.log('still running'), 200)
    ${failure}`
  return new Promise(resolve => {
    const child = spawn(process.execPath, ['--import', 'tsx', '--input-type=module', '--eval', program], { stdio: ['ignore', 'pipe', 'inherit'] })
    let output = ''
    child.stdout.on('data', chunk => { output += String(chunk) })
    child.on('close', code => resolve({ output, code }))
  })
}

const failures: ReadonlyArray<readonly [name: string, code: string, line: string]> = [
  ['an exception in a timer', "setTimeout(() => { throw new Error('broken') }, 10)", 'process.defect Error: broken'],
  ['an error event without a listener', "import('node:events').then(({ EventEmitter }) => setTimeout(() => new EventEmitter().emit('error', new Error('broken')), 10))", 'process.defect Error: broken'],
  ['a rejected promise that nothing awaits', "Promise.reject(new Error('broken'))", 'process.defect Error: broken']
]

for (const [name, code, line] of failures) {
  test(`${name} is logged, and the process continues`, async () => {
    assert.equal(await run(code), { output: `${line}\nstill running\n`, code: 0 })
  })
}

for (const path of ENTRY_POINTS) {
  test(`${path} logs defects`, async () => {
    const { readFile } = await import('node:fs/promises')
    assert.match(await readFile(new URL(path, import.meta.url), 'utf8'), /^ *logDefects\(log\)$/m)
  })
}

test.run()
