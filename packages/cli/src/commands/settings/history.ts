/** `limpetwinch settings history PATH`. */
import { z } from 'zod'
import { pathArgument, SettingsCommand, summarySchema } from '../../server/settings-command.js'
import { settingsPath, settingsTarget } from '../../server/settings-targets.js'
import { summaryTable } from '../../show/settings-tables.js'

const historySchema = z.object({ path: z.string(), revisions: z.array(summarySchema) })

/** Lists the revisions of a path. */
export default class SettingsHistory extends SettingsCommand {
  static override description = 'Lists the stored revisions of a path, latest first.'

  static override args = { path: pathArgument }

  override async run (): Promise<unknown> {
    const { args, flags } = await this.parse(SettingsHistory)
    const answer = await this.valueOrExit(this.client(flags).send({ method: 'GET', target: settingsTarget(settingsPath(args.path), { history: '' }) }))
    const history = this.bodyOf(historySchema, answer)
    this.log(summaryTable(history.revisions))
    return history
  }
}
