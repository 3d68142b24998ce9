/** Reads the input of a command from a file or from standard input. */
import { readFile } from 'node:fs/promises'
import { text } from 'node:stream/consumers'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'

/** Argument that selects standard input. */
export const STANDARD_INPUT = '-'

/**
 * Reads a file or standard input.
 *
 * @param file - a path, or `-` for standard input
 * @returns the text, or a message that says why it cannot be read
 */
export async function readInput (file: string): Promise<Result<string, string>> {
  try {
    return ok(file === STANDARD_INPUT ? await text(process.stdin) : await readFile(file, 'utf8'))
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause)
    return err(`'${file}' cannot be read (${reason}). Name a file, or '-' for standard input.`)
  }
}
