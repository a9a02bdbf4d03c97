import { Command } from 'clipanion'
import { formatValue } from './format.js'
import { OperatorCommand } from './operator-command.js'

/** `camphorbay note list`. */
export class NoteListCommand extends OperatorCommand {
  static override paths = [['note', 'list']]
  static override usage = Command.Usage({
    category: 'Release notes',
    description: 'List the accepted release notes',
    examples: [['List the notes', 'camphorbay note list']]
  })

  async execute (): Promise<number> {
    return await this.call('GET', '/v1/notes', formatValue)
  }
}
