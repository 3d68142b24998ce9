/** Accepts settings changes. A change is validated, conditional on a revision, and written only once. */
import { randomUUID } from 'node:crypto'
import { err, ok, ResultAsync } from 'neverthrow'
import type { Result } from 'neverthrow'
import { checkSettings, invalidSettingsError, LimpetwinchError } from '@limpetwinch/core'
import type { Clock, Logger, ObjectStore, Revision, SettingsDocument, SettingsPath } from '@limpetwinch/core'
import type { SettingsFollower } from './settings-follower.js'
import type { SettingsHistory } from './settings-history.js'
import { ConditionalSettingsWriter } from './conditional-settings-writer.js'
import { documentOf, storePathOf } from './stored-settings.js'

/** Dependencies of the settings writer. */
export interface SettingsWriterDependencies {
  readonly store: ObjectStore
  readonly follower: SettingsFollower
  readonly history: SettingsHistory
  readonly logger: Logger
  readonly clock: Clock
}

/** A requested settings change. */
export interface SettingsChange {
  readonly path: SettingsPath
  /** Revision that the change is based on; 0 when the path has no document. */
  readonly ifRevision: Revision
  /** Returns the new text for the present text. In both, undefined stands for a missing or deleted document. */
  readonly change: (text: string | undefined) => Result<string | undefined, LimpetwinchError>
  readonly author: string
}

/** Maximum size of a value in the store: one megabyte. */
const MAXIMUM_VALUE_BYTES = 1_000_000
/** Maximum number of attempts to write one change when other writes keep changing the object first. */
const MAXIMUM_ATTEMPTS = 4

/** Writes settings to the store and puts them in force on this instance. */
export class SettingsWriter {
  private readonly dependencies: SettingsWriterDependencies
  private readonly logger: Logger
  private readonly writes: ConditionalSettingsWriter

  /** @param dependencies - the store, the follower and the other collaborators */
  constructor (dependencies: SettingsWriterDependencies) {
    this.dependencies = dependencies
    this.logger = dependencies.logger.part('settings')
    this.writes = new ConditionalSettingsWriter(dependencies.store, dependencies.history, dependencies.clock)
  }

  /**
   * Makes a change, or leaves the settings unchanged.
   *
   * Errors: `invalid-settings`, `revision-conflict` with `details.newest` and `details.text`, `no-settings`,
   * `settings-unread`, `store-unavailable` (nothing was changed), `store-answer-lost` (the change may have been accepted).
   *
   * @param change - the requested change
   * @returns the accepted document, which is in force on this instance
   */
  accept (change: SettingsChange): ResultAsync<SettingsDocument, LimpetwinchError> {
    return new ResultAsync(this.acceptWithRetries(change))
  }

  /**
   * Validates a text without writing it.
   *
   * @returns nothing, or the error `invalid-settings` or `settings-unread`
   */
  validate (path: SettingsPath, text: string): Result<void, LimpetwinchError> {
    const inForce = this.dependencies.follower.current()
    if (inForce === undefined) return err(new LimpetwinchError('settings-unread', {}, { retryAfterSeconds: 1 }))
    return checkSettings(path, text, inForce)
  }

  private async acceptWithRetries (change: SettingsChange): Promise<Result<SettingsDocument, LimpetwinchError>> {
    let last = new LimpetwinchError('store-unavailable', { reason: 'every attempt conflicted with another write' })
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      const result = await this.acceptOnce(change)
      if (result.isOk()) return ok(this.announce(result.value))
      last = result.error
      // The object changed between read and write. If the revision still matches, as after a restore of the store from a
      // backup, the next attempt replaces the new object.
      if (last.kind !== 'version-conflict') return err(last)
    }
    return err(last.kind === 'version-conflict' ? this.conflict(change.path) : last)
  }

  private async acceptOnce (change: SettingsChange): Promise<Result<SettingsDocument, LimpetwinchError>> {
    const { follower, store, history, clock } = this.dependencies
    if (follower.current() === undefined) return err(new LimpetwinchError('settings-unread', {}, { retryAfterSeconds: 1 }))
    const read = await store.get(storePathOf(change.path))
    if (read.isErr()) return err(read.error)
    const stored = documentOf(read.value?.value)
    if (stored !== undefined) follower.applyStoredDocument(stored)
    const newest = follower.document(change.path)
    if (!matchesRevision(newest, change.ifRevision)) return err(this.conflict(change.path))
    const text = change.change(newest?.text).andThen((changed) => this.checkText(change.path, changed))
    if (text.isErr()) return err(text.error)
    if (newest !== undefined) {
      const kept = await history.keep(newest)
      if (kept.isErr()) return err(new LimpetwinchError('store-unavailable', { reason: `the history could not be kept: ${kept.error.message}` }))
    }
    const document: SettingsDocument = {
      path: change.path,
      // The revision follows the highest known one and not that of the store. A store restored from a backup holds an older
      // revision, and if a number were assigned twice, instances could keep different texts under it.
      revision: (newest?.revision ?? 0) + 1 as Revision,
      text: text.value,
      writeId: randomUUID(),
      acceptedAt: clock.wallTime(),
      author: change.author
    }
    if (Buffer.byteLength(JSON.stringify(document)) > MAXIMUM_VALUE_BYTES) return err(documentTooLarge(change.path))
    const written = await this.writes.write(document, read.value?.version ?? 0)
    if (written.isErr() && written.error.kind === 'version-conflict') this.applyConflictWinner(written.error)
    return written.map(() => document)
  }

  private checkText (path: SettingsPath, text: string | undefined): Result<string | undefined, LimpetwinchError> {
    if (text === undefined) return ok(undefined)
    return this.validate(path, text).map(() => text)
  }

  private applyConflictWinner (conflict: LimpetwinchError): void {
    const winner = documentOf(conflict.details['value'])
    if (winner !== undefined) this.dependencies.follower.applyStoredDocument(winner)
  }

  private conflict (path: SettingsPath): LimpetwinchError {
    const newest = this.dependencies.follower.document(path)
    return new LimpetwinchError('revision-conflict', { path, newest: newest?.revision ?? 0, text: newest?.text, author: newest?.author })
  }

  private announce (document: SettingsDocument): SettingsDocument {
    this.dependencies.follower.accepted(document)
    this.logger.info('A settings change was accepted.', { path: document.path, revision: document.revision, author: document.author })
    return document
  }
}

/** Returns whether a change is based on the newest revision. For a missing or deleted document, revision 0 matches as well. */
function matchesRevision (newest: SettingsDocument | undefined, ifRevision: Revision): boolean {
  if (ifRevision === newest?.revision) return true
  return ifRevision === 0 && newest?.text === undefined
}

function documentTooLarge (path: SettingsPath): LimpetwinchError {
  const message = `the document takes more than ${MAXIMUM_VALUE_BYTES} bytes in the store; split it, for example into two teams`
  return invalidSettingsError(path, [{ key: '', line: 1, column: 1, message }])
}
