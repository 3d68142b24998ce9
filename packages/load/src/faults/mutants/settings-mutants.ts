/** Settings that go back to an older revision. */
import type { OperatorSettings } from '@limpetwinch/core'
import { SettingsFollower } from '@limpetwinch/entry'
import type { SettingsFollowerDependencies } from '@limpetwinch/entry'
import { FaultRunParts } from '../fault-run-parts.js'

const READS_BETWEEN_RETURNS = 4

/** Every now and then shows what was in force before the newest change. */
class OlderRevisionFollower extends SettingsFollower {
  private former: OperatorSettings | undefined
  private newest: OperatorSettings | undefined
  private reads = 0

  override current (): OperatorSettings | undefined {
    const present = super.current()
    if (present !== this.newest) {
      this.former = this.newest
      this.newest = present
    }
    this.reads += 1
    return this.former !== undefined && this.reads % READS_BETWEEN_RETURNS === 0 ? this.former : present
  }
}

/** Parts that apply an older revision. */
export class OlderRevisionParts extends FaultRunParts {
  override settings (parts: SettingsFollowerDependencies): SettingsFollower {
    return new OlderRevisionFollower(parts)
  }
}
