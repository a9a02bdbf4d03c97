import { Command, Option } from 'clipanion'
import { formatValue } from './format.js'
import { OperatorCommand } from './operator-command.js'

/** `camphorbay explain service`. */
export class ExplainServiceCommand extends OperatorCommand {
  static override paths = [['explain', 'service']]
  static override usage = Command.Usage({
    category: 'Explanations',
    description: 'Explain the decisions about a service',
    details: 'Query a VM that serves the service: the output includes the target subset of that VM.',
    examples: [['Explain a service', 'camphorbay explain service holds']]
  })

  service = Option.String({ name: 'service' })

  async execute (): Promise<number> {
    return await this.call('GET', `/v1/explain/service/${encodeURIComponent(this.service)}`, formatValue)
  }
}
