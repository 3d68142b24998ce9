/** An owner that trusts what it once knew. */
import { EntryParts, StoreOwnership } from '@limpetwinch/entry'
import type { OwnerRights, StoreOwnershipOptions } from '@limpetwinch/entry'

class LapsedLeaseOwnership extends StoreOwnership {
  override rights (): OwnerRights {
    return { mayAdmit: true, mayEvict: true }
  }
}

/** Parts that take every ownership for confirmed and recovered. */
export class LapsedLeaseParts extends EntryParts {
  override ownership (options: StoreOwnershipOptions): StoreOwnership {
    return new LapsedLeaseOwnership(options)
  }
}
