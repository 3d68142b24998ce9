/** Writes settings with the operators' command line, as an operator does. */
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

/** Instance and key that the command line uses. */
export interface CommandLineAccess {
  /** Admin URL of an instance. */
  readonly server: string
  readonly key: string
}

/**
 * Writes settings with `limpetwinch settings put`.
 *
 * @param access - instance and key
 * @param folder - folder for the settings files that the command line reads
 * @param files - settings of paths that are not set yet
 * @returns nothing, or `process-failed` with the output of the first failed command
 */
export async function putSettingsByCommandLine (access: CommandLineAccess, folder: string, files: readonly SettingsFile[]): Promise<Result<void, LimpetwinchError>> {
  for (const { path, text } of files) {
    const file = join(folder, `${path.slice(1).replaceAll('/', '-')}.jsonc`)
    await writeFile(file, text)
    const result = await runCommandLine(access, ['settings', 'put', path, file])
    if (result.isErr()) return err(result.error)
  }
  return ok()
}

async function runCommandLine (access: CommandLineAccess, commandArguments: readonly string[]): Promise<Result<void, LimpetwinchError>> {
  const environment = { ...process.env, LIMPETWINCH_SERVER: access.server, LIMPETWINCH_KEY: access.key }
  const child = spawn(process.execPath, [SCRIPT, ...commandArguments], { env: environment, stdio: ['ignore', 'pipe', 'pipe'] })
  let output = ''
  for (const stream of [child.stdout, child.stderr]) stream.on('data', (chunk: Buffer) => { output += chunk.toString() })
  const code = await new Promise<number | null>((resolve) => {
    child.once('error', (problem) => { output += problem.message })
    child.once('close', resolve)
  })
  if (code === 0) return ok()
  return err(new LimpetwinchError('process-failed', { name: NAME, reason: `exit code ${code} from '${commandArguments.join(' ')}': ${output.trim()}` }))
}
