/** The settings in the store: reading all of them, and watching for changes where this instance is the watcher. */
import type { Clock, Logger, ObjectStore, SettingsDocument } from '@limpetwinch/core'
import { Backoff } from '../concurrency/backoff.js'
import { documentsOf, SETTINGS_LIST_PREFIX } from './stored-settings.js'

/** What the watch needs of its instance. */
export interface SettingsWatchParts {
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
  readonly standsIn: () => boolean
  /** Takes documents that the store holds. */
  readonly take: (documents: readonly SettingsDocument[]) => void
}

/** Waits between calls while the store does not answer; jittered, or all would come back in the same moment. */
export const STORE_WAITS = { first: 100, largest: 5_000 }
const ROLE_CHECK_MILLISECONDS = 250
const STAND_IN_AFTER_MILLISECONDS = 1_000
const CALL_SPACING_MILLISECONDS = 50
const LIST_AGAIN_MILLISECONDS = 300_000
const REACHABLE_AGAIN_MILLISECONDS = 30_000

/** Reads and watches the settings in the store. */
export class SettingsWatch {
  private readonly parts: SettingsWatchParts
  private readonly backoff: Backoff
  private cursor: number | undefined
  private listAgainAt = 0
  private failedAt: number | undefined
  private standInSince: number | undefined

  /** @param parts - what it works with */
  constructor (parts: SettingsWatchParts) {
    this.parts = parts
    this.backoff = new Backoff(STORE_WAITS, parts.random)
  }

  /** @returns whether the last call was answered; a failure counts for a while only, as others may be tried again */
  storeReachable (): boolean {
    return this.failedAt === undefined || this.parts.clock.now() - this.failedAt > REACHABLE_AGAIN_MILLISECONDS
  }

  /** @returns whether all settings could be read */
  async list (): Promise<boolean> {
    const listed = await this.parts.store.list(SETTINGS_LIST_PREFIX)
    if (listed.isErr()) return this.failed(listed.error.message)
    this.answered()
    this.cursor = listed.value.cursor
    // Different moments on each instance, or all would read everything at once.
    this.listAgainAt = this.parts.clock.now() + LIST_AGAIN_MILLISECONDS * (0.5 + this.parts.random())
    this.parts.take(documentsOf(listed.value.objects))
    return true
  }

  /** Watches for as long as this instance is to, until the signal. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (!this.watchesNow()) {
        await this.parts.clock.sleep(ROLE_CHECK_MILLISECONDS, signal)
        continue
      }
      const began = this.parts.clock.now()
      const answered = this.cursor === undefined || began >= this.listAgainAt ? await this.list() : await this.step(this.cursor, signal)
      // A watch that is answered at once, without a wait, would be asked as fast as the network carries it.
      const early = CALL_SPACING_MILLISECONDS - (this.parts.clock.now() - began)
      const wait = answered ? early : this.backoff.next()
      if (wait > 0) await this.parts.clock.sleep(wait, signal)
    }
  }

  /** Standing in waits a moment: at a start, and while a connection is replaced, nobody is connected for a while. */
  private watchesNow (): boolean {
    if (this.parts.isWatcher()) return true
    if (!this.parts.standsIn()) {
      this.standInSince = undefined
      return false
    }
    const now = this.parts.clock.now()
    this.standInSince ??= now
    return now - this.standInSince >= STAND_IN_AFTER_MILLISECONDS
  }

  private async step (cursor: number, signal: AbortSignal): Promise<boolean> {
    const step = await this.parts.store.watch(SETTINGS_LIST_PREFIX, cursor, this.parts.watchMilliseconds, signal)
    if (signal.aborted) return true
    if (step.isErr()) return this.failed(step.error.message)
    this.answered()
    // A cursor that went back means a store restored from a copy: only a whole read tells what it holds now.
    this.cursor = step.value.cursor < cursor ? undefined : step.value.cursor
    this.parts.take(documentsOf(step.value.changes))
    return true
  }

  private answered (): void {
    if (this.failedAt !== undefined) this.parts.logger.info('The store answers again.')
    this.failedAt = undefined
    this.backoff.reset()
  }

  private failed (reason: string): boolean {
    if (this.failedAt === undefined) this.parts.logger.warn('The store does not answer; what is in force stays.', { reason })
    this.failedAt = this.parts.clock.now()
    return false
  }
}
