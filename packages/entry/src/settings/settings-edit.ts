/** Changes between peers as edits of the state before. */
import { textEditBetween, applyTextEdit } from '@limpetwinch/core'
import type { SettingsDocument, SettingsEdit } from '@limpetwinch/core'

/** A document that came into force, and the one it replaced. */
export interface AppliedChange {
  readonly document: SettingsDocument
  readonly former: SettingsDocument | undefined
}

/** @returns the change as an edit, or undefined where the document itself is shorter */
export function editOf ({ document, former }: AppliedChange): SettingsEdit | undefined {
  if (document.text === undefined || former?.text === undefined) return undefined
  const edit = textEditBetween(former.text, document.text)
  if (edit.insert.length * 2 > document.text.length) return undefined
  const { path, revision, writeId, acceptedAt, author } = document
  return { path, revision, writeId, acceptedAt, author, base: former.writeId, ...edit }
}

/**
 * Makes the document of an edit. On any other text than the one that it was made on, the edit would give a text that
 * nobody ever accepted; such an edit is passed over, and the hashes of the next heartbeats bring the whole document.
 *
 * @param edit - from a peer
 * @param base - the newest document here
 * @returns the document, or undefined when the edit was made on another
 */
export function documentOfEdit (edit: SettingsEdit, base: SettingsDocument | undefined): SettingsDocument | undefined {
  if (base?.text === undefined || base.writeId !== edit.base) return undefined
  const { path, revision, writeId, acceptedAt, author } = edit
  return { path, revision, text: applyTextEdit(base.text, edit), writeId, acceptedAt, author }
}
