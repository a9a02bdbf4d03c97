import { readFileSync } from 'node:fs'
import { text } from 'node:stream/consumers'
import { Command, Option } from 'clipanion'
import { explain, parseLogLines, type Explanation, type LogLine } from '../explanation/index.js'
import { EXIT_CODE } from './exit-codes.js'

function formatLine ({ at, vm, event, fields }: LogLine): string {
  const time = at === 0 ? '' : new Date(at).toISOString()
  const values = Object.entries(fields).map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
  return [time, vm, event, ...values].join('  ')
}

function formatExplanation ({ cause, summary, chain }: Explanation): string {
  return [`${cause}: ${summary}`, '', ...chain.map(formatLine)].join('\n')
}

/** `camphorbay explain log`. */
export class ExplainLogCommand extends Command {
  static override paths = [['explain', 'log']]
  static override usage = Command.Usage({
    category: 'Explanations',
    description: 'Determine from log lines why a request failed',
    details: 'Reads the log lines of all VMs from files, or from standard input when no file is given. Exits 1 when no log line has the request id.',
    examples: [
      ['Explain a request from collected logs', 'camphorbay explain log a-1 vm-*.log'],
      ['Read from a pipe', 'collect-logs | camphorbay explain log a-1']
    ]
  })

  requestId = Option.String({ name: 'request-id' })
  files = Option.Rest({ name: 'file' })
  json = Option.Boolean('--json', false, { description: 'Print the explanation as JSON' })

  async execute (): Promise<number> {
    const { stdin, stdout, stderr } = this.context
    let lines: readonly LogLine[]
    try {
      lines = parseLogLines(this.files.length > 0 ? this.files.map(file => readFileSync(file, 'utf8')).join('\n') : await text(stdin))
    } catch (error) {
      stderr.write(`${(error as Error).message}\n`)
      return EXIT_CODE.invalid
    }
    const explanation = explain(lines, this.requestId)
    if (explanation === undefined) {
      stderr.write(`no log line has the request id ${this.requestId}: a target answered the request, or lines are missing\n`)
      return EXIT_CODE.refused
    }
    stdout.write(`${this.json ? JSON.stringify(explanation, null, 2) : formatExplanation(explanation)}\n`)
    return EXIT_CODE.ok
  }
}
