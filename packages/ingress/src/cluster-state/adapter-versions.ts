/** Tracks the latest announced version of each adapter and the time from which new requests must use it. */
import type { Logger } from '@limpetwinch/core'
import type { AdapterAnnouncement, AdapterKey } from '../routes/configuration.js'

/**
 * A new version must be in use within a set time after its announcement. During this fraction of that time, loaded copies of the
 * previous version may still serve. The rest covers the delay of the announcement and the time that a request waits at an engine
 * before it starts.
 */
const PREVIOUS_VERSION_SHARE = 0.4
/**
 * Part of that time after which requests that wait at an engine for the previous version are recalled. The rest is left for an order that is
 * lost or carried out late, and for another send. It is larger than the part during which requests are still sent to the previous version.
 */
const RECALL_SHARE = 0.5

interface AnnouncedVersion {
  readonly version: number
  /**
   * Monotonic time in milliseconds at which this instance learnt of the version; -Infinity when the version was announced before
   * this instance started.
   */
  readonly learntAt: number
}

/** The announced adapter versions. The version of an adapter never decreases. */
export class AdapterVersions {
  private readonly announced = new Map<AdapterKey, AnnouncedVersion>()
  private readonly listeners: ((key: AdapterKey, version: number) => void)[] = []
  private readonly logger: Logger
  private readonly newVersionMilliseconds: number
  private hasAnnouncements = false

  /**
   * @param logger - receives a line for each newer version
   * @param newVersionMilliseconds - longest time from the announcement of a new version until it must be in use
   */
  constructor (logger: Logger, newVersionMilliseconds: number) {
    this.logger = logger
    this.newVersionMilliseconds = newVersionMilliseconds
  }

  /**
   * @returns the sum of all versions. The sum grows with each newer version, so two peers compare their sums to find out which one
   * has older versions
   */
  get versionSum (): number {
    let sum = 0
    for (const { version } of this.announced.values()) sum += version
    return sum
  }

  /** Registers a listener that is called with each newer version. */
  onNewVersion (listener: (key: AdapterKey, version: number) => void): void {
    this.listeners.push(listener)
  }

  /** Applies the announcements that are newer than the known versions. */
  apply (announcements: Iterable<AdapterAnnouncement>, source: 'store' | 'peer', now: number): void {
    const isFirst = !this.hasAnnouncements
    this.hasAnnouncements = true
    for (const { key, version } of announcements) {
      const known = this.announced.get(key)
      if (known !== undefined && known.version >= version) continue
      // The first announcements may have been made long before this instance started, so the previous versions may not serve any longer.
      this.announced.set(key, { version, learntAt: isFirst ? -Infinity : now })
      this.logger.info('A newer adapter version is announced.', { adapter: key, version, source })
      for (const listener of this.listeners) listener(key, version)
    }
  }

  /** @returns the latest announcement of each adapter, for peers that do not read the store */
  all (): readonly AdapterAnnouncement[] {
    return [...this.announced].map(([key, { version }]) => ({ key, version }))
  }

  /** @returns the latest version of the adapter, or undefined when none was announced */
  newest (key: AdapterKey): number | undefined {
    return this.announced.get(key)?.version
  }

  /** @returns monotonic time until which requests may begin on older versions than the latest; undefined when no version was announced */
  previousServesUntil (key: AdapterKey): number | undefined {
    const known = this.announced.get(key)
    return known === undefined ? undefined : known.learntAt + this.newVersionMilliseconds
  }

  /** @returns monotonic time from which copies of older versions are recalled although requests wait for them; undefined when no version was announced */
  recallsPreviousAt (key: AdapterKey): number | undefined {
    const known = this.announced.get(key)
    return known === undefined ? undefined : known.learntAt + this.newVersionMilliseconds * RECALL_SHARE
  }

  /** @returns the minimum version that a new request may start on; 0 allows any version */
  minimumUsable (key: AdapterKey, now: number): number {
    const known = this.announced.get(key)
    if (known === undefined) return 0
    return now - known.learntAt < this.newVersionMilliseconds * PREVIOUS_VERSION_SHARE ? known.version - 1 : known.version
  }

  /**
   * @returns the version that an engine must check before it serves a request; undefined while any loaded copy may serve, since the engine
   *   checks the version only once new requests must use the latest one
   */
  expected (key: AdapterKey, now: number): number | undefined {
    const latest = this.newest(key)
    return latest !== undefined && this.minimumUsable(key, now) === latest ? latest : undefined
  }
}
