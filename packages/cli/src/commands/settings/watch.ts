/** `limpetwinch settings watch [PATH]`. */
import { Args, Flags } from '@oclif/core'
import type { LimpetwinchError } from '@limpetwinch/core'
import { SettingsCommand } from '../../server/settings-command.js'
import type { SettingsSummary } from '../../server/settings-command.js'
import { settingsPath } from '../../server/settings-targets.js'
import { watchSettings } from '../../server/watch-stream.js'

/** Watches settings as they come into force on an instance. */
export default class SettingsWatch extends SettingsCommand {
  static override description = 'Prints the revision in force of each path under PATH, then each change as it comes into force on the instance. Reconnects when the connection is lost; stop with Ctrl-C.'

  static override enableJsonFlag = false

  static override args = { path: Args.string({ default: '/', description: "such as /teams or /teams/history; '/' watches all paths that the key may read" }) }

  static override flags = {
    after: Flags.integer({ min: 0, default: 0, description: 'skip revisions up to this one at the start' }),
    count: Flags.integer({ min: 1, description: 'exit after this number of lines' }),
    json: Flags.boolean({ default: false, description: 'print one JSON document per line' })
  }

  override async run (): Promise<void> {
    const { args, flags } = await this.parse(SettingsWatch)
    const ending = new AbortController()
    process.once('SIGINT', () => { ending.abort() })
    let refusal: LimpetwinchError | undefined
    const options = {
      prefix: settingsPath(args.path),
      after: flags.after,
      onConnectionLost: (error: LimpetwinchError | undefined): void => { this.logLostConnection(error) },
      isFinal: (error: LimpetwinchError): boolean => {
        const final = error.kind === 'admin-refused' && error.details['status'] !== 503
        if (final) refusal = error
        return final
      }
    }
    let lines = 0
    for await (const summary of watchSettings(this.client(flags), options, ending.signal)) {
      process.stdout.write(flags.json ? `${JSON.stringify(summary)}\n` : lineOf(summary))
      lines += 1
      if (lines === flags.count) break
    }
    ending.abort()
    if (refusal !== undefined) this.exitWithError(refusal)
  }

  private logLostConnection (error: LimpetwinchError | undefined): void {
    this.logToStderr(error === undefined ? 'The connection was lost; reconnecting.' : error.message)
  }
}

function lineOf ({ path, revision, deleted, author, acceptedAt }: SettingsSummary): string {
  return `${new Date(acceptedAt).toISOString()}  ${path}  revision ${revision}${deleted ? ' (deleted)' : ''}  by ${author}\n`
}
