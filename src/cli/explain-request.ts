import { Command, Option } from 'clipanion'
import { formatValue } from './format.js'
import { OperatorCommand } from './operator-command.js'

/** `camphorbay explain request`. */
export class ExplainRequestCommand extends OperatorCommand {
  static override paths = [['explain', 'request']]
  static override usage = Command.Usage({
    category: 'Explanations',
    description: 'Explain why a request was refused',
    details: 'The request id is in the Camphorbay-Request-Id header of the response. Query the VM that sent the response.',
    examples: [['Explain a refused request', 'camphorbay explain request entry-7-1k2j-9']]
  })

  requestId = Option.String({ name: 'request-id' })

  async execute (): Promise<number> {
    return await this.call('GET', `/v1/explain/request/${encodeURIComponent(this.requestId)}`, formatValue)
  }
}
