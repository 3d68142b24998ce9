/** What the commands over settings share. */
import { Args, Flags } from '@oclif/core'
import { z } from 'zod'
import type { LimpetwinchError } from '@limpetwinch/core'
import type { AdminResponse, AdminClient } from './admin-client.js'
import { AdminCommand, EXIT_CODES } from './admin-command.js'
import { readInput } from './read-input.js'

/** One accepted state of a path, without its text. */
export const summarySchema = z.object({
  path: z.string(),
  revision: z.number(),
  deleted: z.boolean(),
  author: z.string(),
  acceptedAt: z.number()
})

/** One accepted state of a path, without its text. */
export type SettingsSummary = z.infer<typeof summarySchema>

/** The path that a command is about. */
export const pathArgument = Args.string({ name: 'path', required: true, description: 'such as /teams/history, /shares, /endpoints or /policy' })

/** The file that a command reads. */
export const fileArgument = Args.string({ name: 'file', default: '-', description: "JSON with comments; '-' reads standard input" })

/** The revision that a change was made on. */
export const revisionFlag = Flags.integer({ char: 'r', min: 0, description: 'the revision that the change was made on, as `settings get` tells; 0 when nothing is set' })

/** A command over settings. */
export abstract class SettingsCommand extends AdminCommand {
  /** @returns the text of a file, or ends the command */
  protected async input (file: string): Promise<string> {
    return (await readInput(file)).match((text) => text, (reason) => this.error(reason, { exit: EXIT_CODES.usage }))
  }

  /** Tells of an accepted change. */
  protected accepted (answer: AdminResponse): SettingsSummary {
    const summary = this.bodyOf(summarySchema, answer)
    this.log(`${summary.path} is at revision ${summary.revision}${summary.deleted ? ', deleted' : ''}.`)
    return summary
  }

  /** @returns the newest revision of a path; 0 when nothing is set */
  protected async latestRevision (client: AdminClient, target: string): Promise<number> {
    const present = await client.send({ method: 'GET', target })
    if (present.isOk()) return present.value.revision ?? 0
    return present.error.details['code'] === 'no_settings' ? 0 : this.exitWithError(present.error)
  }

  /** Ends a command whose change was refused; a race is told with what to do next. */
  protected exitWithFailedChange (error: LimpetwinchError, path: string, revision: number | undefined, file: string): never {
    const { code, newest } = error.details
    if (code !== 'revision_conflict' || typeof newest !== 'number') return this.exitWithError(error, file)
    const look = revision === undefined || revision === 0
      ? `Read it with 'limpetwinch settings get ${path}'`
      : `See what changed with 'limpetwinch settings diff ${path} ${revision}'`
    return this.error(`Nothing was changed: ${path} is at revision ${newest} now. ${look}, then send your change with --revision ${newest}.`, { exit: EXIT_CODES.conflict, code: String(code) })
  }
}
