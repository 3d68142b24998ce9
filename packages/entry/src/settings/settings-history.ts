/** History of the settings: earlier documents of each path, kept in the store. */
import { err, ok, ResultAsync } from 'neverthrow'
import type { Result } from 'neverthrow'
import { LimpetwinchError } from '@limpetwinch/core'
import type { ObjectStore, Revision, SettingsDocument, SettingsPath } from '@limpetwinch/core'
import { documentOf } from './stored-settings.js'

const HISTORY_PREFIX = '/history'
/**
 * Number of earlier documents kept for each path, one in each slot. The store's object API has no delete, so each new document
 * overwrites the slot of the oldest one.
 */
export const KEPT_REVISIONS = 32
const MAXIMUM_ATTEMPTS = 3

/** Reads and writes earlier documents. Each path has a fixed number of slots, and each slot is one object of the store. */
export class SettingsHistory {
  private readonly store: ObjectStore

  /** @param store - the store that keeps the documents */
  constructor (store: ObjectStore) {
    this.store = store
  }

  /**
   * Stores the newest accepted document of a path in the history, before a change replaces that document. The call is
   * idempotent: writers that race to replace the same document all store it here and do not make each other fail.
   *
   * @param document - the accepted document that a change is about to replace
   * @returns nothing, or the error of the store, such as `store-unavailable` or `store-answer-lost`, when the document could not
   *   be stored
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

  /** @returns the document of one revision, or undefined when the history does not contain that revision */
  at (path: SettingsPath, revision: Revision): ResultAsync<SettingsDocument | undefined, LimpetwinchError> {
    return this.store.get(slotPathOf(path, revision)).map((object) => {
      const document = documentOf(object?.value)
      return document?.revision === revision ? document : undefined
    })
  }

  private async keepWithRetries (document: SettingsDocument): Promise<Result<void, LimpetwinchError>> {
    // A slot is written once in KEPT_REVISIONS revisions, so the version of its object can be calculated and no read is
    // needed. If the calculated version is wrong, the conflict error contains the actual version.
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
