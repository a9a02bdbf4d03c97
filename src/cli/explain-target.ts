import { Command, Option } from 'clipanion'
import { formatValue } from './format.js'
import { OperatorCommand } from './operator-command.js'

/** `camphorbay explain target`. */
export class ExplainTargetCommand extends OperatorCommand {
  static override paths = [['explain', 'target']]
  static override usage = Command.Usage({
    category: 'Explanations',
    description: 'Explain the decisions about a target: the decision, its time, the VM that made it and the evidence',
    examples: [['Explain a target', 'camphorbay explain target holds holds-3']]
  })

  service = Option.String({ name: 'service' })
  target = Option.String({ name: 'target' })

  async execute (): Promise<number> {
    const path = `/v1/explain/target/${encodeURIComponent(this.service)}/${encodeURIComponent(this.target)}`
    return await this.call('GET', path, formatValue)
  }
}
