/** The settings in the store: reading all of them, and watching for changes where this instance is the watcher. */
import type { Clock, Logger, ObjectStore, SettingsDocument } from '@limpetwinch/core'
import { Backoff } from '../concurrency/backoff.js'
import { documentsOf, SETTINGS_LIST_PREFIX } from './stored-settings.js'

/** What the watch needs of its instance. */
export interface SettingsWatchDependencies {
  readonly store: ObjectStore
  readonly logger: Logger
  readonly clock: Clock
  /** From 0 to below 1. */
  readonly random: () => number
  /** How long the store may hold one watch call. */
  readonly watchMilliseconds: number
  /** Whether this instance is the watcher of its data centre or the spare. */
  readonly isWatcher: () => boolean
  /** Whether it is to watch although it is neither. */
  readonly isSubstituteWatcher: () => boolean
  /** Takes documents that the store holds. */
  readonly applyDocuments: (documents: readonly SettingsDocument[]) => void
}

/** Waits between calls while the store does not answer; jittered, or all would come back in the same moment. */
export const STORE_BACKOFF = { first: 100, largest: 5_000 }
const ROLE_CHECK_INTERVAL_MILLISECONDS = 250
const SUBSTITUTE_DELAY_MILLISECONDS = 1_000
const MINIMUM_CALL_INTERVAL_MILLISECONDS = 50
const LIST_INTERVAL_MILLISECONDS = 300_000
const FAILURE_VALID_MILLISECONDS = 30_000

/** Reads and watches the settings in the store. */
export class SettingsWatch {
  private readonly dependencies: SettingsWatchDependencies
  private readonly backoff: Backoff
  private cursor: number | undefined
  private nextListAt = 0
  private failedAt: number | undefined
  private substituteSince: number | undefined

  /** @param dependencies - what it works with */
  constructor (dependencies: SettingsWatchDependencies) {
    this.dependencies = dependencies
    this.backoff = new Backoff(STORE_BACKOFF, dependencies.random)
  }

  /** @returns whether the last call was answered; a failure counts for a while only, as others may be tried again */
  storeReachable (): boolean {
    return this.failedAt === undefined || this.dependencies.clock.now() - this.failedAt > FAILURE_VALID_MILLISECONDS
  }

  /** @returns whether all settings could be read */
  async list (): Promise<boolean> {
    const listed = await this.dependencies.store.list(SETTINGS_LIST_PREFIX)
    if (listed.isErr()) return this.failed(listed.error.message)
    this.answered()
    this.cursor = listed.value.cursor
    // Different moments on each instance, or all would read everything at once.
    this.nextListAt = this.dependencies.clock.now() + LIST_INTERVAL_MILLISECONDS * (0.5 + this.dependencies.random())
    this.dependencies.applyDocuments(documentsOf(listed.value.objects))
    return true
  }

  /** Watches for as long as this instance is to, until the signal. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (!this.shouldWatch()) {
        await this.dependencies.clock.sleep(ROLE_CHECK_INTERVAL_MILLISECONDS, signal)
        continue
      }
      const began = this.dependencies.clock.now()
      const answered = this.cursor === undefined || began >= this.nextListAt ? await this.list() : await this.step(this.cursor, signal)
      // A watch that is answered at once, without a wait, would be asked as fast as the network carries it.
      const early = MINIMUM_CALL_INTERVAL_MILLISECONDS - (this.dependencies.clock.now() - began)
      const wait = answered ? early : this.backoff.next()
      if (wait > 0) await this.dependencies.clock.sleep(wait, signal)
    }
  }

  /** Standing in waits a moment: at a start, and while a connection is replaced, nobody is connected for a while. */
  private shouldWatch (): boolean {
    if (this.dependencies.isWatcher()) return true
    if (!this.dependencies.isSubstituteWatcher()) {
      this.substituteSince = undefined
      return false
    }
    const now = this.dependencies.clock.now()
    this.substituteSince ??= now
    return now - this.substituteSince >= SUBSTITUTE_DELAY_MILLISECONDS
  }

  private async step (cursor: number, signal: AbortSignal): Promise<boolean> {
    const step = await this.dependencies.store.watch(SETTINGS_LIST_PREFIX, cursor, this.dependencies.watchMilliseconds, signal)
    if (signal.aborted) return true
    if (step.isErr()) return this.failed(step.error.message)
    this.answered()
    // A cursor that went back means a store restored from a copy: only a whole read tells what it holds now.
    this.cursor = step.value.cursor < cursor ? undefined : step.value.cursor
    this.dependencies.applyDocuments(documentsOf(step.value.changes))
    return true
  }

  private answered (): void {
    if (this.failedAt !== undefined) this.dependencies.logger.info('The store answers again.')
    this.failedAt = undefined
    this.backoff.reset()
  }

  private failed (reason: string): boolean {
    if (this.failedAt === undefined) this.dependencies.logger.warn('The store does not answer; what is in force stays.', { reason })
    this.failedAt = this.dependencies.clock.now()
    return false
  }
}
