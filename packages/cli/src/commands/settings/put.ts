/** `limpetwinch settings put PATH [FILE]`. */
import { fileArgument, pathArgument, revisionFlag, SettingsCommand } from '../../server/settings-command.js'
import { settingsPath, settingsTarget } from '../../server/settings-targets.js'

/** Stores a complete document under a path. */
export default class SettingsPut extends SettingsCommand {
  static override description = 'Stores a complete document under a path. For a path that has settings, --revision is required, so that no unseen change is overwritten.'

  static override examples = [
    '<%= config.bin %> <%= command.id %> /teams/history history.jsonc',
    '<%= config.bin %> <%= command.id %> /teams/history history.jsonc --revision 4'
  ]

  static override args = { path: pathArgument, file: fileArgument }

  static override flags = { revision: revisionFlag }

  override async run (): Promise<unknown> {
    const { args, flags } = await this.parse(SettingsPut)
    const client = this.client(flags)
    const body = await this.input(args.file)
    const call = { method: 'PUT', target: settingsTarget(settingsPath(args.path)), body, revision: flags.revision ?? 0 } as const
    const answer = await client.send(call)
    if (answer.isErr()) return this.exitWithFailedChange(answer.error, args.path, flags.revision, args.file)
    return this.accepted(answer.value)
  }
}
