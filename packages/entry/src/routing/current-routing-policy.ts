/** The routing policy with the weights of the current settings. */
import { WeightedRoutingPolicy } from '@limpetwinch/decisions'
import type { RoutingPolicy } from '@limpetwinch/decisions'
import type { PolicySettings } from '@limpetwinch/core'

/**
 * Replaces the routing policy when the settings change. The new policy starts without the endpoint failures that the
 * previous policy observed.
 */
export class CurrentRoutingPolicy {
  private policy: RoutingPolicy = new WeightedRoutingPolicy()
  private settings: PolicySettings | undefined

  /** @returns the policy for the next request */
  current (): RoutingPolicy {
    return this.policy
  }

  /** Applies the current policy settings. */
  applySettings (settings: PolicySettings): void {
    if (this.settings === settings) return
    this.settings = settings
    this.policy = new WeightedRoutingPolicy({
      batchEfficiencyWeight: settings.batchEfficiencyWeight,
      loadsPerSecond: settings.loadsPerSecond
    })
  }
}
