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
const RECALL_SHARE = 0.7
/** Number of announcements to keep for an adapter: within the time that a version may serve, more are not expected. */
const MAXIMUM_KEPT = 4
/** Time after a pause of the process within which the announcements that were made during the pause arrive, milliseconds. */
const CATCH_UP_MILLISECONDS = 2_000
/** Longest time after a pause until it is detected, milliseconds. */
const PAUSE_DETECTION_MILLISECONDS = 200

interface AnnouncedVersion {
  readonly version: number
  /**
   * Monotonic time in milliseconds at which this instance learnt of the version, or at which the pause began during which it may have been
   * announced; -Infinity when the version was announced before this instance started.
   */
  learntAt: number
}

/** The announced adapter versions. The version of an adapter never decreases. */
export class AdapterVersions {
  /** The latest announcements of each adapter, the newest one first. */
  private readonly announced = new Map<AdapterKey, readonly [AnnouncedVersion, ...AnnouncedVersion[]]>()
  private readonly listeners: ((key: AdapterKey, version: number) => void)[] = []
  private readonly logger: Logger
  private readonly newVersionMilliseconds: number
  private hasAnnouncements = false
  private lastPause = { endedAt: -Infinity, milliseconds: 0 }

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
    for (const [{ version }] of this.announced.values()) sum += version
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
    const pausedFor = now - this.lastPause.endedAt < CATCH_UP_MILLISECONDS ? this.lastPause.milliseconds : 0
    for (const { key, version } of announcements) {
      const known = this.announced.get(key) ?? []
      if (known[0] !== undefined && known[0].version >= version) continue
      // The first announcements may have been made long before this instance started, so the previous versions may not serve any longer.
      this.announced.set(key, [{ version, learntAt: isFirst ? -Infinity : now - pausedFor }, ...known.slice(0, MAXIMUM_KEPT - 1)])
      this.logger.info('A newer adapter version is announced.', { adapter: key, version, source })
      for (const listener of this.listeners) listener(key, version)
    }
  }

  /**
   * Called after this process was paused. Versions that it learns of now, or that it learnt of just before the pause was detected, may have been
   * announced when the pause began.
   */
  paused (milliseconds: number, now: number): void {
    this.lastPause = { endedAt: now, milliseconds }
    for (const [latest] of this.announced.values()) if (now - latest.learntAt < PAUSE_DETECTION_MILLISECONDS) latest.learntAt -= milliseconds
  }

  /** @returns the latest announcement of each adapter, for peers that do not read the store */
  all (): readonly AdapterAnnouncement[] {
    return [...this.announced].map(([key, [{ version }]]) => ({ key, version }))
  }

  /** @returns the latest version of the adapter, or undefined when none was announced */
  newest (key: AdapterKey): number | undefined {
    return this.announced.get(key)?.[0].version
  }

  /** @returns monotonic time until which requests may begin on this version; undefined when no newer one was announced */
  previousServesUntil (key: AdapterKey, version: number): number | undefined {
    const learntAt = this.supersededAt(key, version)
    return learntAt === undefined ? undefined : learntAt + this.newVersionMilliseconds
  }

  /** @returns monotonic time from which copies of this version are recalled although requests wait for them; undefined when no newer one was announced */
  recallsPreviousAt (key: AdapterKey, version: number): number | undefined {
    const learntAt = this.supersededAt(key, version)
    return learntAt === undefined ? undefined : learntAt + this.newVersionMilliseconds * RECALL_SHARE
  }

  /** @returns the minimum version that a new request may start on; 0 allows any version */
  minimumUsable (key: AdapterKey, now: number): number {
    const [known] = this.announced.get(key) ?? []
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

  /** @returns monotonic time at which this instance learnt of the first newer version that it remembers; undefined if there is none */
  private supersededAt (key: AdapterKey, version: number): number | undefined {
    return this.announced.get(key)?.findLast((announcement) => announcement.version > version)?.learntAt
  }
}
