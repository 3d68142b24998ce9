/** Frames that spread the settings. */
import type { Revision, SettingsPath } from '../ids/ids.js'
import type { SettingsDocument } from '../settings/operator-settings.js'
import type { TextEdit } from '../settings/text-edit.js'

/** A settings document whose text is sent as a change of the previous text. */
export interface SettingsEdit extends Omit<SettingsDocument, 'text'>, TextEdit {
  /** Write id of the document to which the change applies. */
  readonly base: string
}

/** Sends settings documents that the receiver may not have yet, or may have only in an older revision. */
export interface SettingsChangeFrame {
  readonly kind: 'settings-change'
  readonly documents: readonly SettingsDocument[]
  /**
   * Set only in a response to `settings-revisions`. `whole`: the response contains all newer documents. `more`: it contains a part
   * of them, and the rest needs another request. `unready`: the sender does not have a complete state yet.
   */
  readonly answer?: 'whole' | 'more' | 'unready' | undefined
  /** Changes of documents whose previous text the receiver is expected to have. */
  readonly edits?: readonly SettingsEdit[] | undefined
}

/** The sender's settings revisions, sent when the settings hashes differ. The receiver responds with the documents of which it has a newer state. */
export interface SettingsRevisionsFrame {
  readonly kind: 'settings-revisions'
  readonly revisions: readonly { readonly path: SettingsPath, readonly revision: Revision, readonly writeId: string, readonly acceptedAt: number }[]
}
