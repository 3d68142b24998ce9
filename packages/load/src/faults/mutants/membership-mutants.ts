/** A membership that does not see endpoints leave. */
import { ListMembership } from '@limpetwinch/entry'
import type { ListMembershipOptions } from '@limpetwinch/entry'
import { FaultRunParts } from '../fault-run-parts.js'

class IgnoreLeavingMembership extends ListMembership {
  override leavingEndpoints (): ReadonlySet<string> {
    return new Set()
  }
}

/** Parts that send new work to leaving endpoints. */
export class IgnoreLeavingParts extends FaultRunParts {
  override membership (options: ListMembershipOptions): ListMembership {
    return new IgnoreLeavingMembership(options)
  }
}
