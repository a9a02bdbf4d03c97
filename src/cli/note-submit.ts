import { Command, Option } from 'clipanion'
import { EXIT_CODE } from './exit-codes.js'
import { formatValue } from './format.js'
import { OperatorCommand } from './operator-command.js'

/** `camphorbay note submit`. */
export class NoteSubmitCommand extends OperatorCommand {
  static override paths = [['note', 'submit']]
  static override usage = Command.Usage({
    category: 'Release notes',
    description: 'Submit a release note',
    details: `
      Exits 0 when the note is accepted, 1 when it is refused, 2 when it is malformed, 3 when the VM
      is not reachable, and 4 when the outcome is unknown. Submitting a note again with the same id is idempotent.
    `,
    examples: [['Submit a note', 'camphorbay note submit spring.json --vm http://10.0.0.7:9090']]
  })

  file = Option.String({ name: 'file' })

  async execute (): Promise<number> {
    const text = this.readInputFile(this.file)
    return text === undefined ? EXIT_CODE.invalid : await this.call('POST', '/v1/notes', formatValue, text)
  }
}
