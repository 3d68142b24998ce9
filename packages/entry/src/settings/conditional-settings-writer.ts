/** Conditional writes of settings with a definite result, also when the answer of the store is lost. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { LimpetwinchError } from '@limpetwinch/core'
import type { Clock, ObjectStore, SettingsDocument } from '@limpetwinch/core'
import type { SettingsHistory } from './settings-history.js'
import { documentOf, storePathOf } from './stored-settings.js'

const MAXIMUM_READS = 4
/** Wait after the first failed read. The wait doubles with each further read. */
const INITIAL_WAIT_MILLISECONDS = 50
const MAXIMUM_WRITES = 3

/** Writes settings documents, each conditional on the version of its object in the store. */
export class ConditionalSettingsWriter {
  private readonly store: ObjectStore
  private readonly history: SettingsHistory
  private readonly clock: Clock

  /**
   * @param store - the store to write to
   * @param history - contains writes that were replaced before they could be read back
   * @param clock - times the waits between reads
   */
  constructor (store: ObjectStore, history: SettingsHistory, clock: Clock) {
    this.store = store
    this.history = history
    this.clock = clock
  }

  /**
   * @param document - the document to write; its write id identifies the write when the object is read back
   * @param ifVersion - the version of the object that the write replaces
   * @returns nothing, or the error `version-conflict` when another write came first, `store-unavailable` when nothing was
   *   written, `store-answer-lost` when it is unknown whether the write took effect
   */
  async write (document: SettingsDocument, ifVersion: number): Promise<Result<void, LimpetwinchError>> {
    for (let attempt = 0; attempt < MAXIMUM_WRITES; attempt += 1) {
      const written = await this.store.put({ path: storePathOf(document.path), ifVersion, value: document })
      if (written.isOk()) return ok(undefined)
      if (written.error.kind === 'version-conflict') return await this.resolveConflict(document, written.error, attempt > 0)
      if (written.error.kind !== 'store-answer-lost') return err(attempt === 0 ? written.error : answerLost(document))
      // The write may have taken effect. Writing again under a new revision would apply the change twice, and reporting a
      // refusal could be wrong. The present object in the store shows what happened.
      const present = await this.readBack(document)
      if (present.isErr()) return err(present.error)
      if (present.value.version !== ifVersion) {
        const conflict = new LimpetwinchError('version-conflict', { path: document.path, ...present.value })
        return await this.resolveConflict(document, conflict, true)
      }
      // The store does not have the write, but the write may still arrive. The same write on the same version can take effect
      // only once, whichever copy arrives first, so sending it again is safe and gives a definite result.
    }
    return err(answerLost(document))
  }

  /**
   * Distinguishes two causes of a version conflict: another write came first, or this write took effect but the store's answer
   * was lost. In the second case, a later write may already have replaced the document.
   */
  private async resolveConflict (document: SettingsDocument, conflict: LimpetwinchError, sentBefore: boolean): Promise<Result<void, LimpetwinchError>> {
    const present = documentOf(conflict.details['value'])
    if (present?.writeId === document.writeId) return ok(undefined)
    if (!sentBefore || present === undefined || present.revision <= document.revision) return err(conflict)
    // Before a writer replaces a document, it stores that document in the history. If this write took effect and was replaced,
    // the history therefore contains the document.
    const kept = await this.history.at(document.path, document.revision)
    if (kept.isErr()) return err(answerLost(document))
    return kept.value?.writeId === document.writeId ? ok(undefined) : err(conflict)
  }

  private async readBack (document: SettingsDocument): Promise<Result<{ version: number, value: unknown }, LimpetwinchError>> {
    for (let attempt = 0; attempt < MAXIMUM_READS; attempt += 1) {
      const read = await this.store.get(storePathOf(document.path))
      if (read.isOk()) return ok({ version: read.value?.version ?? 0, value: read.value?.value })
      await this.clock.sleep(INITIAL_WAIT_MILLISECONDS * 2 ** attempt)
    }
    return err(answerLost(document))
  }
}

function answerLost (document: SettingsDocument): LimpetwinchError {
  return new LimpetwinchError('store-answer-lost', { path: document.path })
}
