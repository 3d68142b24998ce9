/** `limpetwinch settings patch PATH [FILE]`. */
import { Args, Flags } from '@oclif/core'
import { EXIT_CODES } from '../../server/admin-command.js'
import type { AdminCall } from '../../server/admin-client.js'
import { pathArgument, revisionFlag, SettingsCommand } from '../../server/settings-command.js'
import { settingsPath, settingsTarget } from '../../server/settings-targets.js'

const MERGE_PATCH_TYPE = 'application/merge-patch+json'
const MAXIMUM_ATTEMPTS = 4

/** Changes parts of a document and keeps the rest. */
export default class SettingsPatch extends SettingsCommand {
  static override description = 'Changes parts of a document and keeps the rest as it was written, with its comments. Takes a JSON merge patch from FILE, or single changes from flags. Without --revision the patch is applied to the latest revision.'

  static override examples = [
    '<%= config.bin %> <%= command.id %> /teams/history --set-text adapters/poem/current=2',
    '<%= config.bin %> <%= command.id %> /teams/history --set limits/inFlight=200 --unset adapters/old',
    'echo \'{"weights": {"history": 2}}\' | <%= config.bin %> <%= command.id %> /shares -'
  ]

  static override args = { path: pathArgument, file: Args.string({ description: "a JSON merge patch; '-' reads standard input" }) }

  static override flags = {
    revision: revisionFlag,
    set: Flags.string({ multiple: true, description: 'PLACE=JSON, such as limits/inFlight=200; in a list a number is an index and - its end' }),
    'set-text': Flags.string({ multiple: true, description: 'PLACE=TEXT, such as adapters/poem/current=2' }),
    unset: Flags.string({ multiple: true, description: 'PLACE of a value to remove' })
  }

  override async run (): Promise<unknown> {
    const { args, flags } = await this.parse(SettingsPatch)
    const client = this.client(flags)
    const target = settingsTarget(settingsPath(args.path))
    const patch = await this.patchOf(args.file, flags)
    for (let attempt = 1; ; attempt += 1) {
      const revision = flags.revision ?? await this.latestRevision(client, target)
      const answer = await client.send({ method: 'PATCH', target, revision, ...patch })
      if (answer.isOk()) return this.accepted(answer.value)
      const isConflict = answer.error.details['code'] === 'revision_conflict'
      if (!isConflict || flags.revision !== undefined || attempt === MAXIMUM_ATTEMPTS) return this.exitWithFailedChange(answer.error, args.path, flags.revision, args.path)
    }
  }

  private async patchOf (file: string | undefined, flags: { set?: string[] | undefined, 'set-text'?: string[] | undefined, unset?: string[] | undefined }): Promise<Pick<AdminCall, 'body' | 'contentType'>> {
    const changes = [
      ...(flags.set ?? []).map((written) => this.parseAssignment(written, (value) => this.parseJson(value))),
      ...(flags['set-text'] ?? []).map((written) => this.parseAssignment(written, (value) => value)),
      ...(flags.unset ?? []).map((place) => ({ place: jsonPointerOf(place) }))
    ]
    if ((file === undefined) === (changes.length === 0)) this.error('Give either a file with a merge patch, or changes with --set, --set-text and --unset.', { exit: EXIT_CODES.usage })
    if (file !== undefined) return { body: await this.input(file), contentType: MERGE_PATCH_TYPE }
    return { body: JSON.stringify(changes), contentType: 'application/json' }
  }

  private parseAssignment (written: string, read: (value: string) => unknown): { place: string, value: unknown } {
    const at = written.indexOf('=')
    if (at < 1) this.error(`'${written}' has no value. Write PLACE=VALUE, such as limits/inFlight=200.`, { exit: EXIT_CODES.usage })
    return { place: jsonPointerOf(written.slice(0, at)), value: read(written.slice(at + 1)) }
  }

  private parseJson (value: string): unknown {
    try {
      return JSON.parse(value)
    } catch {
      return this.error(`'${value}' is not valid JSON. Use --set-text for text, or write a number, true, "text", [list] or {object}.`, { exit: EXIT_CODES.usage })
    }
  }
}

function jsonPointerOf (place: string): string {
  return `/${place.replace(/^\/+|\/+$/g, '')}`
}
