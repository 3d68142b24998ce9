/** Tells watching operators of settings that come into force here. */
import type { SettingsPath } from '@limpetwinch/core'
import type { SettingsFollower } from '../settings/settings-follower.js'

type Listener = (paths: readonly SettingsPath[]) => void

/** Finds what changed, once for all who watch. */
export class ChangeFeed {
  private readonly follower: SettingsFollower
  private readonly listeners = new Set<Listener>()
  private lastRevisions = new Map<SettingsPath, number>()

  /** @param follower - what is in force */
  constructor (follower: SettingsFollower) {
    this.follower = follower
    follower.onChange(() => { this.publishChanges() })
  }

  /** @returns how many watch */
  get watchers (): number {
    return this.listeners.size
  }

  /**
   * @param listener - called with the paths that changed
   * @returns ends it
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
