/** A membership that reports no endpoint as leaving. */
import { ListMembership } from '@limpetwinch/entry'
import type { ListMembershipOptions } from '@limpetwinch/entry'
import { FaultRunComponents } from '../fault-run-components.js'

class IgnoreLeavingMembership extends ListMembership {
  override leavingEndpoints (): ReadonlySet<string> {
    return new Set()
  }
}

/** Components with which an instance sends new work to leaving endpoints. */
export class IgnoreLeavingComponents extends FaultRunComponents {
  override membership (options: ListMembershipOptions): ListMembership {
    return new IgnoreLeavingMembership(options)
  }
}
