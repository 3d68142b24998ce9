/** Reads all settings from the store, and watches the store for changes while this instance is a watcher. */
import type { Clock, Logger, ObjectStore, SettingsDocument } from '@limpetwinch/core'
import { Backoff } from '../concurrency/backoff.js'
import { documentsOf, SETTINGS_LIST_PREFIX } from './stored-settings.js'

/** Dependencies of the settings watch. */
export interface SettingsWatchDependencies {
  readonly store: ObjectStore
  readonly logger: Logger
  readonly clock: Clock
  /** Returns a random number from 0 to below 1, for jitter. */
  readonly random: () => number
  /** Maximum time that the store holds one watch call open, in milliseconds. */
  readonly watchMilliseconds: number
  /** Returns whether this instance is the watcher of its data centre or the spare watcher. */
  readonly isWatcher: () => boolean
  /**
   * Returns whether this instance must watch although it is neither the watcher nor the spare watcher. That is so when it is
   * connected to neither of them, or when neither reaches the store but this instance does and ranks high enough to replace
   * them.
   */
  readonly isSubstituteWatcher: () => boolean
  /** Applies documents that were read from the store. */
  readonly applyDocuments: (documents: readonly SettingsDocument[]) => void
}

/**
 * First and largest delay before the next call while the store does not answer, in milliseconds. The delays are jittered, so
 * that instances do not all retry at once.
 */
export const STORE_BACKOFF = { first: 100, largest: 5_000 }
/** Interval at which an instance that does not watch checks whether it has to. */
const ROLE_CHECK_INTERVAL_MILLISECONDS = 250
/** Time for which this instance must be a substitute watcher without interruption before it watches the store. */
const SUBSTITUTE_DELAY_MILLISECONDS = 1_000
/** Minimum time from the start of one answered call of the store to the start of the next. */
const MINIMUM_CALL_INTERVAL_MILLISECONDS = 50
/** Average interval between complete reads of the settings by a watching instance. */
const LIST_INTERVAL_MILLISECONDS = 300_000
/** Time after a failed call for which the store is considered unreachable from this instance. */
const FAILURE_VALID_MILLISECONDS = 30_000

/** Reads and watches the settings in the store. */
export class SettingsWatch {
  private readonly dependencies: SettingsWatchDependencies
  private readonly backoff: Backoff
  private cursor: number | undefined
  private nextListAt = 0
  private failedAt: number | undefined
  private substituteSince: number | undefined

  /** @param dependencies - the store and the other collaborators */
  constructor (dependencies: SettingsWatchDependencies) {
    this.dependencies = dependencies
    this.backoff = new Backoff(STORE_BACKOFF, dependencies.random)
  }

  /**
   * @returns whether the store is considered reachable. A failed call counts only for a limited time, after which this instance
   *   may try the store again as a substitute watcher
   */
  storeReachable (): boolean {
    return this.failedAt === undefined || this.dependencies.clock.now() - this.failedAt > FAILURE_VALID_MILLISECONDS
  }

  /** Reads all settings from the store. Returns whether they could be read. */
  async list (): Promise<boolean> {
    const listed = await this.dependencies.store.list(SETTINGS_LIST_PREFIX)
    if (listed.isErr()) return this.failed(listed.error.message)
    this.answered()
    this.cursor = listed.value.cursor
    // The interval to the next complete read is random, or all watching instances could read all settings at the same time.
    this.nextListAt = this.dependencies.clock.now() + LIST_INTERVAL_MILLISECONDS * (0.5 + this.dependencies.random())
    this.dependencies.applyDocuments(documentsOf(listed.value.objects))
    return true
  }

  /** Watches the store while this instance should do so, until the signal is aborted. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (!this.shouldWatch()) {
        await this.dependencies.clock.sleep(ROLE_CHECK_INTERVAL_MILLISECONDS, signal)
        continue
      }
      const startedAt = this.dependencies.clock.now()
      const answered = this.cursor === undefined || startedAt >= this.nextListAt ? await this.list() : await this.watchOnce(this.cursor, signal)
      // Without a minimum interval, watches that are answered immediately would be repeated as fast as the network allows.
      const remaining = MINIMUM_CALL_INTERVAL_MILLISECONDS - (this.dependencies.clock.now() - startedAt)
      const wait = answered ? remaining : this.backoff.next()
      if (wait > 0) await this.dependencies.clock.sleep(wait, signal)
    }
  }

  /**
   * Returns whether this instance watches the store now. A substitute watcher starts to watch only after a delay. While this
   * instance starts, or replaces its connection to a watcher, it is connected to no watcher for a moment, and the delay keeps
   * it from watching the store because of such a short gap.
   */
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

  private async watchOnce (cursor: number, signal: AbortSignal): Promise<boolean> {
    const step = await this.dependencies.store.watch(SETTINGS_LIST_PREFIX, cursor, this.dependencies.watchMilliseconds, signal)
    if (signal.aborted) return true
    if (step.isErr()) return this.failed(step.error.message)
    this.answered()
    // A lower cursor means that the store was restored from a backup. Only a complete read shows what the store contains now.
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
    if (this.failedAt === undefined) this.dependencies.logger.warn('The store does not answer; the current settings stay in force.', { reason })
    this.failedAt = this.dependencies.clock.now()
    return false
  }
}
