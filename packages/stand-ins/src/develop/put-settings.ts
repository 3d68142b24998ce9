/** Writes sample settings to the platform in the format in which instances store them. */
import { randomUUID } from 'node:crypto'
import { HttpObjectStore, SETTINGS_PREFIX } from '@limpetwinch/core'
import type { LimpetwinchError, Revision, SettingsDocument, SettingsPath } from '@limpetwinch/core'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { SettingsFile } from './sample-settings.js'

/**
 * Writes the first revision of settings documents.
 *
 * @param platform - URL of the platform
 * @param files - settings by path
 * @returns nothing, or the first failure
 */
export async function putSettings (platform: string, files: readonly SettingsFile[]): Promise<Result<void, LimpetwinchError>> {
  const store = new HttpObjectStore(platform)
  try {
    for (const { path, text } of files) {
      const value: SettingsDocument = {
        path: path as SettingsPath, revision: 1 as Revision, text, writeId: randomUUID(), acceptedAt: Date.now(), author: 'launcher'
      }
      const written = await store.put({ path: SETTINGS_PREFIX + path, ifVersion: 0, value })
      if (written.isErr()) return err(written.error)
    }
    return ok()
  } finally {
    await store.close()
  }
}
