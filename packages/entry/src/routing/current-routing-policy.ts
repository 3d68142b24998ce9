/** The routing policy by the operators' weighting in force. */
import { WeightedRoutingPolicy } from '@limpetwinch/decisions'
import type { RoutingPolicy } from '@limpetwinch/decisions'
import type { PolicySettings } from '@limpetwinch/core'

/** Makes the policy anew when the weighting changes; what was known of failing endpoints is then learnt again. */
export class CurrentRoutingPolicy {
  private policy: RoutingPolicy = new WeightedRoutingPolicy()
  private settings: PolicySettings | undefined

  /** @returns the policy for the next request */
  current (): RoutingPolicy {
    return this.policy
  }

  /** Takes up the settings in force. */
  applySettings (settings: PolicySettings): void {
    if (this.settings === settings) return
    this.settings = settings
    this.policy = new WeightedRoutingPolicy({
      batchEfficiencyWeight: settings.batchEfficiencyWeight,
      loadsPerSecond: settings.loadsPerSecond
    })
  }
}
