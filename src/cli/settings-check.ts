import { readFileSync } from 'node:fs'
import { Command, Option } from 'clipanion'
import { formatMistake } from '../schema/index.js'
import { parseSettings, type Settings } from '../settings/index.js'
import { EXIT_CODE } from './exit-codes.js'

/** Output streams of a command; a clipanion context can be passed. */
interface OutputStreams {
  readonly stdout: NodeJS.WritableStream
  readonly stderr: NodeJS.WritableStream
}

/** Reads and validates a settings file. If it is invalid, prints all errors and returns undefined. */
export function readSettingsFile (file: string, json: boolean, output: OutputStreams): Settings | undefined {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch (error) {
    output.stderr.write(`${(error as Error).message}\n`)
    return undefined
  }
  const settings = parseSettings(text)
  if (settings.isOk()) return settings.value
  if (json) output.stdout.write(`${JSON.stringify({ kind: 'settings-invalid', file, mistakes: settings.error }, null, 2)}\n`)
  else output.stderr.write(`${file} has ${settings.error.length} error(s):\n${settings.error.map(mistake => `  ${formatMistake(mistake)}\n`).join('')}`)
  return undefined
}

/** `camphorbay settings check`. */
export class SettingsCheckCommand extends Command {
  static override paths = [['settings', 'check']]
  static override usage = Command.Usage({
    category: 'Settings',
    description: 'Check a settings file',
    details: 'Lists all errors at once, each with its path, the actual value and the allowed values. Exits 2 when there are any.',
    examples: [['Check a file', 'camphorbay settings check entry-7.json']]
  })

  file = Option.String({ name: 'file' })
  json = Option.Boolean('--json', false, { description: 'Print the result as JSON' })

  async execute (): Promise<number> {
    if (readSettingsFile(this.file, this.json, this.context) === undefined) return EXIT_CODE.invalid
    this.context.stdout.write(this.json ? `${JSON.stringify({ file: this.file, valid: true })}\n` : `${this.file} is valid\n`)
    return EXIT_CODE.ok
  }
}
