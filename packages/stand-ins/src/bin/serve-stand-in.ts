/** Flags and functions shared by the commands of the stand-ins. */
import { Command, Flags } from '@oclif/core'
import { LimpetwinchError } from '@limpetwinch/core'
import { z } from 'zod'
import type { StandInServer } from '../http/stand-in-server.js'

/** Flags that all stand-ins have. */
export const commonFlags = {
  host: Flags.string({ default: '127.0.0.1', description: 'IP address to listen on' }),
  port: Flags.integer({ default: 0, min: 0, max: 65_535, description: 'port to listen on; 0 selects a free port' }),
  history: Flags.string({ description: 'file to append history lines to' }),
  faults: Flags.string({ default: '{}', description: 'initial faults, as a JSON object in the format of POST /control/faults' })
}

/** A command that serves one stand-in until SIGTERM or SIGINT. */
export abstract class StandInCommand extends Command {
  /**
   * Starts the server, writes its URL to standard output, and closes the server on SIGTERM or SIGINT.
   *
   * @param server - the stand-in
   * @param address - port and IP address to listen on
   */
  protected async serve (server: StandInServer, address: { port: number, host: string }): Promise<void> {
    if (process.env['UV_USE_IO_URING'] !== undefined && process.env['UV_USE_IO_URING'] !== '0') {
      this.error(new LimpetwinchError('forbidden-environment').message, { exit: 1 })
    }
    const url = await server.listen(address.port, address.host)
    process.stdout.write(`${JSON.stringify({ listening: url })}\n`)
    await new Promise<void>((resolve) => {
      process.once('SIGTERM', resolve)
      process.once('SIGINT', resolve)
    })
    await server.close()
  }

  /** @returns the faults of the `--faults` flag; ends the program with exit code 2 if the flag is invalid */
  protected parseFaults<Faults> (text: string, schema: z.ZodType<Faults>): Faults {
    let body: unknown
    try {
      body = JSON.parse(text)
    } catch {
      this.error('--faults is not JSON; write one object such as \'{"slowness": 50}\'.', { exit: 2 })
    }
    const parsed = schema.safeParse(body)
    if (!parsed.success) this.error(`--faults: ${z.prettifyError(parsed.error)}`, { exit: 2 })
    return parsed.data
  }
}

/** The members of an oclif command class that are used here. */
interface BinaryCommand {
  readonly description?: string | undefined
  readonly flags: Readonly<Record<string, { readonly description?: string | undefined, readonly default?: unknown }>>
  run: (argv: string[], root: string) => Promise<unknown>
}

/** Runs an oclif command as a program of its own. */
export async function runBinary (command: BinaryCommand, root: string): Promise<void> {
  if (process.argv.includes('--help')) {
    process.stdout.write(helpOf(command))
    return
  }
  try {
    await command.run(process.argv.slice(2), root)
  } catch (problem) {
    const exit = (problem as { oclif?: { exit?: number } }).oclif?.exit
    if (exit !== 0) process.stderr.write(`${problem instanceof Error ? problem.message : String(problem)}\n`)
    process.exitCode = exit ?? 1
  }
}

/** @returns the help text. oclif's own help works only for commands that are found by name, not for the only command of a program. */
function helpOf (command: BinaryCommand): string {
  const lines = Object.entries(command.flags).map(([name, flag]) => {
    const defaultText = flag.default === undefined ? '' : ` [default: ${String(flag.default)}]`
    return `  --${name.padEnd(24)} ${flag.description ?? ''}${defaultText}`
  })
  return `${command.description ?? ''}\n\n${lines.join('\n')}\n`
}
