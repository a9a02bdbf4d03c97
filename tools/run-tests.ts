/**
 * Runs the test files in the source folders and prints the final line
 * `N passed, N failed`.
 *
 * Each file runs in its own process, so that a test that ends its process or
 * leaks a timer does not affect the result of another file. Tests that are
 * listed in KNOWN-RED.txt run and are printed, but do not fail the run.
 *
 * @example
 * npm test                 # every test
 * npm test -- src/health   # the files whose path contains "src/health"
 */
import { spawn } from 'node:child_process'
import { readFileSync, existsSync, readdirSync } from 'node:fs'
import { availableParallelism } from 'node:os'
import { join } from 'node:path'

const ROOTS = ['src', 'platform', 'stand-ins', 'trial', 'measure', 'tests', 'tools'] as const
const FILE_TIMEOUT_MS = 180_000
const PARALLEL_FILES = Math.max(1, Math.floor(availableParallelism() / 2))
/** Each test in this folder starts a fleet of processes, which uses about two cores. On few cores, concurrent tests slow each other down. */
const FLEET_TESTS_FOLDER = join('tests', 'processes')
const CORES_PER_FLEET = 5
const PARALLEL_FLEETS = Math.max(1, Math.floor(availableParallelism() / CORES_PER_FLEET))

interface FileResult {
  readonly file: string
  readonly passed: number
  readonly failed: number
  readonly output: string
}

function findTests (folder: string): readonly string[] {
  if (!existsSync(folder)) return []
  return readdirSync(folder, { withFileTypes: true }).flatMap(entry => {
    const path = join(folder, entry.name)
    if (entry.isDirectory()) return findTests(path)
    return entry.name.endsWith('.test.ts') ? [path] : []
  })
}

/** Reads the files named in KNOWN-RED.txt, on lines of the form `test: path/to/file.test.ts`. */
function readKnownRed (): ReadonlySet<string> {
  if (!existsSync('KNOWN-RED.txt')) return new Set()
  const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n')
  const files = lines.flatMap(line => /^test:\s*(\S+\.test\.ts)/.exec(line)?.[1] ?? [])
  return new Set(files)
}

function parseCounts (output: string, exitCode: number | null): { passed: number, failed: number } {
  const total = Number(/Total:\s+(\d+)/.exec(output)?.[1] ?? 0)
  const passed = Number(/Passed:\s+(\d+)/.exec(output)?.[1] ?? 0)
  const failed = total - passed
  // A file that exits with an error or runs no test counts as a failure.
  if (exitCode !== 0 || total === 0) return { passed, failed: Math.max(1, failed) }
  return { passed, failed }
}

function runFile (file: string): Promise<FileResult> {
  return new Promise(resolve => {
    const child = spawn(process.execPath, ['--import', 'tsx', file], {
      env: { ...process.env, NO_COLOR: '1', FORCE_COLOR: '0' },
      stdio: ['ignore', 'pipe', 'pipe']
    })
    let output = ''
    child.stdout.on('data', chunk => { output += String(chunk) })
    child.stderr.on('data', chunk => { output += String(chunk) })
    const timeout = setTimeout(() => {
      output += `\n${file} did not end within ${FILE_TIMEOUT_MS} ms\n`
      child.kill('SIGKILL')
    }, FILE_TIMEOUT_MS)
    child.on('close', code => {
      clearTimeout(timeout)
      resolve({ file, output, ...parseCounts(output, code) })
    })
  })
}

async function runAll (files: readonly string[], parallel: number): Promise<readonly FileResult[]> {
  const queue = [...files]
  const results: FileResult[] = []
  const worker = async (): Promise<void> => {
    for (let file = queue.shift(); file !== undefined; file = queue.shift()) {
      const result = await runFile(file)
      results.push(result)
      console.log(`${result.failed === 0 ? 'ok  ' : 'FAIL'} ${file} (${result.passed} passed, ${result.failed} failed)`)
      if (result.failed > 0) console.log(result.output)
    }
  }
  await Promise.all(Array.from({ length: parallel }, worker))
  return results
}

const filter = process.argv[2] ?? ''
const files = ROOTS.flatMap(findTests).filter(file => file.includes(filter)).sort()
const knownRed = readKnownRed()
const isFleetTest = (file: string): boolean => file.startsWith(FLEET_TESTS_FOLDER)
const results = [
  ...await runAll(files.filter(file => !isFleetTest(file)), PARALLEL_FILES),
  ...await runAll(files.filter(isFleetTest), PARALLEL_FLEETS)
]
const sum = (select: (result: FileResult) => number): number => results.reduce((total, result) => total + select(result), 0)
const knownFailures = results.filter(result => result.failed > 0 && knownRed.has(result.file))
for (const result of knownFailures) console.log(`known red: ${result.file} (${result.failed} failed)`)
const failed = sum(result => knownRed.has(result.file) ? 0 : result.failed)
console.log(`${sum(result => result.passed)} passed, ${failed} failed`)
process.exitCode = failed > 0 || results.length === 0 ? 1 : 0
