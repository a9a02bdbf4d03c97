/** Runs each scenario in a separate process. */
import { fork } from 'node:child_process'
import { extname } from 'node:path'
import { fileURLToPath } from 'node:url'
import type { Outcome } from './outcome.js'
import type { Job, JobResult } from './worker.js'

/** Path of the worker, compiled if this module is compiled. */
const WORKER = fileURLToPath(new URL(`./worker${extname(import.meta.url)}`, import.meta.url))

/** Setup and shutdown add a few seconds to the load. */
const TIMEOUT_MARGIN_MS = 60_000

/**
 * Runs a job in a new process.
 *
 * @throws Error when the process exits without a result, or is killed because it runs 60 s longer than its load
 */
export function runJobInProcess (job: Job): Promise<Outcome> {
  return new Promise((resolve, reject) => {
    const child = fork(WORKER)
    const timeout = setTimeout(() => child.kill('SIGKILL'), job.durationMs + TIMEOUT_MARGIN_MS)
    child.once('message', message => resolve((message as JobResult).outcome))
    child.once('error', reject)
    child.once('close', code => {
      clearTimeout(timeout)
      // Has no effect if the promise is already resolved.
      reject(new Error(`${job.scenario} ${job.side}: the worker exited with code ${String(code)} before it sent a result`))
    })
    child.send(job)
  })
}
