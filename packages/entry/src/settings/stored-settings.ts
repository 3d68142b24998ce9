/** How settings documents stand in the store. */
import { parseSettingsPath, SETTINGS_PREFIX, settingsDocumentSchema } from '@limpetwinch/core'
import type { SettingsDocument, SettingsPath, StoredObject } from '@limpetwinch/core'

/** What a list or a watch of all settings asks for. */
export const SETTINGS_LIST_PREFIX = `${SETTINGS_PREFIX}/`

/** @returns where a path's newest document stands */
export function storePathOf (path: SettingsPath): string {
  return SETTINGS_PREFIX + path
}

/** @returns the document in a stored value, or undefined when the value has another form */
export function documentOf (value: unknown): SettingsDocument | undefined {
  const result = settingsDocumentSchema.safeParse(value)
  if (!result.success || parseSettingsPath(result.data.path).isErr()) return undefined
  return { ...result.data, text: result.data.text } as SettingsDocument
}

/** @returns the documents of stored objects; objects of another form or under another path's name are left out */
export function documentsOf (objects: readonly StoredObject[]): SettingsDocument[] {
  return objects.flatMap((object) => {
    const document = documentOf(object.value)
    return document !== undefined && storePathOf(document.path) === object.path ? [document] : []
  })
}
