import { Command, Option } from 'clipanion'
import { parseNote } from '../notes/index.js'
import { formatMistake, type Mistake } from '../schema/index.js'
import { EXIT_CODE } from './exit-codes.js'
import { formatValue } from './format.js'
import { OperatorCommand } from './operator-command.js'

/** `camphorbay note check`. */
export class NoteCheckCommand extends OperatorCommand {
  static override paths = [['note', 'check']]
  static override usage = Command.Usage({
    category: 'Release notes',
    description: 'Check a release note without submitting it',
    details: `
      Lists all format errors of the file at once and exits 2 when there are any. With --vm, also checks
      whether the note applies to the active configuration of that VM.
    `,
    examples: [
      ['Check the format of a note', 'camphorbay note check spring.json'],
      ['Check a note against the current configuration', 'camphorbay note check spring.json --vm http://10.0.0.7:9090']
    ]
  })

  file = Option.String({ name: 'file' })

  async execute (): Promise<number> {
    const text = this.readInputFile(this.file)
    if (text === undefined) return EXIT_CODE.invalid
    const note = parseNote(text)
    if (note.isErr()) return this.printMistakes(note.error.detail, note.error.extra['mistakes'] as readonly Mistake[])
    if (this.vm !== '') return await this.call('POST', '/v1/notes/check', formatValue, text)
    this.context.stdout.write(this.json
      ? `${JSON.stringify({ file: this.file, valid: true })}\n`
      : `${this.file} has a valid format; use --vm to check it against the current configuration too\n`)
    return EXIT_CODE.ok
  }

  private printMistakes (detail: string, mistakes: readonly Mistake[]): number {
    if (this.json) this.context.stdout.write(`${JSON.stringify({ kind: 'note-malformed', file: this.file, detail, mistakes }, null, 2)}\n`)
    else this.context.stderr.write(`${this.file}: ${detail}\n${mistakes.map(mistake => `  ${formatMistake(mistake)}\n`).join('')}`)
    return EXIT_CODE.invalid
  }
}
