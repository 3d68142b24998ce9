/** `limpetwinch settings diff PATH REVISION [REVISION]`. */
import { Args } from '@oclif/core'
import { pathArgument, SettingsCommand } from '../../server/settings-command.js'
import { settingsPath, settingsTarget } from '../../server/settings-targets.js'

/** Shows the changes between two revisions. */
export default class SettingsDiff extends SettingsCommand {
  static override description = 'Shows the changes from one revision to another, or to the latest.'

  static override examples = ['<%= config.bin %> <%= command.id %> /teams/history 3', '<%= config.bin %> <%= command.id %> /teams/history 3 5']

  static override args = {
    path: pathArgument,
    from: Args.integer({ required: true, min: 1, description: 'the earlier revision' }),
    to: Args.integer({ min: 1, description: 'the later revision; the latest by default' })
  }

  override async run (): Promise<unknown> {
    const { args, flags } = await this.parse(SettingsDiff)
    const target = settingsTarget(settingsPath(args.path), { diff: args.from.toString(), to: args.to?.toString() })
    const { text } = await this.valueOrExit(this.client(flags).send({ method: 'GET', target }))
    if (!this.jsonEnabled()) process.stdout.write(text)
    return { path: settingsPath(args.path), from: args.from, to: args.to, diff: text }
  }
}
