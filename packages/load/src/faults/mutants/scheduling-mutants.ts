/** An owner that evicts adapters in use. */
import { OwnedEndpoints } from '@limpetwinch/entry'
import type { OwnedEndpoint, OwnedEndpointsOptions } from '@limpetwinch/entry'
import { FaultRunComponents } from '../fault-run-components.js'

class IgnorePinsOwnedEndpoints extends OwnedEndpoints {
  private readonly changed = new WeakSet<OwnedEndpoint>()

  override reconcile (): void {
    super.reconcile()
    for (const owned of this.all()) {
      if (this.changed.has(owned)) continue
      this.changed.add(owned)
      ignorePins(owned)
    }
  }
}

/** Makes every loaded adapter of an endpoint a candidate for eviction, with no pins in the view of the eviction policy. */
function ignorePins (owned: OwnedEndpoint): void {
  const { slots } = owned.scheduler
  slots.evictable = () => slots.all()
    .filter((slot) => slot.state === 'loaded' || slot.state === 'unverified')
    .map((slot) => ({
      slot,
      view: { adapter: slot.adapter, pins: 0, loadedAt: slot.loadedAt, lastUsedAt: slot.lastUsedAt, waiting: 0, otherCopies: 0 }
    }))
}

/** Components with which an owner evicts adapters that have pins. */
export class IgnorePinsComponents extends FaultRunComponents {
  override ownedEndpoints (options: OwnedEndpointsOptions): OwnedEndpoints {
    return new IgnorePinsOwnedEndpoints(options)
  }
}
