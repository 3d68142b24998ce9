/** Base of all commands that call an instance: its flags, error messages and exit codes. */
import { Command, Flags } from '@oclif/core'
import type { ResultAsync } from 'neverthrow'
import type { z } from 'zod'
import type { LimpetwinchError } from '@limpetwinch/core'
import { AdminClient } from './admin-client.js'
import type { AdminResponse } from './admin-client.js'

/** Exit codes of the command line. `unknown` means that it is unknown whether the call took effect. */
export const EXIT_CODES = {
  refused: 1,
  usage: 2,
  conflict: 3,
  keyNotAccepted: 4,
  notFound: 5,
  unavailable: 6,
  unknown: 7
} as const

const KEY_HINT = "The key is not accepted. Set LIMPETWINCH_KEY to the administrators' key, or to the key of a team's owner."

interface Problem {
  readonly key: string
  readonly line: number
  readonly column: number
  readonly message: string
}

/** A command that calls the admin API of an instance. */
export abstract class AdminCommand extends Command {
  static override enableJsonFlag = true

  static override baseFlags = {
    server: Flags.string({ env: 'LIMPETWINCH_SERVER', helpGroup: 'GLOBAL', description: "URL of an instance's admin address, such as http://127.0.0.1:8081" }),
    key: Flags.string({ env: 'LIMPETWINCH_KEY', helpGroup: 'GLOBAL', description: "administrators' key, or the key of a team's owner; better set in the environment, because other users of the host can see a process's flags" })
  }

  /** Sets the exit code of an error, so that a command has the same exit code with `--json`, where errors are written as JSON, and without. */
  protected override async catch (error: Error & { exitCode?: number, oclif?: { exit?: number } }): Promise<unknown> {
    error.exitCode ??= error.oclif?.exit ?? EXIT_CODES.refused
    return await super.catch(error)
  }

  /** @returns a client for the instance that the flags or the environment name; ends the command when instance or key is missing */
  protected client (flags: { server?: string | undefined, key?: string | undefined }): AdminClient {
    if (flags.server === undefined) this.error("No instance is given. Pass --server URL, or set LIMPETWINCH_SERVER to the instance's admin address.", { exit: EXIT_CODES.usage })
    if (flags.key === undefined) this.error("No key is given. Set LIMPETWINCH_KEY, or pass --key, to the administrators' key or the key of a team's owner.", { exit: EXIT_CODES.usage })
    return new AdminClient({ url: flags.server.replace(/\/+$/, ''), key: flags.key })
  }

  /** @returns the value of a result, or ends the command with the error's message and exit code */
  protected async valueOrExit<Value> (result: ResultAsync<Value, LimpetwinchError>, file = ''): Promise<Value> {
    const settled = await result
    if (settled.isOk()) return settled.value
    return this.exitWithError(settled.error, file)
  }

  /** @returns the JSON body of a response checked by the schema, or ends the command */
  protected bodyOf<Body> (schema: z.ZodType<Body>, response: AdminResponse): Body {
    let body: unknown
    try {
      body = JSON.parse(response.text)
    } catch {
      body = undefined
    }
    const checked = schema.safeParse(body)
    if (checked.success) return checked.data
    return this.error('The response of the server has an unexpected format. Check that --server is the admin address of an instance of the same release.', { exit: EXIT_CODES.refused })
  }

  /** Ends the command with an error's message, exit code and problems. */
  protected exitWithError (error: LimpetwinchError, file = ''): never {
    if (error.details['status'] === 401) this.error(KEY_HINT, { exit: EXIT_CODES.keyNotAccepted, code: 'unauthorized' })
    const problems = error.details['problems']
    const lines = Array.isArray(problems) ? (problems as Problem[]).map((problem) => problemLine(problem, file)) : []
    const summary = lines.length === 0 ? error.message : 'The settings were refused; nothing was changed.'
    const message = this.jsonEnabled() ? [summary, ...lines].join('\n') : summary
    // Problems are not written through oclif, which wraps lines at the terminal's width: editors could not find file, line and column in wrapped lines.
    if (!this.jsonEnabled()) for (const line of lines) this.logToStderr(line)
    this.error(message, { exit: exitOf(error), code: String(error.details['code'] ?? error.code) })
  }
}

/** Formats a problem so that editors can find its place: file, line, column. */
function problemLine ({ key, line, column, message }: Problem, file: string): string {
  return `${file}:${line}:${column}: ${key === '' ? '' : `${key}: `}${message}`
}

function exitOf (error: LimpetwinchError): number {
  if (error.kind === 'admin-unreachable') return EXIT_CODES.unavailable
  if (error.outcome === 'unknown') return EXIT_CODES.unknown
  switch (error.details['status']) {
    case 401:
    case 403: return EXIT_CODES.keyNotAccepted
    case 404: return EXIT_CODES.notFound
    case 409:
    case 428: return EXIT_CODES.conflict
    case 503: return EXIT_CODES.unavailable
    default: return EXIT_CODES.refused
  }
}
