/** Settings that go back to an older revision. */
import type { OperatorSettings } from '@limpetwinch/core'
import { SettingsFollower } from '@limpetwinch/entry'
import type { SettingsFollowerDependencies } from '@limpetwinch/entry'
import { FaultRunComponents } from '../fault-run-components.js'

const READS_PER_OLDER_REVISION = 4

/** Every now and then shows what was in force before the newest change. */
class OlderRevisionFollower extends SettingsFollower {
  private previous: OperatorSettings | undefined
  private newest: OperatorSettings | undefined
  private reads = 0

  override current (): OperatorSettings | undefined {
    const present = super.current()
    if (present !== this.newest) {
      this.previous = this.newest
      this.newest = present
    }
    this.reads += 1
    return this.previous !== undefined && this.reads % READS_PER_OLDER_REVISION === 0 ? this.previous : present
  }
}

/** Parts that apply an older revision. */
export class OlderRevisionComponents extends FaultRunComponents {
  override settings (parts: SettingsFollowerDependencies): SettingsFollower {
    return new OlderRevisionFollower(parts)
  }
}
