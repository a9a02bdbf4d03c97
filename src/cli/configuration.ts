import { Command } from 'clipanion'
import { formatValue } from './format.js'
import { OperatorCommand } from './operator-command.js'

/** `camphorbay configuration`. */
export class ConfigurationCommand extends OperatorCommand {
  static override paths = [['configuration']]
  static override usage = Command.Usage({
    category: 'State',
    description: 'Show the active configuration of one VM',
    examples: [['Show the configuration', 'camphorbay configuration --json']]
  })

  async execute (): Promise<number> {
    return await this.call('GET', '/v1/configuration', formatValue)
  }
}
