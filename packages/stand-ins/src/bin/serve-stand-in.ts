/** What the binaries of the stand-ins share. */
import { Command, Flags } from '@oclif/core'
import { LimpetwinchError } from '@limpetwinch/core'
import { z } from 'zod'
import type { StandInServer } from '../http/stand-in-server.js'

/** Flags of every stand-in. */
export const commonFlags = {
  host: Flags.string({ default: '127.0.0.1', description: 'IP number to listen on' }),
  port: Flags.integer({ default: 0, min: 0, max: 65_535, description: 'port to listen on; 0 picks a free one' }),
  history: Flags.string({ description: 'file to append history lines to' }),
  faults: Flags.string({ default: '{}', description: 'faults from the start: a JSON object as for POST /control/faults' })
}

/** A binary that serves one stand-in until it is told to end. */
export abstract class StandInCommand extends Command {
  /**
   * Listens, says so on standard output, and ends cleanly on SIGTERM and SIGINT.
   *
   * @param server - the stand-in
   * @param address - where to listen
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

  /** @returns the faults given by flag */
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

/** A command class of oclif, as far as it is needed here. */
interface BinaryCommand {
  readonly description?: string | undefined
  readonly flags: Readonly<Record<string, { readonly description?: string | undefined, readonly default?: unknown }>>
  run: (argv: string[], root: string) => Promise<unknown>
}

/** Runs a single command of oclif as the whole binary. */
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

/** oclif's own help needs a command that was found by name, which the one command of a binary is not. */
function helpOf (command: BinaryCommand): string {
  const lines = Object.entries(command.flags).map(([name, flag]) => {
    const standard = flag.default === undefined ? '' : ` [default: ${String(flag.default)}]`
    return `  --${name.padEnd(24)} ${flag.description ?? ''}${standard}`
  })
  return `${command.description ?? ''}\n\n${lines.join('\n')}\n`
}
