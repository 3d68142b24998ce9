/** Maps settings paths to store paths, and parses the stored values of settings documents. */
import { parseSettingsPath, SETTINGS_PREFIX, settingsDocumentSchema } from '@limpetwinch/core'
import type { SettingsDocument, SettingsPath, StoredObject } from '@limpetwinch/core'

/** Prefix of the store paths of all settings documents, for lists and watches. */
export const SETTINGS_LIST_PREFIX = `${SETTINGS_PREFIX}/`

/** @returns the store path of the newest document of a settings path */
export function storePathOf (path: SettingsPath): string {
  return SETTINGS_PREFIX + path
}

/** @returns the document in a stored value, or undefined when the value is not a valid document */
export function documentOf (value: unknown): SettingsDocument | undefined {
  const result = settingsDocumentSchema.safeParse(value)
  if (!result.success || parseSettingsPath(result.data.path).isErr()) return undefined
  return { ...result.data, text: result.data.text } as SettingsDocument
}

/**
 * @returns the documents in stored objects, without objects that are not valid documents or lie under another path's store
 *   path
 */
export function documentsOf (objects: readonly StoredObject[]): SettingsDocument[] {
  return objects.flatMap((object) => {
    const document = documentOf(object.value)
    return document !== undefined && storePathOf(document.path) === object.path ? [document] : []
  })
}
