import { Command, Option } from 'clipanion'
import { Effect, Result } from 'effect'
import { checkEnvironment, startDaemon, type Daemon } from '../daemon/index.js'
import { createLog, logDefects, type Log } from '../log/index.js'
import { EXIT_CODE } from './exit-codes.js'
import { readSettingsFile } from './settings-check.js'

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const

/** Resolves with the first stop signal. Further signals are ignored, because the shutdown has its own time limit. */
function waitForStopSignal (): Promise<string> {
  return new Promise(resolve => {
    for (const signal of STOP_SIGNALS) process.on(signal, () => resolve(signal))
  })
}

async function runUntilSignal (daemon: Daemon, log: Log): Promise<number> {
  const signal = await waitForStopSignal()
  log.info('vm.signal', { signal })
  await Effect.runPromise(daemon.stop)
  return EXIT_CODE.ok
}

/** `camphorbay run`. */
export class RunCommand extends Command {
  static override paths = [['run']]
  static override usage = Command.Usage({
    category: 'VM',
    description: 'Run a VM',
    details: `
      Validates the settings before it opens any socket and exits 2 when they are invalid. Writes logs as JSON
      lines to standard output. SIGTERM or SIGINT starts a graceful shutdown, after which it exits 0.
    `,
    examples: [['Run a VM', 'camphorbay run --settings entry-7.json']]
  })

  settings = Option.String('--settings', { required: true, description: 'The settings file of this VM' })

  async execute (): Promise<number> {
    const problem = checkEnvironment(process.env)
    if (problem !== undefined) {
      this.context.stderr.write(`${problem}\n`)
      return EXIT_CODE.invalid
    }
    const settings = readSettingsFile(this.settings, false, this.context)
    if (settings === undefined) return EXIT_CODE.invalid
    const log = createLog({ vm: settings.vm.name }, line => { this.context.stdout.write(`${line}\n`) })
    logDefects(log)
    const started = await Effect.runPromise(Effect.result(startDaemon({ settings, log })))
    if (Result.isSuccess(started)) return await runUntilSignal(started.success, log)
    log.error('vm.start-failed', { ...started.failure })
    return EXIT_CODE.refused
  }
}
