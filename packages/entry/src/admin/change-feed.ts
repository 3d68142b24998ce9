/** Notifies the watch streams of operators about settings that come into force on this instance. */
import type { SettingsPath } from '@limpetwinch/core'
import type { SettingsFollower } from '../settings/settings-follower.js'

type Listener = (paths: readonly SettingsPath[]) => void

/** Determines the changed paths once per change and passes them to all listeners. */
export class ChangeFeed {
  private readonly follower: SettingsFollower
  private readonly listeners = new Set<Listener>()
  private lastRevisions = new Map<SettingsPath, number>()

  /** @param follower - the source of the settings in force */
  constructor (follower: SettingsFollower) {
    this.follower = follower
    follower.onChange(() => { this.publishChanges() })
  }

  /** @returns the number of listeners */
  get watchers (): number {
    return this.listeners.size
  }

  /**
   * @param listener - called with the paths that changed
   * @returns a function that removes the listener
   */
  listen (listener: Listener): () => void {
    if (this.listeners.size === 0) this.lastRevisions = new Map(this.follower.revisions())
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  private publishChanges (): void {
    if (this.listeners.size === 0) return
    const revisions = this.follower.revisions()
    const changed = [...revisions].filter(([path, revision]) => this.lastRevisions.get(path) !== revision).map(([path]) => path)
    this.lastRevisions = new Map(revisions)
    for (const listener of this.listeners) listener(changed)
  }
}
