/** Former documents of each path, kept in the store. */
import { err, ok, ResultAsync } from 'neverthrow'
import type { Result } from 'neverthrow'
import { LimpetwinchError } from '@limpetwinch/core'
import type { ObjectStore, Revision, SettingsDocument, SettingsPath } from '@limpetwinch/core'
import { documentOf } from './stored-settings.js'

const HISTORY_PREFIX = '/history'
/** So many former documents of a path are kept. The object API deletes nothing, so each place is written again. */
export const KEPT_REVISIONS = 32
const MAXIMUM_ATTEMPTS = 3

/** Reads and keeps former documents: one object for each of a fixed number of places. */
export class SettingsHistory {
  private readonly store: ObjectStore

  /** @param store - where they are kept */
  constructor (store: ObjectStore) {
    this.store = store
  }

  /**
   * Keeps a document that is about to be replaced. Writing it again changes nothing, so that racing writers, who all
   * keep the same one, do not hinder each other.
   *
   * @param document - the accepted document
   * @returns `store-unavailable` or `store-answer-lost` when it could not be kept
   */
  keep (document: SettingsDocument): ResultAsync<void, LimpetwinchError> {
    return new ResultAsync(this.keepWithRetries(document))
  }

  /** @returns the kept documents of a path, newest first */
  list (path: SettingsPath): ResultAsync<readonly SettingsDocument[], LimpetwinchError> {
    return this.store.list(`${HISTORY_PREFIX}${path}/`).map(({ objects }) => objects
      .flatMap((object) => documentOf(object.value) ?? [])
      .filter((document) => document.path === path)
      .sort((left, right) => right.revision - left.revision))
  }

  /** @returns one kept document, or undefined when it is not kept */
  at (path: SettingsPath, revision: Revision): ResultAsync<SettingsDocument | undefined, LimpetwinchError> {
    return this.store.get(slotPathOf(path, revision)).map((object) => {
      const document = documentOf(object?.value)
      return document?.revision === revision ? document : undefined
    })
  }

  private async keepWithRetries (document: SettingsDocument): Promise<Result<void, LimpetwinchError>> {
    // A place is written once a round, so that its version can be guessed and a read is saved; a wrong guess is
    // answered with the right version.
    let ifVersion = Math.floor((document.revision - 1) / KEPT_REVISIONS)
    let last = new LimpetwinchError('store-unavailable', { reason: 'the history could not be written' })
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      const written = await this.store.put({ path: slotPathOf(document.path, document.revision), ifVersion, value: document })
      if (written.isOk()) return ok(undefined)
      last = written.error
      if (last.kind === 'store-unavailable') return err(last)
      if (last.kind !== 'version-conflict') continue
      const present = documentOf(last.details['value'])
      if (present?.writeId === document.writeId || (present !== undefined && present.revision > document.revision)) return ok(undefined)
      ifVersion = Number(last.details['version'])
    }
    return err(last)
  }
}

function slotPathOf (path: SettingsPath, revision: Revision): string {
  return `${HISTORY_PREFIX}${path}/${revision % KEPT_REVISIONS}`
}
