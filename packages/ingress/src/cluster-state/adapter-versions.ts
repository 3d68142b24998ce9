/** The newest announced version of each adapter, and from when on only it may be used. */
import type { Logger } from '@limpetwinch/core'
import type { AdapterAnnouncement, AdapterKey } from '../routes/configuration.js'

/**
 * Part of the time allowed for a new version in which copies of the version before still serve. The rest covers how
 * late an announcement is heard and how long a request waits at an engine before it begins.
 */
const SHARE_FOR_OLD_COPIES = 0.4

interface Announced {
  readonly version: number
  /** Monotonic time at which this instance heard of it. */
  readonly heardAt: number
}

/** Announced versions; they never go back. */
export class AdapterVersions {
  private readonly announced = new Map<AdapterKey, Announced>()
  private readonly listeners: ((key: AdapterKey, version: number) => void)[] = []
  private readonly logger: Logger
  private readonly oldCopiesMilliseconds: number
  private heardAny = false

  /**
   * @param logger - hears of each announcement
   * @param newVersionMilliseconds - time in which a new version must be in use
   */
  constructor (logger: Logger, newVersionMilliseconds: number) {
    this.logger = logger
    this.oldCopiesMilliseconds = newVersionMilliseconds * SHARE_FOR_OLD_COPIES
  }

  /** @returns a number that grows with each newer version, for comparing with peers */
  get versionSum (): number {
    let sum = 0
    for (const { version } of this.announced.values()) sum += version
    return sum
  }

  /** Calls the listener with each newer version. */
  onNewVersion (listener: (key: AdapterKey, version: number) => void): void {
    this.listeners.push(listener)
  }

  /** Takes up what is newer among the announcements. */
  apply (announcements: Iterable<AdapterAnnouncement>, source: 'store' | 'peer', now: number): void {
    const first = !this.heardAny
    this.heardAny = true
    for (const { key, version } of announcements) {
      const known = this.announced.get(key)
      if (known !== undefined && known.version >= version) continue
      // What was announced before this instance started may have been so for long: there is no time left for it.
      this.announced.set(key, { version, heardAt: first ? -Infinity : now })
      this.logger.info('A newer adapter version is announced.', { adapter: key, version, source })
      for (const listener of this.listeners) listener(key, version)
    }
  }

  /** @returns all announcements, for peers that cannot reach the store */
  all (): readonly AdapterAnnouncement[] {
    return [...this.announced].map(([key, { version }]) => ({ key, version }))
  }

  /** @returns the newest version, or undefined when none was announced */
  newest (key: AdapterKey): number | undefined {
    return this.announced.get(key)?.version
  }

  /** @returns the least version that a new request may begin on; 0 allows any */
  minimumUsable (key: AdapterKey, now: number): number {
    const known = this.announced.get(key)
    if (known === undefined) return 0
    return now - known.heardAt < this.oldCopiesMilliseconds ? known.version - 1 : known.version
  }
}
