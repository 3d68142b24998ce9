/** `limpetwinch status`. */
import { histogramsSchema, statusSchema } from '../show/status-schema.js'
import { statusText } from '../show/status-tables.js'
import { AdminCommand } from '../server/admin-command.js'

/** Shows the state of the deployment as one instance sees it. */
export default class Status extends AdminCommand {
  static override description = 'Shows instances, endpoints, what is loaded where and in use, queues, teams and control traffic, as one instance sees them.'

  override async run (): Promise<unknown> {
    const { flags } = await this.parse(Status)
    const client = this.client(flags)
    const answer = await this.valueOrExit(client.send({ method: 'GET', target: '/admin/status' }))
    if (this.jsonEnabled()) return JSON.parse(answer.text)
    const status = this.bodyOf(statusSchema, answer)
    const figures = this.bodyOf(histogramsSchema, await this.valueOrExit(client.send({ method: 'GET', target: '/admin/histograms' })))
    this.log(statusText(status, figures.series))
    return undefined
  }
}
