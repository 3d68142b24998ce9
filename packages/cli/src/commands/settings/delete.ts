/** `limpetwinch settings delete PATH`. */
import { pathArgument, revisionFlag, SettingsCommand } from '../../server/settings-command.js'
import { settingsPath, settingsTarget } from '../../server/settings-targets.js'

/** Deletes the settings of a path. */
export default class SettingsDelete extends SettingsCommand {
  static override description = 'Deletes the settings of a path; earlier revisions stay in its history.'

  static override examples = ['<%= config.bin %> <%= command.id %> /teams/history --revision 4']

  static override args = { path: pathArgument }

  static override flags = { revision: revisionFlag }

  override async run (): Promise<unknown> {
    const { args, flags } = await this.parse(SettingsDelete)
    const client = this.client(flags)
    const answer = await client.send({ method: 'DELETE', target: settingsTarget(settingsPath(args.path)), revision: flags.revision ?? 0 })
    if (answer.isErr()) return this.exitWithFailedChange(answer.error, args.path, flags.revision, args.path)
    return this.accepted(answer.value)
  }
}
