/** `limpetwinch settings validate PATH [FILE]`. */
import { fileArgument, pathArgument, SettingsCommand } from '../../server/settings-command.js'
import { settingsPath, validateTarget } from '../../server/settings-targets.js'

/** Validates a document without storing it. */
export default class SettingsValidate extends SettingsCommand {
  static override description = 'Validates a document for a path together with all settings in force, and changes nothing.'

  static override args = { path: pathArgument, file: fileArgument }

  override async run (): Promise<unknown> {
    const { args, flags } = await this.parse(SettingsValidate)
    const body = await this.input(args.file)
    await this.valueOrExit(this.client(flags).send({ method: 'POST', target: validateTarget(args.path), body }), args.file)
    this.log(`${args.file} can be put under ${settingsPath(args.path)}.`)
    return { path: settingsPath(args.path), valid: true }
  }
}
