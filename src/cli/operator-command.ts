import { readFileSync } from 'node:fs'
import { Command, Option } from 'clipanion'
import { EXIT_CODE } from './exit-codes.js'
import { callOperatorAPI, type ClientError } from './operator-client.js'

const TOKEN_VARIABLE = 'CAMPHORBAY_TOKEN'
const VM_VARIABLE = 'CAMPHORBAY_VM'

function exitCodeOf (kind: string): number {
  if (kind === 'unreachable') return EXIT_CODE.unreachable
  if (kind === 'outcome-unknown') return EXIT_CODE.unknown
  if (kind === 'note-malformed') return EXIT_CODE.invalid
  return EXIT_CODE.refused
}

/** Base class of the commands that call the operator API of a running VM. */
export abstract class OperatorCommand extends Command {
  vm = Option.String('--vm', process.env[VM_VARIABLE] ?? '', {
    description: `URL of the operator listener of a VM, for example http://10.0.0.7:9090 (default: $${VM_VARIABLE})`
  })

  tokenFile = Option.String('--token-file', {
    description: `File with the operator token (default: the environment variable $${TOKEN_VARIABLE})`
  })

  json = Option.Boolean('--json', false, { description: 'Print the response as JSON' })

  /** Calls the VM, prints the response and returns the exit code. */
  protected async call (
    method: 'GET' | 'POST', path: string, format: (value: unknown) => string, body?: string
  ): Promise<number> {
    const access = this.readAccess()
    if (typeof access === 'number') return access
    const response = await callOperatorAPI(access, method, path, body)
    if (response.isErr()) return this.printError(response.error)
    this.context.stdout.write(`${this.json ? JSON.stringify(response.value, null, 2) : format(response.value)}\n`)
    return EXIT_CODE.ok
  }

  /** Reads an input file. If that fails, prints the error and returns undefined. */
  protected readInputFile (file: string): string | undefined {
    try {
      return readFileSync(file, 'utf8')
    } catch (error) {
      this.context.stderr.write(`${(error as Error).message}\n`)
      return undefined
    }
  }

  private readAccess (): { url: string, token: string } | number {
    const token = this.tokenFile === undefined ? process.env[TOKEN_VARIABLE] : this.readInputFile(this.tokenFile)?.trim()
    if (!URL.canParse(this.vm)) {
      this.context.stderr.write(`--vm (or $${VM_VARIABLE}) must be a URL, for example http://10.0.0.7:9090\n`)
      return EXIT_CODE.invalid
    }
    if (token === undefined || token === '') {
      this.context.stderr.write(`an operator token is required: use --token-file or $${TOKEN_VARIABLE}\n`)
      return EXIT_CODE.invalid
    }
    return { url: this.vm, token }
  }

  private printError (error: ClientError): number {
    if (this.json) this.context.stdout.write(`${JSON.stringify(error.body, null, 2)}\n`)
    else {
      this.context.stderr.write(`${error.title} (${error.kind}): ${error.detail}\n${this.formatMistakes(error.body)}${error.hint}\n`)
    }
    return exitCodeOf(error.kind)
  }

  private formatMistakes (body: unknown): string {
    const mistakes = (body as { mistakes?: ReadonlyArray<Record<string, string>> } | null)?.mistakes ?? []
    return mistakes.map(mistake => `  ${mistake['path']}: found ${mistake['found']}, allowed is ${mistake['allowed']}\n`).join('')
  }
}
