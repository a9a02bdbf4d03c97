import { Command } from 'clipanion'
import { formatValue } from './format.js'
import { OperatorCommand } from './operator-command.js'

/** `camphorbay state`. */
export class StateCommand extends OperatorCommand {
  static override paths = [['state']]
  static override usage = Command.Usage({
    category: 'State',
    description: 'Show the state of the fleet as seen by one VM',
    examples: [['Show the state', 'camphorbay state --vm http://10.0.0.7:9090']]
  })

  async execute (): Promise<number> {
    return await this.call('GET', '/v1/state', formatValue)
  }
}
