/** Arguments, flags and results that the settings commands share. */
import { Args, Flags } from '@oclif/core'
import { z } from 'zod'
import type { LimpetwinchError } from '@limpetwinch/core'
import type { AdminResponse, AdminClient } from './admin-client.js'
import { AdminCommand, EXIT_CODES } from './admin-command.js'
import { readInput } from './read-input.js'

/** Schema of one accepted revision of a path, without its text. */
export const summarySchema = z.object({
  path: z.string(),
  revision: z.number(),
  deleted: z.boolean(),
  author: z.string(),
  acceptedAt: z.number()
})

/** One accepted revision of a path, without its text. */
export type SettingsSummary = z.infer<typeof summarySchema>

/** Argument for the settings path that a command reads or changes. */
export const pathArgument = Args.string({ name: 'path', required: true, description: 'settings path, such as /teams/history, /shares, /endpoints or /policy' })

/** Argument for the file that a command reads. */
export const fileArgument = Args.string({ name: 'file', default: '-', description: "JSON with comments; '-' reads standard input" })

/** Flag for the revision that a change is based on. */
export const revisionFlag = Flags.integer({ char: 'r', min: 0, description: 'the revision that the change is based on, as printed by `settings get`; 0 when nothing is set' })

/** A command that reads or changes settings. */
export abstract class SettingsCommand extends AdminCommand {
  /** @returns the text of a file or of standard input, or ends the command */
  protected async input (file: string): Promise<string> {
    return (await readInput(file)).match((text) => text, (reason) => this.error(reason, { exit: EXIT_CODES.usage }))
  }

  /** Prints the revision of an accepted change. @returns its summary */
  protected accepted (response: AdminResponse): SettingsSummary {
    const summary = this.bodyOf(summarySchema, response)
    this.log(`${summary.path} is at revision ${summary.revision}${summary.deleted ? ', deleted' : ''}.`)
    return summary
  }

  /** @returns the latest revision of a path; 0 when nothing is set */
  protected async latestRevision (client: AdminClient, target: string): Promise<number> {
    const response = await client.send({ method: 'GET', target })
    if (response.isOk()) return response.value.revision ?? 0
    return response.error.details['code'] === 'no_settings' ? 0 : this.exitWithError(response.error)
  }

  /** Ends a command whose change was refused; for a revision conflict the message says what to do next. */
  protected exitWithFailedChange (error: LimpetwinchError, path: string, revision: number | undefined, file: string): never {
    const { code, newest } = error.details
    if (code !== 'revision_conflict' || typeof newest !== 'number') return this.exitWithError(error, file)
    const hint = revision === undefined || revision === 0
      ? `Read it with 'limpetwinch settings get ${path}'`
      : `See what changed with 'limpetwinch settings diff ${path} ${revision}'`
    return this.error(`Nothing was changed: ${path} is at revision ${newest} now. ${hint}, then send your change with --revision ${newest}.`, { exit: EXIT_CODES.conflict, code: String(code) })
  }
}
