/**
 * Converts a settings change to a text edit of the previous document, and back. Peers send each other such edits instead of
 * complete documents when the edit is small.
 */
import { textEditBetween, applyTextEdit } from '@limpetwinch/core'
import type { SettingsDocument, SettingsEdit } from '@limpetwinch/core'

/** A document that came into force, and the document that it replaced. */
export interface AppliedChange {
  readonly document: SettingsDocument
  readonly replaced: SettingsDocument | undefined
}

/**
 * @returns the change as an edit, or undefined when there are no two texts or the edit inserts more than half of the new
 *   text
 */
export function editOf ({ document, replaced }: AppliedChange): SettingsEdit | undefined {
  if (document.text === undefined || replaced?.text === undefined) return undefined
  const edit = textEditBetween(replaced.text, document.text)
  if (edit.insert.length * 2 > document.text.length) return undefined
  const { path, revision, writeId, acceptedAt, author } = document
  return { path, revision, writeId, acceptedAt, author, base: replaced.writeId, ...edit }
}

/**
 * Applies an edit to the document that it was made from. Applied to any other text, the edit would produce a text that was
 * never accepted. Such an edit is ignored. The settings hashes in the next heartbeats then differ, and this instance requests
 * the complete document from the peer.
 *
 * @param edit - the edit that a peer sent
 * @param base - the newest document known on this instance
 * @returns the resulting document, or undefined when the edit was made from another document
 */
export function documentOfEdit (edit: SettingsEdit, base: SettingsDocument | undefined): SettingsDocument | undefined {
  if (base?.text === undefined || base.writeId !== edit.base) return undefined
  const { path, revision, writeId, acceptedAt, author } = edit
  return { path, revision, text: applyTextEdit(base.text, edit), writeId, acceptedAt, author }
}
