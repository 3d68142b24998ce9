/** The operators' command line, used by the launcher as an operator would use it. */
import { spawn } from 'node:child_process'
import { writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { LimpetwinchError } from '@limpetwinch/core'
import type { SettingsFile } from './sample-settings.js'

const SCRIPT = fileURLToPath(new URL('../../../cli/dist/bin/limpetwinch.js', import.meta.url))
const NAME = 'limpetwinch'

/** Where the command line goes, and with which key. */
export interface CommandLineAccess {
  /** Admin URL of an instance. */
  readonly server: string
  readonly key: string
}

/**
 * Puts settings in by `limpetwinch settings put`.
 *
 * @param access - instance and key
 * @param folder - where the files are written
 * @param files - settings of paths that are not set yet
 * @returns nothing, or what the command line said to the first refusal
 */
export async function putSettingsByCommandLine (access: CommandLineAccess, folder: string, files: readonly SettingsFile[]): Promise<Result<void, LimpetwinchError>> {
  for (const { path, text } of files) {
    const file = join(folder, `${path.slice(1).replaceAll('/', '-')}.jsonc`)
    await writeFile(file, text)
    const done = await runCommandLine(access, ['settings', 'put', path, file])
    if (done.isErr()) return err(done.error)
  }
  return ok()
}

async function runCommandLine (access: CommandLineAccess, commandArguments: readonly string[]): Promise<Result<void, LimpetwinchError>> {
  const environment = { ...process.env, LIMPETWINCH_SERVER: access.server, LIMPETWINCH_KEY: access.key }
  const child = spawn(process.execPath, [SCRIPT, ...commandArguments], { env: environment, stdio: ['ignore', 'pipe', 'pipe'] })
  let said = ''
  for (const stream of [child.stdout, child.stderr]) stream.on('data', (chunk: Buffer) => { said += chunk.toString() })
  const code = await new Promise<number | null>((resolve) => {
    child.once('error', (problem) => { said += problem.message })
    child.once('close', resolve)
  })
  if (code === 0) return ok()
  return err(new LimpetwinchError('process-failed', { name: NAME, reason: `exit code ${code} from '${commandArguments.join(' ')}': ${said.trim()}` }))
}
