/** An owner that trusts what it once knew. */
import { StoreOwnership } from '@limpetwinch/entry'
import type { OwnerRights, StoreOwnershipOptions } from '@limpetwinch/entry'
import { FaultRunParts } from '../fault-run-parts.js'

class LapsedLeaseOwnership extends StoreOwnership {
  override rights (): OwnerRights {
    return { mayAdmit: true, mayEvict: true }
  }
}

/** Parts that take every ownership for confirmed and recovered. */
export class LapsedLeaseParts extends FaultRunParts {
  override ownership (options: StoreOwnershipOptions): StoreOwnership {
    return new LapsedLeaseOwnership(options)
  }
}
