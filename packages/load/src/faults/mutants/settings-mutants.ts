/** A settings follower that goes back to an older revision. */
import type { OperatorSettings } from '@limpetwinch/core'
import { SettingsFollower } from '@limpetwinch/entry'
import type { SettingsFollowerDependencies } from '@limpetwinch/entry'
import { FaultRunComponents } from '../fault-run-components.js'

/** Number of reads of the settings of which one returns the older revision. */
const READS_PER_OLDER_REVISION = 4

/** Returns the settings from before the latest change at every fourth read. */
class OlderRevisionFollower extends SettingsFollower {
  private previous: OperatorSettings | undefined
  private latest: OperatorSettings | undefined
  private reads = 0

  override current (): OperatorSettings | undefined {
    const settings = super.current()
    if (settings !== this.latest) {
      this.previous = this.latest
      this.latest = settings
    }
    this.reads += 1
    return this.previous !== undefined && this.reads % READS_PER_OLDER_REVISION === 0 ? this.previous : settings
  }
}

/** Components with which an instance applies an older revision of the settings. */
export class OlderRevisionComponents extends FaultRunComponents {
  override settings (dependencies: SettingsFollowerDependencies): SettingsFollower {
    return new OlderRevisionFollower(dependencies)
  }
}
