/** One conditional write that ends in a clear answer, also when the store's own answer is lost. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { LimpetwinchError } from '@limpetwinch/core'
import type { Clock, ObjectStore, SettingsDocument } from '@limpetwinch/core'
import type { SettingsHistory } from './settings-history.js'
import { documentOf, storePathOf } from './stored-settings.js'

const MAXIMUM_READS = 4
const INITIAL_WAIT_MILLISECONDS = 50
const MAXIMUM_WRITES = 3

/** Writes documents. */
export class ConditionalSettingsWriter {
  private readonly store: ObjectStore
  private readonly history: SettingsHistory
  private readonly clock: Clock

  /**
   * @param store - where to
   * @param history - tells of a write that was replaced before it was read back
   * @param clock - for waits between reads
   */
  constructor (store: ObjectStore, history: SettingsHistory, clock: Clock) {
    this.store = store
    this.history = history
    this.clock = clock
  }

  /**
   * @param document - what to write; its write id finds it again
   * @param ifVersion - the object's version that it replaces
   * @returns `version-conflict` when another write came first, `store-unavailable` when nothing happened,
   * `store-answer-lost` when it cannot be told
   */
  async write (document: SettingsDocument, ifVersion: number): Promise<Result<void, LimpetwinchError>> {
    for (let attempt = 0; attempt < MAXIMUM_WRITES; attempt += 1) {
      const written = await this.store.put({ path: storePathOf(document.path), ifVersion, value: document })
      if (written.isOk()) return ok(undefined)
      if (written.error.kind === 'version-conflict') return await this.resolveConflict(document, written.error, attempt > 0)
      if (written.error.kind !== 'store-answer-lost') return err(attempt === 0 ? written.error : answerLost(document))
      // The write may have taken effect. Writing again under a new revision would do it twice; calling it refused
      // would be wrong for the operator. What stands in the store now tells.
      const present = await this.readBack(document)
      if (present.isErr()) return err(present.error)
      if (present.value.version !== ifVersion) {
        const conflict = new LimpetwinchError('version-conflict', { path: document.path, ...present.value })
        return await this.resolveConflict(document, conflict, true)
      }
      // Not there, but it may still be on its way. The same write on the same version can take effect only once,
      // whichever copy of it comes first, so that sending it again is safe and settles the matter.
    }
    return err(answerLost(document))
  }

  /** Tells a lost race from a write that took effect, was not answered, and may have been replaced since. */
  private async resolveConflict (document: SettingsDocument, conflict: LimpetwinchError, sentBefore: boolean): Promise<Result<void, LimpetwinchError>> {
    const present = documentOf(conflict.details['value'])
    if (present?.writeId === document.writeId) return ok(undefined)
    if (!sentBefore || present === undefined || present.revision <= document.revision) return err(conflict)
    // Whoever replaced it has kept it in the history before.
    const former = await this.history.at(document.path, document.revision)
    if (former.isErr()) return err(answerLost(document))
    return former.value?.writeId === document.writeId ? ok(undefined) : err(conflict)
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
