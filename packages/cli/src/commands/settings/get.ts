/** `limpetwinch settings get PATH`. */
import { Flags } from '@oclif/core'
import { z } from 'zod'
import { pathArgument, SettingsCommand, summarySchema } from '../../server/settings-command.js'
import { settingsPath, settingsTarget } from '../../server/settings-targets.js'
import { summaryTable } from '../../show/settings-tables.js'

const listSchema = z.object({ paths: z.array(summarySchema) })

/** Prints the settings of a path, or the list of paths. */
export default class SettingsGet extends SettingsCommand {
  static override description = "Prints the settings of a path with their comments; '/' lists the paths. The revision is printed to standard error."

  static override examples = ['<%= config.bin %> <%= command.id %> /teams/history > history.jsonc', '<%= config.bin %> <%= command.id %> /']

  static override args = { path: pathArgument }

  static override flags = { revision: Flags.integer({ char: 'r', min: 1, description: 'an earlier revision instead of the latest' }) }

  override async run (): Promise<unknown> {
    const { args, flags } = await this.parse(SettingsGet)
    const client = this.client(flags)
    const path = settingsPath(args.path)
    if (path === '/') {
      const { paths } = this.bodyOf(listSchema, await this.valueOrExit(client.send({ method: 'GET', target: '/admin/settings' })))
      this.log(summaryTable(paths))
      return { paths }
    }
    const answer = await this.valueOrExit(client.send({ method: 'GET', target: settingsTarget(path, { revision: flags.revision?.toString() }) }))
    if (this.jsonEnabled()) return { path, revision: answer.revision, author: answer.author, text: answer.text }
    process.stdout.write(answer.text.endsWith('\n') ? answer.text : `${answer.text}\n`)
    this.logToStderr(`${path} is at revision ${answer.revision ?? 'unknown'}, by ${answer.author ?? 'unknown'}.`)
    return undefined
  }
}
