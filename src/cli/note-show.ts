import { Command, Option } from 'clipanion'
import { formatValue } from './format.js'
import { OperatorCommand } from './operator-command.js'

/** `camphorbay note show`. */
export class NoteShowCommand extends OperatorCommand {
  static override paths = [['note', 'show']]
  static override usage = Command.Usage({
    category: 'Release notes',
    description: 'Show an accepted release note',
    examples: [['Show a note', 'camphorbay note show spring-2027 --json']]
  })

  id = Option.String({ name: 'id' })

  async execute (): Promise<number> {
    return await this.call('GET', `/v1/notes/${encodeURIComponent(this.id)}`, formatValue)
  }
}
