/** Accepts changes of settings: checked, conditional on a revision, and written once. */
import { randomUUID } from 'node:crypto'
import { err, ok, ResultAsync } from 'neverthrow'
import type { Result } from 'neverthrow'
import { checkSettings, invalidSettingsError, LimpetwinchError } from '@limpetwinch/core'
import type { Clock, Logger, ObjectStore, Revision, SettingsDocument, SettingsPath } from '@limpetwinch/core'
import type { SettingsFollower } from './settings-follower.js'
import type { SettingsHistory } from './settings-history.js'
import { ConditionalSettingsWriter } from './conditional-settings-writer.js'
import { documentOf, storePathOf } from './stored-settings.js'

/** What the writer needs of its instance. */
export interface SettingsWriterDependencies {
  readonly store: ObjectStore
  readonly follower: SettingsFollower
  readonly history: SettingsHistory
  readonly logger: Logger
  readonly clock: Clock
}

/** A change that someone asks for. */
export interface SettingsChange {
  readonly path: SettingsPath
  /** The revision that the change was made on; 0 when nothing is set. */
  readonly ifRevision: Revision
  /** Makes the new text of the present one; undefined stands for a deleted document on both sides. */
  readonly change: (text: string | undefined) => Result<string | undefined, LimpetwinchError>
  readonly author: string
}

/** A value of the store holds up to a megabyte. */
const MAXIMUM_VALUE_BYTES = 1_000_000
const MAXIMUM_ATTEMPTS = 4

/** Writes settings to the store and puts them in force here. */
export class SettingsWriter {
  private readonly dependencies: SettingsWriterDependencies
  private readonly logger: Logger
  private readonly writes: ConditionalSettingsWriter

  /** @param dependencies - what it works with */
  constructor (dependencies: SettingsWriterDependencies) {
    this.dependencies = dependencies
    this.logger = dependencies.logger.part('settings')
    this.writes = new ConditionalSettingsWriter(dependencies.store, dependencies.history, dependencies.clock)
  }

  /**
   * Makes a change, or leaves everything as it was.
   *
   * Errors: `invalid-settings`, `revision-conflict` with `details.newest` and `details.text`, `no-settings`,
   * `settings-unread`, `store-unavailable` (nothing happened), `store-answer-lost` (it may have been accepted).
   *
   * @param change - what is asked for
   * @returns the accepted document, which is in force here
   */
  accept (change: SettingsChange): ResultAsync<SettingsDocument, LimpetwinchError> {
    return new ResultAsync(this.acceptWithRetries(change))
  }

  /**
   * Checks a text without writing it.
   *
   * @returns nothing, or `invalid-settings`
   */
  validate (path: SettingsPath, text: string): Result<void, LimpetwinchError> {
    const inForce = this.dependencies.follower.current()
    if (inForce === undefined) return err(new LimpetwinchError('settings-unread', {}, { retryAfterSeconds: 1 }))
    return checkSettings(path, text, inForce)
  }

  private async acceptWithRetries (change: SettingsChange): Promise<Result<SettingsDocument, LimpetwinchError>> {
    let last = new LimpetwinchError('store-unavailable', { reason: 'other writers were faster each time' })
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      const result = await this.acceptOnce(change)
      if (result.isOk()) return ok(this.announce(result.value))
      last = result.error
      // The store moved on between read and write. When the revision still fits, as after a restore, try again on top.
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
      // On from the highest known revision, not from the store's: a store restored from a copy holds an older one, and
      // a number given twice would let instances keep different texts under it.
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
    this.logger.info('A change was accepted.', { path: document.path, revision: document.revision, author: document.author })
    return document
  }
}

/** A deleted path can be made anew by someone who saw nothing there, or who saw the deletion. */
function matchesRevision (newest: SettingsDocument | undefined, ifRevision: Revision): boolean {
  if (ifRevision === newest?.revision) return true
  return ifRevision === 0 && newest?.text === undefined
}

function documentTooLarge (path: SettingsPath): LimpetwinchError {
  const message = `the document takes more than ${MAXIMUM_VALUE_BYTES} bytes in the store; split it, for example into two teams`
  return invalidSettingsError(path, [{ key: '', line: 1, column: 1, message }])
}
